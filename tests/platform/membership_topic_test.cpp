#include "platform/membership_topic.hpp"

#include <gtest/gtest.h>

#include <tests/libraries/runtime/scripted_server.hpp>

namespace savorymount::platform
{
namespace
{

using tests::scripted_server;

std::string answer(std::string const& status, std::string const& body)
{
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

// Guards against a weight version that is recorded and not read back after a start, against a page
// that is dropped for one invalid record, and against a late write that counts as done.
TEST(membership_topic, reads_weight_versions_and_appends_them_conditionally)
{
    runtime::event_loop loop;
    runtime::timer_service timers(loop);
    runtime::outbound_client client(loop, timers);
    // The values are {"version":3}, {"version":-1} and {}.
    scripted_server server(
        loop,
        {answer("200 OK", R"({"items":[)"
                          R"({"key":"weights/crew","value":"eyJ2ZXJzaW9uIjozfQ==","offset":4},)"
                          R"({"key":"weights/mate","value":"eyJ2ZXJzaW9uIjotMX0=","offset":5},)"
                          R"({"key":"weights/odd","value":"e30=","offset":6}],)"
                          R"("more":false,"end":7})"),
         answer("412 Precondition Failed", R"({"end":8})"),
         answer("200 OK", R"({"offset":8,"end":9})")},
        scripted_server::afterwards::keep);
    store_client store(client, server.address());
    membership_topic topic(store);
    std::optional<gateway::membership_page> read;
    std::vector<std::pair<gateway::append_outcome, std::uint64_t>> appended;
    auto const note = [&](gateway::append_outcome outcome, std::uint64_t end)
    {
        appended.emplace_back(outcome, end);
        topic.append_version({"crew", 4}, end,
                             [&](gateway::append_outcome next, std::uint64_t next_end)
                             {
                                 appended.emplace_back(next, next_end);
                                 loop.stop();
                             });
    };
    topic.read(
        [&](std::optional<gateway::membership_page> page)
        {
            read = std::move(page);
            topic.append_version({"crew", 4}, 7, note);
        });
    loop.run();
    ASSERT_TRUE(read);
    EXPECT_EQ(read->weights, (std::map<std::string, std::uint64_t>{{"crew", 3}}));
    using enum gateway::append_outcome;
    EXPECT_EQ(appended, (std::vector<std::pair<gateway::append_outcome, std::uint64_t>>{
                            {condition_failed, 8}, {accepted, 9}}));
}

} // namespace
} // namespace savorymount::platform
