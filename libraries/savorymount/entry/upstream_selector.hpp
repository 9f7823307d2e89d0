#pragma once

#include <savorymount/base/random_source.hpp>
#include <savorymount/entry/routed_request.hpp>
#include <savorymount/retries/outlier_ejection.hpp>
#include <savorymount/retries/retry_budget.hpp>
#include <savorymount/routing/router.hpp>
#include <savorymount/routing/upstream_directory.hpp>
#include <savorymount/runtime/kernel.hpp>
#include <savorymount/runtime/request_outcome.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace savorymount::entry
{

/// One attempt's upstream.
struct selected_upstream
{
    routing::ranked_upstream choice;
    /// Name of the agent in the list, `id#incarnation`.
    std::string name;

    bool operator==(selected_upstream const&) const = default;
};

/// Chooses the agent for a request and learns from the outcome.
class upstream_selector
{
public:
    explicit upstream_selector(runtime::kernel& owner);

    /// The best agent that has not been tried and can be reached; nothing if there is none.
    std::optional<selected_upstream> select(routed_request const& request,
                                            std::vector<routing::upstream_id> const& tried);

    /// Whether an agent of the group reports the model.
    bool serves(std::string const& group, runtime::held_model const& model);

    void sent(routed_request const& request, selected_upstream const& upstream);
    void started(selected_upstream const& upstream);
    void finished(routed_request const& request, selected_upstream const& upstream,
                  runtime::request_outcome const& outcome);
    /// The attempt ended without an outcome of the agent.
    void lost(routed_request const& request, selected_upstream const& upstream);

    /// Takes a load report from a heartbeat or an outcome.
    void take_load(std::string const& name, wire::LoadReport::Reader load);

    /// Number of agents that report a healthy upstream.
    std::size_t ready_upstreams() const;

    retries::retry_budget& budget(std::string const& group);

private:
    struct group_state
    {
        explicit group_state(base::time_point now) : ejection({}), budget({}, now) {}

        retries::outlier_ejection ejection;
        retries::retry_budget budget;
        std::uint64_t revision = 0;
        /// By model; plain groups have one pool under the empty model.
        std::map<runtime::held_model, routing::candidate_pool> pools;
    };

    group_state& group(std::string const& name);
    void rebuild(std::string const& name, group_state& state);
    void connect();

    runtime::kernel& kernel_;
    base::random_source random_;
    routing::router router_;
    routing::upstream_directory ids_;
    std::map<std::string, group_state> groups_;
    /// Models and engine process reported by each agent, by its id.
    struct report
    {
        std::string name;
        std::string engine;
        std::set<runtime::held_model> models;
        bool ready = false;
    };
    std::map<std::string, report> reports_;
    std::uint64_t report_revision_ = 1;
    std::uint64_t connected_revision_ = 0;
};

} // namespace savorymount::entry
