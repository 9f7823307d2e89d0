#include "platform/engine_client.hpp"
#include "platform/store_client.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <memory>
#include <tests/libraries/runtime/flooding_server.hpp>
#include <tests/libraries/runtime/scripted_server.hpp>
#include <unistd.h>
#include <vector>

namespace savorymount::tests
{
namespace
{

using namespace std::chrono_literals;

// A small gateway has 88 MB for everything, with some tens of engines.
constexpr std::size_t engine_count = 61;
constexpr std::size_t max_growth_bytes = std::size_t{24} * 1024 * 1024;
constexpr std::size_t max_engine_answer_bytes = std::size_t{2} * 1024 * 1024;

std::size_t resident_bytes()
{
    std::ifstream in("/proc/self/statm");
    std::size_t size = 0;
    std::size_t resident = 0;
    in >> size >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

std::string chunk_of(std::size_t bytes)
{
    return std::string(bytes, 'x');
}

/// Engines that answer the gateway's own calls with bytes that do not end.
class endless_answers : public testing::Test
{
protected:
    void start(std::string const& beginning, base::duration interval = {})
    {
        servers.clear();
        for (std::size_t i = 0; i < engine_count; ++i)
            servers.push_back(
                std::make_unique<flooding_server>(loop, beginning, chunk_of(16'000), interval));
    }

    /// Makes a call to each engine at once and runs until all have ended.
    void call_all(std::function<void(flooding_server&, std::function<void()>)> const& call)
    {
        auto const before = resident_bytes();
        std::size_t ended = 0;
        for (auto const& it : servers)
            call(*it, [&] { ++ended; });
        while (ended < servers.size())
        {
            event_base_loop(loop.base(), EVLOOP_ONCE);
            peak_used_bytes = std::max(peak_used_bytes, client.used_bytes());
            auto const now = resident_bytes();
            peak_growth_bytes = std::max(peak_growth_bytes, now - std::min(before, now));
        }
    }

    runtime::event_loop loop;
    runtime::timer_service timers{loop};
    runtime::outbound_client client{loop, timers, max_engine_answer_bytes};
    std::vector<std::unique_ptr<flooding_server>> servers;
    std::size_t peak_used_bytes = 0;
    std::size_t peak_growth_bytes = 0;
};

std::vector<std::string> endless_beginnings()
{
    std::string const head = "HTTP/1.1 200 OK\r\n";
    return {"", head + "X-Endless: ", head + "Content-Length: 99999999999\r\n\r\n",
            head + "Connection: close\r\n\r\n",
            head + "Transfer-Encoding: chunked\r\n\r\nfffffff\r\n"};
}

// Guards against the reports of some tens of engines that take the memory of the process together.
TEST_F(endless_answers, reports_of_many_engines_stay_within_one_account)
{
    platform::engine_client engines(client);
    for (auto const& beginning : endless_beginnings())
    {
        start(beginning);
        call_all(
            [&](flooding_server& it, auto const& ended)
            {
                engines.read_report(to_string(it.address()),
                                    [ended](auto const& report, base::error const& reason)
                                    {
                                        EXPECT_FALSE(report);
                                        EXPECT_TRUE(base::is_invalid_input(reason))
                                            << reason.message;
                                        ended();
                                    });
            });
        EXPECT_LE(peak_used_bytes, max_engine_answer_bytes) << beginning;
        EXPECT_EQ(client.used_bytes(), 0U) << beginning;
        EXPECT_LE(peak_growth_bytes, max_growth_bytes) << beginning;
    }
}

// Guards against the same by the answers to orders.
TEST_F(endless_answers, answers_to_orders_of_many_engines_stay_within_one_account)
{
    platform::engine_client engines(client);
    for (auto const& beginning : endless_beginnings())
    {
        start(beginning);
        call_all(
            [&](flooding_server& it, auto const& ended)
            {
                orders::weight_order order;
                order.address = to_string(it.address());
                engines.send_order(
                    order, "leader", [] { return true; },
                    [ended](orders::order_outcome outcome, base::error const&)
                    {
                        EXPECT_EQ(outcome, orders::order_outcome::invalid_answer);
                        ended();
                    });
            });
        EXPECT_LE(peak_growth_bytes, max_growth_bytes) << beginning;
    }
}

// Guards against bytes that come slowly and occupy the account until the timeout of the call, so
// that sound engines are not heard.
TEST_F(endless_answers, a_sound_engine_is_heard_beside_slow_endless_ones)
{
    platform::engine_client engines(client);
    start("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", 30ms);
    std::string const report = R"({"busy":false,"sequence":4,"models":[]})";
    scripted_server sound(loop,
                          {"HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(report.size()) +
                           "\r\n\r\n" + report},
                          scripted_server::afterwards::keep);
    bool heard = false;
    engines.read_report(to_string(sound.address()),
                        [&](auto const& it, base::error const&) { heard = it.has_value(); });
    call_all(
        [&](flooding_server& it, auto const& ended)
        {
            engines.read_report(to_string(it.address()),
                                [ended](auto const&, base::error const&) { ended(); });
        });
    EXPECT_TRUE(heard);
}

// Guards against a page of the store without end.
TEST_F(endless_answers, a_page_of_the_store_has_an_end)
{
    start("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
    runtime::outbound_client calls(loop, timers);
    platform::store_client store(calls, servers[0]->address());
    std::optional<base::error> reason;
    store.read("keyed.t", 0, 0s,
               [&](std::optional<platform::record_page> const& page, base::error const& why)
               {
                   EXPECT_FALSE(page);
                   reason = why;
               });
    std::size_t peak = 0;
    while (!reason)
    {
        event_base_loop(loop.base(), EVLOOP_ONCE);
        peak = std::max(peak, calls.used_bytes());
    }
    EXPECT_EQ(reason->kind, base::error_kind::too_large);
    EXPECT_LE(peak, std::size_t{1536} * 1024);
}

} // namespace
} // namespace savorymount::tests
