#include <savorymount/base/random_source.hpp>
#include <savorymount/gateway/cluster_state.hpp>
#include <savorymount/gateway/placement.hpp>

#include <gtest/gtest.h>

#include <array>
#include <map>
#include <memory>
#include <set>
#include <tests/libraries/seeded_property.hpp>
#include <tests/libraries/time_points.hpp>
#include <vector>

namespace savorymount::gateway
{
namespace
{

using namespace std::chrono_literals;
using tests::at;

constexpr std::size_t instance_count = 3;
constexpr std::size_t steps = 400;
constexpr std::array<char const*, 4> workspace_names{"club", "clinic", "shop", "port"};

configuration::deployment empty_deployment(std::uint64_t version)
{
    configuration::deployment out;
    out.version = version;
    auto& service = out.services["bench"];
    service.name = "bench";
    service.model_engine = true;
    auto& route = out.routes.emplace_back();
    route.host = "host";
    route.path_prefix = "/";
    route.shares = {{"bench", 1}};
    route.timeout = 10s;
    route.prompts = true;
    return out;
}

void add_workspace(configuration::deployment& data, std::string const& name, bool isolated)
{
    auto& it = data.workspaces.emplace_back();
    it.name = name;
    it.keys = {"key-" + name};
    it.isolated = isolated;
}

caller_request prompt_of(std::string const& workspace)
{
    caller_request out;
    out.host = "host";
    out.target = "/draft";
    out.api_key = "key-" + workspace;
    auto& prompt = out.prompt.emplace();
    prompt.model = "crew";
    prompt.prompt_tokens = 300;
    prompt.parts = {{"5c1e", 200}, {"91bd", 100}};
    return out;
}

std::unique_ptr<cluster_state> instance_with_one_engine()
{
    gateway_settings settings;
    settings.max_old_version_time = 8s;
    auto out = std::make_unique<cluster_state>(settings, at(0s));
    membership::upstream_record engine;
    engine.id = "engine-1";
    engine.service = "bench";
    engine.slots = 8;
    engine.weights["crew"] = 1;
    out->upstream_listed(at(0s), engine);
    return out;
}

admitted_request admitted_at(cluster_state& cluster, std::string const& workspace)
{
    admitted_request out;
    out.deployment = cluster.deployment();
    out.route = out.deployment->find_route("host", "/draft");
    out.workspace = out.deployment->find_workspace("key-" + workspace);
    return out;
}

std::string salt_of(cluster_state& cluster, admitted_request const& admitted,
                    std::string const& workspace)
{
    base::random_source random(1);
    auto const placed =
        place_request(at(0s), cluster, random, admitted, prompt_of(workspace), "bench", {});
    return placed ? placed->request.engine->cache_salt : "";
}

/// Operators isolate, share, remove and add workspaces; instances follow some versions late, start
/// anew, and place requests that they admitted under an older version.
class generated_history
{
public:
    explicit generated_history(std::uint32_t seed) : random_(seed)
    {
        for (std::size_t i = 0; i < instance_count; ++i)
            instances_.push_back(instance_with_one_engine());
        publish();
        for (auto& it : instances_)
            it->apply_deployment(at(0s), versions_.back());
    }

    /// Returns whether no request used a part across a wall of its instance's configuration.
    bool run()
    {
        for (std::size_t i = 0; i < steps && holds_; ++i)
        {
            auto& instance = instances_[random_.uniform_below(instance_count)];
            if (happens(10))
                publish();
            if (happens(6))
                instance->apply_deployment(at(0s), versions_.back());
            if (happens(40))
                restart(instance);
            send_prompt(*instance);
        }
        return holds_;
    }

private:
    bool happens(std::uint64_t one_in) { return random_.uniform_below(one_in) == 0; }

    void publish()
    {
        auto next = empty_deployment(versions_.size() + 1);
        for (char const* const it : workspace_names)
        {
            if (!happens(4))
                add_workspace(next, it, happens(3));
        }
        versions_.push_back(std::move(next));
    }

