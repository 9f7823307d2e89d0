#pragma once

#include <savorymount/limits/agent_list.hpp>
#include <savorymount/limits/bucket_lease.hpp>
#include <savorymount/limits/grant_pool.hpp>
#include <savorymount/limits/lease_directory.hpp>
#include <savorymount/limits/workspace_bucket.hpp>
#include <savorymount/runtime/kernel.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace savorymount::agent
{

/// Rate and burst of the workspaces at this agent: owns the buckets whose leases it holds, and
/// admits requests from grants of the owners.
class bucket_service
{
public:
    using admit_done = std::function<void(limits::admission const&)>;

    explicit bucket_service(runtime::kernel& owner);

    /// Reserves `tokens` of the workspace and calls `done` once, perhaps before it returns; the
    /// decision is never `waiting`.
    void admit(std::string const& workspace, std::uint64_t tokens, admit_done done);

    /// Tells that `used` tokens of a reservation are certainly used by now.
    void progress(std::string const& workspace, std::uint64_t reservation, std::uint64_t used);

    /// Ends a reservation.
    void complete(std::string const& workspace, std::uint64_t reservation, std::uint64_t used);

    /// As owner: grants tokens to an agent. `owner` becomes false if this agent does not own the
    /// bucket under `fence`.
    std::optional<limits::token_grant> reserve(std::string const& workspace, std::uint64_t fence,
                                               std::uint64_t tokens, std::uint64_t least,
                                               base::duration& retry_after, bool& owner);

    /// As owner: takes a report on a grant.
    void settle(std::string const& workspace, std::uint64_t fence, std::uint64_t grant_id,
                std::uint64_t used, std::uint64_t unused);

    /// Number of buckets owned here.
    std::size_t owned() const;

private:
    struct waiting_request
    {
        std::uint64_t tokens;
        base::time_point since;
        bool first;
        admit_done done;
    };

    struct workspace_state
    {
        limits::grant_pool account;
        limits::bucket_lease lease;
        std::unique_ptr<limits::workspace_bucket> bucket;
        std::deque<waiting_request> waiting;
        bool granting = false;
    };

    workspace_state* find(std::string const& workspace);
    void configure(configuration::configuration const& current);
    void handle_lease_record(runtime::log_record const& record);
    void handle_log_read(bool caught_up);
    void handle_list(std::vector<runtime::instance_record> const& list);
    void tick();
    void leave();
    void check_released(base::time_point now);
    void carry_out(std::string const& workspace, workspace_state& state,
                   std::vector<limits::lease_action> const& actions);
    void append(std::string const& workspace, limits::append_lease const& action);
    void start_bucket(std::string const& workspace, workspace_state& state,
                      limits::start_granting const& action);
    void update_owner(std::string const& workspace, workspace_state& state);
    void serve_waiting(std::string const& workspace, workspace_state& state);
    void send(std::string const& workspace, workspace_state& state);
    void ask(std::string const& workspace, workspace_state& state,
             limits::request_grant const& action);
    void ask_remote(std::string const& workspace, runtime::peer_connection& owner,
                    limits::request_grant const& action);
    void report(std::string const& workspace, limits::report_usage const& action);
    limits::workspace_lease const* holder(std::string const& workspace) const;
    bool own(limits::workspace_lease const& it) const;

    runtime::kernel& kernel_;
    limits::lease_directory directory_;
    std::map<std::string, workspace_state> workspaces_;
    /// While leaving: until when the release of the leases is awaited.
    std::optional<base::time_point> release_until_;
    runtime::timer_service::subscription timer_;
};

} // namespace savorymount::agent
