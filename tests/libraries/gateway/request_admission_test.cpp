#include <savorymount/gateway/request_admission.hpp>
#include <savorymount/runtime/event_loop.hpp>

#include <gtest/gtest.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace savorymount::gateway
{
namespace
{

using namespace std::chrono_literals;

configuration::service_route route_of(std::string const& prefix, std::int32_t priority)
{
    configuration::service_route out;
    out.name = prefix;
    out.host = "host";
    out.path_prefix = prefix;
    out.shares = {{"bench", 1}};
    out.priority = priority;
    out.timeout = 10s;
    out.target_latency = 1s;
    return out;
}

configuration::deployment two_priorities()
{
    configuration::deployment out;
    out.version = 1;
    out.routes = {route_of("/urgent/", 0), route_of("/patient/", 2)};
    return out;
}

/// One engine whose only slot is taken.
class request_admission_test : public testing::Test
{
protected:
    /// Whether a request of the less urgent route begins at once.
    bool begins_at_once(bool order_by_urgency)
    {
        gateway_settings settings;
        settings.order_by_urgency = order_by_urgency;
        cluster_state cluster(settings, timers.now());
        cluster.apply_deployment(timers.now(), two_priorities());
        membership::upstream_record engine;
        engine.id = "engine-1";
        engine.service = "bench";
        engine.slots = 1;
        cluster.upstream_listed(timers.now(), engine);
        cluster.upstreams().load_reported(timers.now(), "engine-1", {1, 1, 1, std::nullopt});
        request_admission admission(timers, cluster, random);
        admitted_request admitted;
        admitted.deployment = cluster.deployment();
        admitted.route = admitted.deployment->find_route("host", "/patient/1");
        std::uint64_t ticket = 0;
        bool begun = false;
        admission.ask(admitted, {}, "bench", 10s, ticket,
                      [&](std::optional<refusal> const& refused) { begun = !refused; });
        admission.leave(ticket);
        return begun;
    }

    runtime::event_loop loop;
    runtime::timer_service timers{loop};
    base::random_source random{1};
};

// Guards against a deployment that did not ask for it and whose requests wait at the gateway.
TEST_F(request_admission_test, holds_nothing_back_unless_the_settings_ask_for_it)
{
    EXPECT_TRUE(begins_at_once(false));
}

// Guards against less urgent work that goes to engines without a free slot.
TEST_F(request_admission_test, holds_less_urgent_requests_back_while_the_slots_are_taken)
{
    EXPECT_FALSE(begins_at_once(true));
}

} // namespace
} // namespace savorymount::gateway
