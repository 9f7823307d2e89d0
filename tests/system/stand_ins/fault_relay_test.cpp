#include <gtest/gtest.h>

#include <tests/system/support/http_client.hpp>
#include <tests/system/support/program.hpp>

namespace savorymount::tests
{
namespace
{

using nlohmann::json;

class fault_relay_stand_in : public testing::Test
{
protected:
    json set(json const& wanted) { return client.post(control_port, "/control", wanted).content(); }

    program service{"savorymount-service-stand-in", {}};
    std::uint16_t service_port = service.read_port();
    program relay{"savorymount-fault-relay",
                  {"--target", "127.0.0.1:" + std::to_string(service_port)}};
    std::uint16_t control_port = relay.read_port();
    std::uint16_t port = relay.read_port();
    http_client client;
};

// Guards against a relay that changes what passes through it.
TEST_F(fault_relay_stand_in, pass_relays_both_directions)
{
    auto const out = client.post(port, "/bookings", {{"text", std::string(3'000'000, 'x')}});
    EXPECT_EQ(out.status, 200);
    EXPECT_FALSE(out.failure);
    auto const shown = client.get(port, "/bookings/1");
    EXPECT_EQ(shown.at("body").get<std::string>().size(), 3'000'011U);
    client.run_until([&] { return client.get(control_port, "/status").at("connections") == 0; });
}

// Guards against delays that reorder or lose bytes.
TEST_F(fault_relay_stand_in, delayed_bytes_arrive_whole)
{
    set({{"delay_ms", 2}});
    auto const out = client.post(port, "/bookings", {{"text", std::string(300'000, 'x')}});
    EXPECT_EQ(out.status, 200);
    EXPECT_EQ(client.get(port, "/bookings/1").at("body").get<std::string>().size(), 300'011U);
}

// Guards against a cut that leaves connections open or lets requests through.
TEST_F(fault_relay_stand_in, cut_resets_open_and_new_connections)
{
    client.post(service_port, "/control", {{"delay_ms", 3'600'000}});
    auto const open = client.start(port, "GET", "/bookings/1");
    client.run_until([&] { return client.get(service_port, "/load").at("running") == 1; });
    EXPECT_EQ(set({{"mode", "cut"}}).at("connections"), 0);
    client.run_until([&] { return open.response->done; });
    EXPECT_TRUE(open.response->failure);
    EXPECT_TRUE(client.fetch(port, "GET", "/health").failure);
    set({{"mode", "pass"}});
    EXPECT_EQ(client.fetch(port, "GET", "/health").status, 200);
}

// Guards against a reset that goes on refusing connections.
TEST_F(fault_relay_stand_in, reset_ends_open_connections_once)
{
    client.post(service_port, "/control", {{"delay_ms", 3'600'000}});
    auto const open = client.start(port, "GET", "/bookings/1");
    client.run_until([&] { return client.get(service_port, "/load").at("running") == 1; });
    set({{"mode", "cut"}});
    EXPECT_EQ(set({{"mode", "reset"}}).at("mode"), "pass");
    client.run_until([&] { return open.response->done; });
    EXPECT_TRUE(open.response->failure);
    EXPECT_EQ(client.fetch(port, "GET", "/health").status, 200);
}

// Guards against a blackhole that closes connections, heals them, or also silences new ones.
TEST_F(fault_relay_stand_in, existing_connections_go_silent_for_good_while_new_ones_work)
{
    client.post(service_port, "/control", {{"delay_ms", 100}});
    auto const open = client.start(port, "GET", "/bookings/1");
    client.run_until([&] { return client.get(service_port, "/load").at("running") == 1; });
    EXPECT_EQ(set({{"mode", "blackhole_existing"}}).at("silent_connections"), 1);
    EXPECT_EQ(client.fetch(port, "GET", "/health").status, 200);
    client.run_until([&] { return client.get(service_port, "/load").at("running") == 0; });
    EXPECT_EQ(set({{"mode", "pass"}}).at("silent_connections"), 1);
    EXPECT_EQ(client.fetch(port, "GET", "/health").status, 200);
    EXPECT_FALSE(open.response->done);
}

// Guards against a blackhole that refuses new connections, which a caller would notice at once.
TEST_F(fault_relay_stand_in, new_connections_are_accepted_and_silent_in_a_blackhole)
{
    set({{"mode", "blackhole"}});
    auto const open = client.start(port, "GET", "/health");
    client.run_until([&]
                     { return client.get(control_port, "/status").at("silent_connections") == 1; });
    EXPECT_FALSE(open.response->done);
    EXPECT_EQ(client.post(control_port, "/control", {{"mode", "sideways"}}).status, 400);
}

} // namespace
} // namespace savorymount::tests
