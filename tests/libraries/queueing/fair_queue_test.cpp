#include "../seeded_property.hpp"
#include <savorymount/base/random_source.hpp>
#include <savorymount/queueing/fair_queue.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <tests/libraries/time_points.hpp>
#include <vector>

namespace savorymount::queueing
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;
using tests::at;

queued_request request(std::string id, std::string workspace, std::uint64_t tokens,
                       double weight = 1)
{
    queued_request out;
    out.id = std::move(id);
    out.workspace = std::move(workspace);
    out.tokens = tokens;
    out.weight = weight;
    return out;
}

bool add(fair_queue& queue, queued_request it, base::time_point now = at({}))
{
    base::duration retry_after{};
    base::error reason;
    return queue.enqueue(now, std::move(it), retry_after, reason);
}

std::string next_id(fair_queue& queue, base::time_point now = at({}))
{
    std::vector<queued_request> expired;
    auto const out = queue.next(now, expired);
    return out ? out->id : "";
}

/// A workspace of a generated load.
struct workspace_load
{
    std::string name;
    double weight = 1;
    std::uint64_t max_request_tokens = 1;
    double served = 0;
};

std::vector<workspace_load> generate_workspaces()
{
    std::vector<workspace_load> out(*rc::gen::inRange<std::size_t>(2, 8));
    for (std::size_t n = 0; n < out.size(); ++n)
    {
        out[n].name = "w" + std::to_string(n);
        out[n].weight = *rc::gen::inRange(1, 20) / 2.0;
        out[n].max_request_tokens = *rc::gen::inRange<std::uint64_t>(1, 20'000);
    }
    return out;
}

// Guards against shares that do not follow the weights: at any time, two backlogged workspaces
// differ in served tokens per weight by at most one request of each. Half of the runs report less
// usage than was reserved.
TEST(fair_queue, shares_follow_weights_within_one_request_each)
{
    tests::check_seeded(
        0x41, 500,
        []
        {
            auto workspaces = generate_workspaces();
            auto const uses_less_than_reserved = *rc::gen::arbitrary<bool>();
            base::random_source random(*rc::gen::arbitrary<std::uint32_t>());
            fair_queue queue;
            int count = 0;
            auto const add_request = [&](workspace_load const& it)
            {
                auto const tokens = 1 + random.uniform_below(it.max_request_tokens);
                RC_ASSERT(add(queue, request(std::to_string(++count), it.name, tokens, it.weight)));
            };
            for (auto const& it : workspaces)
            {
                add_request(it);
                add_request(it);
            }
            for (int n = 0; n < 500; ++n)
            {
                std::vector<queued_request> expired;
                auto const dequeued = queue.next(at({}), expired);
                RC_ASSERT(dequeued.has_value());
                auto& served_workspace =
                    workspaces[static_cast<std::size_t>(std::stoi(dequeued->workspace.substr(1)))];
                auto const used = uses_less_than_reserved
                                      ? random.uniform_below(dequeued->tokens + 1)
                                      : dequeued->tokens;
                served_workspace.served += static_cast<double>(used);
                add_request(served_workspace);
                queue.on_completed(at({}), *dequeued, used);
                for (auto const& left : workspaces)
                {
                    for (auto const& right : workspaces)
                    {
                        auto const bound =
                            static_cast<double>(left.max_request_tokens) / left.weight +
                            static_cast<double>(right.max_request_tokens) / right.weight;
                        RC_ASSERT(left.served / left.weight - right.served / right.weight <=
                                  bound + 1e-6);
                    }
                }
            }
        });
}

// Guards against head-of-line blocking: a request of an idle workspace waits for at most one
// request of each other workspace, whatever their backlog and previous service.
TEST(fair_queue, idle_workspace_waits_for_at_most_one_request_of_each_other)
{
    tests::check_seeded(
        0x42, 500,
        []
        {
            auto const workspaces = generate_workspaces();
            base::random_source random(*rc::gen::arbitrary<std::uint32_t>());
            fair_queue queue;
            double bound = 0;
            int count = 0;
            for (auto const& it : workspaces)
            {
                bound += static_cast<double>(it.max_request_tokens);
                auto const backlog = 20 + random.uniform_below(50);
                for (std::uint64_t n = 0; n < backlog; ++n)
                    RC_ASSERT(add(queue, request(std::to_string(++count), it.name,
                                                 1 + random.uniform_below(it.max_request_tokens),
                                                 it.weight)));
            }
            std::vector<queued_request> expired;
            auto const before = random.uniform_below(40);
            for (std::uint64_t n = 0; n < before; ++n)
            {
                auto const dequeued = queue.next(at({}), expired);
                if (random.uniform_below(2) == 0)
                    queue.on_completed(at({}), *dequeued, dequeued->tokens);
            }
            auto const weight = *rc::gen::inRange(1, 20) / 2.0;
            RC_ASSERT(
                add(queue, request("small", "small", 1 + random.uniform_below(20'000), weight)));
            double tokens_ahead = 0;
            for (auto dequeued = queue.next(at({}), expired); dequeued->id != "small";
                 dequeued = queue.next(at({}), expired))
                tokens_ahead += static_cast<double>(dequeued->tokens);
            RC_ASSERT(tokens_ahead <= bound);
        });
}

// Guards against a long prompt of one workspace that delays short ones of another.
TEST(fair_queue, long_prompt_does_not_block_short_ones)
{
    fair_queue queue;
    EXPECT_TRUE(add(queue, request("long-1", "large", 100'000)));
    EXPECT_TRUE(add(queue, request("long-2", "large", 100'000)));
    EXPECT_EQ(next_id(queue), "long-1");
    for (int n = 0; n < 3; ++n)
        EXPECT_TRUE(add(queue, request("short-" + std::to_string(n), "small", 100)));
    EXPECT_EQ(next_id(queue), "short-0");
    EXPECT_EQ(next_id(queue), "short-1");
    EXPECT_EQ(next_id(queue), "short-2");
    EXPECT_EQ(next_id(queue), "long-2");
    EXPECT_EQ(next_id(queue), "");
}

// Guards against a workspace that accumulates credit while it is idle.
TEST(fair_queue, idle_workspace_accumulates_no_credit)
{
    fair_queue queue;
    for (int n = 0; n < 100; ++n)
        add(queue, request("a" + std::to_string(n), "a", 100));
    for (int n = 0; n < 50; ++n)
        next_id(queue);
    for (int n = 0; n < 50; ++n)
        add(queue, request("b" + std::to_string(n), "b", 100));
    int from_b = 0;
    for (int n = 0; n < 20; ++n)
        from_b += next_id(queue)[0] == 'b' ? 1 : 0;
    EXPECT_GE(from_b, 10);
    EXPECT_LE(from_b, 11);
}

// Guards against priorities that let one workspace overtake another.
TEST(fair_queue, priority_orders_within_a_workspace_only)
{
    fair_queue queue;
    auto urgent = request("a-urgent", "a", 100);
    urgent.priority = 5;
    add(queue, request("a-plain", "a", 100));
    add(queue, request("b-plain", "b", 100));
    add(queue, urgent);
    EXPECT_EQ(next_id(queue), "a-urgent");
    EXPECT_EQ(next_id(queue), "b-plain");
    EXPECT_EQ(next_id(queue), "a-plain");
}

// Guards against one workspace that fills the queue for all, and against unbounded memory.
TEST(fair_queue, enforces_bounds_per_workspace_and_in_total)
{
    fair_queue queue({4, 2, 1000, 600});
    base::duration retry_after{};
    base::error reason;
    EXPECT_TRUE(add(queue, request("a1", "a", 100)));
    EXPECT_TRUE(add(queue, request("a2", "a", 100)));
    EXPECT_FALSE(queue.enqueue(at({}), request("a3", "a", 100), retry_after, reason));
    EXPECT_EQ(reason.kind, base::error_kind::overloaded);
    EXPECT_GT(retry_after, base::duration::zero());
    EXPECT_FALSE(add(queue, request("b1", "b", 601)));
    EXPECT_TRUE(add(queue, request("b1", "b", 600)));
    EXPECT_FALSE(add(queue, request("c1", "c", 201)));
    EXPECT_TRUE(add(queue, request("c1", "c", 200)));
    EXPECT_FALSE(add(queue, request("d1", "d", 0)));
    EXPECT_FALSE(queue.enqueue(at({}), request("c1", "c", 0), retry_after, reason));
    EXPECT_EQ(reason.kind, base::error_kind::conflict);
}

// Guards against a cancelled request that still runs or counts against the limits.
TEST(fair_queue, removed_request_no_longer_counts_against_the_bounds)
{
    fair_queue queue({2, 2, 1000, 1000});
    add(queue, request("a1", "a", 500));
    add(queue, request("a2", "a", 500));
    EXPECT_TRUE(queue.remove("a1"));
    EXPECT_FALSE(queue.remove("a1"));
    EXPECT_EQ(queue.size(), 1U);
    EXPECT_EQ(queue.tokens(), 500U);
    EXPECT_TRUE(add(queue, request("b1", "b", 500)));
    EXPECT_EQ(next_id(queue), "a2");
    EXPECT_EQ(next_id(queue), "b1");
    EXPECT_EQ(next_id(queue), "");
}

// Serves 1,000 tokens per second for 3 s with a backlog, so that the service rate is known.
fair_queue queue_with_known_service_rate()
{
    fair_queue queue;
    for (int n = 0; n < 60; ++n)
        add(queue, request("a" + std::to_string(n), "a", 100));
    for (int n = 0; n < 30; ++n)
    {
        std::vector<queued_request> expired;
        auto const dequeued = queue.next(at(milliseconds(100 * n)), expired);
        queue.on_completed(at(milliseconds(100 * (n + 1))), *dequeued, dequeued->tokens);
    }
    return queue;
}

// Guards against a request that is refused only after its deadline, although it could never meet
// it.
TEST(fair_queue, refuses_early_when_deadline_cannot_be_met)
{
    auto queue = queue_with_known_service_rate();
    EXPECT_DOUBLE_EQ(queue.service_rate(), 1000);
    // 30 requests of 100 tokens of the same workspace are queued before it.
    EXPECT_EQ(queue.expected_wait("a", 1), seconds(3));
    base::duration retry_after{};
    base::error reason;
    auto late = request("late", "a", 100);
    late.deadline = at(seconds(3) + milliseconds(2'900));
    EXPECT_FALSE(queue.enqueue(at(seconds(3)), late, retry_after, reason));
    EXPECT_EQ(reason.kind, base::error_kind::deadline);
    EXPECT_EQ(retry_after, seconds(3));
    late.deadline = at(seconds(3) + milliseconds(3'100));
    EXPECT_TRUE(queue.enqueue(at(seconds(3)), late, retry_after, reason));
    // Another workspace does not wait for the backlog of the first.
    auto other = request("other", "b", 100);
    other.deadline = at(seconds(3) + milliseconds(500));
    EXPECT_TRUE(queue.enqueue(at(seconds(3)), other, retry_after, reason));
}

// Guards against refusals because of a service rate that was measured while the queue was idle.
TEST(fair_queue, idle_time_does_not_lower_the_service_rate)
{
    fair_queue queue;
    std::vector<queued_request> expired;
    for (int n = 0; n < 20; ++n)
    {
        add(queue, request(std::to_string(n), "a", 10), at(seconds(n)));
        auto const dequeued = queue.next(at(seconds(n)), expired);
        queue.on_completed(at(seconds(n) + milliseconds(900)), *dequeued, 10);
    }
    EXPECT_EQ(queue.service_rate(), 0);
}

// Guards against execution of requests whose callers have given up.
TEST(fair_queue, requests_past_their_deadline_are_returned_as_expired)
{
    fair_queue queue;
    auto first = request("first", "a", 100);
    first.deadline = at(seconds(1));
    add(queue, first);
    add(queue, request("second", "a", 100));
    std::vector<queued_request> expired;
    auto const dequeued = queue.next(at(seconds(2)), expired);
    EXPECT_EQ(dequeued->id, "second");
    ASSERT_EQ(expired.size(), 1U);
    EXPECT_EQ(expired[0].id, "first");
    EXPECT_EQ(queue.size(), 0U);
}

// Guards against totals that differ from the queued requests, for any order of calls.
TEST(fair_queue, size_and_tokens_match_queued_requests)
{
    tests::check_seeded(
        0x43, 500,
        []
        {
            fair_queue queue({20, 6, 10'000, 4'000});
            std::map<std::string, queued_request> queued;
            std::vector<queued_request> running;
            auto now = at({});
            auto const steps = *rc::gen::inRange(1, 150);
            for (int n = 0; n < steps; ++n)
            {
                now += milliseconds(*rc::gen::inRange(0, 300));
                auto const action = *rc::gen::inRange(0, 5);
                if (action < 2)
                {
                    auto it =
                        request(std::to_string(n), std::string(1, *rc::gen::inRange('a', 'e')),
                                *rc::gen::inRange<std::uint64_t>(0, 1500));
                    it.priority = *rc::gen::inRange(-2, 3);
                    if (*rc::gen::arbitrary<bool>())
                        it.deadline = now + milliseconds(*rc::gen::inRange(0, 2000));
                    if (add(queue, it, now))
                        queued.emplace(it.id, it);
                }
                else if (action == 2)
                {
                    std::vector<queued_request> expired;
                    auto const dequeued = queue.next(now, expired);
                    for (auto const& it : expired)
                    {
                        RC_ASSERT(*it.deadline < now);
                        RC_ASSERT(queued.erase(it.id) == 1U);
                    }
                    RC_ASSERT(dequeued.has_value() == !queued.empty());
                    if (dequeued)
                    {
                        RC_ASSERT(queued.at(dequeued->id) == *dequeued);
                        queued.erase(dequeued->id);
                        running.push_back(*dequeued);
                    }
                }
                else if (action == 3 && !running.empty())
                {
                    queue.on_completed(now, running.back(), running.back().tokens / 2);
                    running.pop_back();
                }
                else if (action == 4 && !queued.empty())
                {
                    auto const id = queued.begin()->first;
                    RC_ASSERT(queue.remove(id));
                    queued.erase(id);
                }
                std::uint64_t tokens = 0;
                std::map<std::string, std::pair<std::size_t, std::uint64_t>> by_workspace;
                for (auto const& [id, it] : queued)
                {
                    tokens += it.tokens;
                    ++by_workspace[it.workspace].first;
                    by_workspace[it.workspace].second += it.tokens;
                }
                RC_ASSERT(queue.size() == queued.size());
                RC_ASSERT(queue.tokens() == tokens);
                RC_ASSERT(tokens <= 10'000U);
                RC_ASSERT(queued.size() <= 20U);
                for (auto const& [name, sums] : by_workspace)
                    RC_ASSERT((sums.first <= 6U && sums.second <= 4'000U));
            }
        });
}

} // namespace
} // namespace savorymount::queueing
