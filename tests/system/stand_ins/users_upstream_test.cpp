#include <gtest/gtest.h>

#include <tests/system/support/output_line.hpp>
#include <tests/system/support/process.hpp>
#include <tests/system/support/test_client.hpp>

namespace savorymount::tests
{
namespace
{

using nlohmann::json;

/// An engine of the users' platform as a process of its own.
class users_upstream_stand_in : public testing::Test
{
protected:
    void control(json const& body)
    {
        ASSERT_EQ(client.request(control_address, "POST", "/control", {}, body.dump()).status, 200);
    }

    std::shared_ptr<caller_answer> prompt(std::string const& id, std::string const& parts,
                                          std::string const& instance = "engine")
    {
        return client.start(
            serve_address, "POST", "/p/chat",
            {{"X-Request-Id", id}, {"X-Expect-Instance", instance}, {"X-Prompt-Prefix", parts}},
            "text");
    }

    caller_answer finished_prompt(std::string const& id, std::string const& parts,
                                  std::string const& instance = "engine")
    {
        auto const it = prompt(id, parts, instance);
        client.wait({it});
        return *it;
    }

    process engine{"savorymount-users-upstream-stand-in", {"--id", "engine", "--kind", "engine"}};
    runtime::network_address control_address{"127.0.0.1",
                                             port_of(engine.wait_for_field("listening", "port"))};
    runtime::network_address serve_address{"127.0.0.1",
                                           port_of(engine.wait_for_field("serving", "port"))};
    test_client client;
};

// Guards against a stand-in whose streams without framing are framed after all, or cut.
TEST_F(users_upstream_stand_in, ends_a_stream_with_its_connection)
{
    auto const chunked = finished_prompt("a", "aa:1,bb:1");
    control({{"ends_with_connection", true}});
    auto const unframed = finished_prompt("b", "aa:1,bb:1");
    EXPECT_EQ(unframed.header("Transfer-Encoding"), "");
    EXPECT_EQ(unframed.header("Content-Length"), "");
    EXPECT_TRUE(unframed.whole);
    EXPECT_EQ(unframed.body, chunked.body);
}

// Guards against a stand-in that breaks a stream off at the end of an event, or with a reset.
TEST_F(users_upstream_stand_in, closes_a_stream_in_order_inside_an_event)
{
    control({{"close_inside_event", 1}});
    auto const broken = finished_prompt("a", "aa:1,bb:1");
    EXPECT_TRUE(broken.whole);
    EXPECT_TRUE(broken.body.ends_with("data: tok")) << broken.body;
    EXPECT_TRUE(finished_prompt("b", "aa:1,bb:1").body.ends_with("token 8\n\n"));
}

// Guards against a stand-in that goes on after a crash, loses only the request that crashed it, or
// comes back as if nothing had happened.
TEST_F(users_upstream_stand_in, crashes_on_a_part_and_comes_back)
{
    control({{"ends_with_connection", true}, {"crash_on_part", "bad"}, {"crash_ms", 300}});
    // As the last part it belongs to one request alone.
    EXPECT_TRUE(finished_prompt("a", "aa:1,bad:1").whole);
    auto const running = prompt("b", "aa:1,bb:1");
    client.run_until([&] { return !running->body.empty(); });
    auto const crashing = finished_prompt("c", "aa:1,bad:1,bb:1");
    EXPECT_EQ(crashing.status, 0);
    client.wait({running});
    EXPECT_FALSE(running->whole);
    EXPECT_EQ(finished_prompt("d", "aa:1,bb:1").status, 0);
    EXPECT_EQ(engine.wait_for_field("restart", "former"), "engine");
    EXPECT_EQ(engine.wait_for_field("restart", "id"), "engine-2");
    EXPECT_EQ(finished_prompt("e", "aa:1,bb:1").status, 421);
    EXPECT_TRUE(finished_prompt("f", "aa:1,bb:1", "engine-2").whole);
}

} // namespace
} // namespace savorymount::tests