    void restart(std::unique_ptr<cluster_state>& instance)
    {
        instance = instance_with_one_engine();
        instance->apply_deployment(at(0s), versions_.back());
    }

    void send_prompt(cluster_state& instance)
    {
        std::string const workspace =
            workspace_names[random_.uniform_below(workspace_names.size())];
        auto const admitted = admitted_at(instance, workspace);
        if (admitted.workspace == nullptr)
            return;
        // The version may change between the admission and the placement.
        if (happens(5))
            instance.apply_deployment(at(0s), versions_.back());
        auto const salt = salt_of(instance, admitted, workspace);
        holds_ = holds_ && !salt.empty();
        auto& makers = makers_[salt];
        for (auto const& it : makers)
            holds_ = holds_ && (it == workspace || !has_wall(instance, workspace, it));
        makers.insert(workspace);
    }

    static bool has_wall(cluster_state& instance, std::string const& left, std::string const& right)
    {
        auto const& index = *instance.deployment();
        for (auto const& name : {left, right})
        {
            auto const* const workspace = index.find_workspace("key-" + name);
            if (workspace != nullptr && workspace->isolated)
                return true;
        }
        return false;
    }

    base::random_source random_;
    std::vector<configuration::deployment> versions_;
    std::vector<std::unique_ptr<cluster_state>> instances_;
    /// The workspaces that made parts, by salt.
    std::map<std::string, std::set<std::string>> makers_;
    bool holds_ = true;
};

// Guards against parts of a workspace that became isolated and that others go on to use.
TEST(cache_scope, no_prompt_uses_parts_across_a_wall_whatever_changed_before)
{
    tests::check_property(200,
                          [](std::uint32_t seed) { RC_ASSERT(generated_history(seed).run()); });
}

// Guards against prompts that are read again although nothing changed about who is isolated, and
// against instances that disagree because they saw other versions or list workspaces in another
// order.
TEST(cache_scope, follows_from_the_set_of_isolated_workspaces_alone)
{
    auto data = empty_deployment(1);
    add_workspace(data, "club", false);
    add_workspace(data, "clinic", true);
    add_workspace(data, "port", true);
    configuration::deployment_index const first(data);
    auto reordered = empty_deployment(9);
    add_workspace(reordered, "port", true);
    add_workspace(reordered, "shop", false);
    add_workspace(reordered, "clinic", true);
    configuration::deployment_index const second(reordered);
    for (char const* const it : {"", "club", "clinic", "port", "shop"})
        EXPECT_EQ(first.cache_scope(it), second.cache_scope(it)) << it;
    EXPECT_EQ(first.cache_scope("club"), first.cache_scope(""));
    std::set<std::string> const scopes{first.cache_scope("club"), first.cache_scope("clinic"),
                                       first.cache_scope("port")};
    EXPECT_EQ(scopes.size(), 3U);
}

// Guards against a prompt that waited while its workspace became isolated and then makes parts for
// all.
TEST(cache_scope, a_request_that_waited_is_placed_by_the_newest_configuration)
{
    auto const cluster = instance_with_one_engine();
    auto data = empty_deployment(1);
    add_workspace(data, "clinic", false);
    cluster->apply_deployment(at(0s), data);
    auto const waiting = admitted_at(*cluster, "clinic");
    EXPECT_EQ(salt_of(*cluster, waiting, "clinic"), "crew.1");
    data.version = 2;
    data.workspaces[0].isolated = true;
    cluster->apply_deployment(at(0s), data);
    EXPECT_EQ(salt_of(*cluster, waiting, "clinic"), "crew.1.clinic");
    auto const later = admitted_at(*cluster, "clinic");
    data.version = 3;
    data.workspaces.clear();
    cluster->apply_deployment(at(0s), data);
    EXPECT_EQ(salt_of(*cluster, later, "clinic"), "crew.1.clinic");
}

} // namespace
} // namespace savorymount::gateway
