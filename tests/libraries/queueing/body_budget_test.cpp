#include "../seeded_property.hpp"
#include <savorymount/queueing/body_budget.hpp>

#include <algorithm>
#include <string>
#include <tests/libraries/time_points.hpp>
#include <tuple>
#include <vector>

namespace savorymount::queueing
{
namespace
{

using namespace std::chrono_literals;
using namespace std::string_literals;
using tests::at;
using decision = body_budget::decision;

constexpr std::size_t kib = 1024;

body_budget_limits small_limits()
{
    body_budget_limits out;
    out.max_bytes = 1000 * kib;
    out.small_body_reserve = 100 * kib;
    out.max_small_body_bytes = 10 * kib;
    out.max_workspace_bytes = 700 * kib;
    out.max_waiting = 20;
    return out;
}

TEST(body_budget, rejects_at_once_what_can_never_be_read)
{
    body_budget budget(small_limits());
    EXPECT_EQ(budget.request(at({}), "a", 701 * kib, 1s).result, decision::rejected);
    EXPECT_EQ(budget.waiting(), 0U);
}

// Guards against small requests that wait behind large bodies.
TEST(body_budget, grants_small_bodies_while_large_ones_wait)
{
    body_budget budget(small_limits());
    budget.request(at({}), "a", 600 * kib, 1s);
    budget.request(at({}), "b", 300 * kib, 1s);
    EXPECT_EQ(budget.request(at({}), "b", 300 * kib, 1s).result, decision::waiting);
    EXPECT_EQ(budget.request(at({}), "a", 10 * kib, 1s).result, decision::granted);
}

// Guards against a workspace that holds all memory for bodies.
TEST(body_budget, keeps_room_for_other_workspaces)
{
    body_budget budget(small_limits());
    EXPECT_EQ(budget.request(at({}), "a", 700 * kib, 1s).result, decision::granted);
    EXPECT_EQ(budget.request(at({}), "a", 100 * kib, 1s).result, decision::waiting);
    EXPECT_EQ(budget.request(at({}), "b", 200 * kib, 1s).result, decision::granted);
}

// Guards against a flood of one workspace that delays the bodies of another.
TEST(body_budget, grants_the_workspace_that_holds_least_first)
{
    body_budget budget(small_limits());
    auto const first = budget.request(at({}), "a", 300 * kib, 1s);
    budget.request(at({}), "a", 300 * kib, 1s);
    budget.request(at({}), "c", 300 * kib, 1s);
    for (int i = 0; i < 5; ++i)
        budget.request(at({}), "a", 300 * kib, 1s);
    auto const other = budget.request(at({}), "b", 300 * kib, 1s);
    EXPECT_EQ(other.result, decision::waiting);
    budget.release(first.id);
    EXPECT_EQ(budget.grant_waiting(at(1ms)), std::vector{other.id});
}

// Guards against bodies that wait in vain until their callers give up.
TEST(body_budget, rejects_at_once_if_the_wait_would_be_too_long)
{
    body_budget budget(small_limits());
    constexpr int count = 8;
    std::vector<body_budget::ticket> held;
    held.reserve(count);
    for (int i = 0; i < count; ++i)
        held.push_back(budget.request(at({}), "ab"s.substr(i % 2, 1), 300 * kib, 1s).id);
    budget.release(held[0]);
    EXPECT_EQ(budget.grant_waiting(at(900ms)).size(), 1U);
    auto const late = budget.request(at(1s), "a", 300 * kib, 1s);
    EXPECT_EQ(late.result, decision::rejected);
    EXPECT_GT(late.retry_after, 1s);
    EXPECT_EQ(budget.request(at(1s), "a", 300 * kib, 30s).result, decision::waiting);
}

TEST(body_budget, frees_what_a_body_does_not_use)
{
    body_budget budget(small_limits());
    auto const first = budget.request(at({}), "a", 600 * kib, 1s);
    budget.shrink(first.id, 20 * kib);
    EXPECT_EQ(budget.held_bytes(), 20 * kib);
    EXPECT_EQ(budget.held_bytes_of("a"), 20 * kib);
    budget.release(first.id);
    EXPECT_EQ(budget.held_bytes(), 0U);
}

/// Plays a history and checks the limits after each of its steps.
class budget_history
{
public:
    void request(std::string const& workspace, std::size_t bytes)
    {
        auto const it = budget_.request(now_, workspace, bytes, 1h);
        if (it.result == decision::granted)
            granted_.push_back(it.id);
        if (it.result == decision::waiting)
            waiting_.push_back(it.id);
        advance();
    }

    void end_granted(std::size_t choice) { end(granted_, choice); }
    void end_waiting(std::size_t choice) { end(waiting_, choice); }

    void shrink(std::size_t choice)
    {
        if (!granted_.empty())
            budget_.shrink(granted_[choice % granted_.size()], choice % (50 * kib));
        advance();
    }

    /// Every granted body ends at some time; all others must then have had their turn.
    void end_all()
    {
        while (!granted_.empty())
            end_granted(0);
        RC_ASSERT(waiting_.empty());
        RC_ASSERT(budget_.held_bytes() == 0U);
        RC_ASSERT(budget_.waiting() == 0U);
    }

private:
    void end(std::vector<body_budget::ticket>& from, std::size_t choice)
    {
        if (from.empty())
            return;
        auto const at = from.begin() + static_cast<std::ptrdiff_t>(choice % from.size());
        budget_.release(*at);
        from.erase(at);
        advance();
    }

    void advance()
    {
        now_ += 7ms;
        for (auto const it : budget_.grant_waiting(now_))
        {
            RC_ASSERT(std::erase(waiting_, it) == 1U);
            granted_.push_back(it);
        }
        auto const limits = budget_.limits();
        RC_ASSERT(budget_.held_bytes() <= limits.max_bytes);
        RC_ASSERT(budget_.waiting() == waiting_.size());
        RC_ASSERT(budget_.waiting() <= limits.max_waiting);
        for (char const* it : {"a", "b", "c"})
            RC_ASSERT(budget_.held_bytes_of(it) <= limits.max_workspace_bytes);
        // Something that is granted will end and let the next one in.
        RC_ASSERT(waiting_.empty() || !granted_.empty());
    }

    body_budget budget_{small_limits()};
    base::time_point now_ = at({});
    std::vector<body_budget::ticket> granted_;
    std::vector<body_budget::ticket> waiting_;
};

// Guards against histories that exceed the limit or end in a deadlock.
TEST(body_budget, keeps_its_limits_and_lets_every_body_go_on)
{
    tests::check_property(
        500,
        []
        {
            auto const steps = *rc::gen::container<std::vector<std::tuple<int, int, std::size_t>>>(
                rc::gen::tuple(rc::gen::inRange(0, 8), rc::gen::inRange(0, 3),
                               rc::gen::inRange<std::size_t>(0, 800 * kib)));
            budget_history history;
            for (auto const& [kind, workspace, n] : steps)
            {
                if (kind < 4)
                    history.request(std::string(1, static_cast<char>('a' + workspace)), n);
                else if (kind < 6)
                    history.end_granted(n);
                else if (kind == 6)
                    history.end_waiting(n);
                else
                    history.shrink(n);
            }
            history.end_all();
        });
}

} // namespace
} // namespace savorymount::queueing
