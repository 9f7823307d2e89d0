#include "../seeded_property.hpp"
#include <savorymount/queueing/request_queue.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <tests/libraries/time_points.hpp>
#include <vector>

namespace savorymount::queueing
{
namespace
{

using namespace std::chrono_literals;
using tests::at;

waiting_request request(std::uint64_t id, std::int32_t urgency, std::string workspace,
                        double tokens = 1, base::duration deadline = 10s)
{
    waiting_request out;
    out.id = id;
    out.urgency = urgency;
    out.workspace = std::move(workspace);
    out.tokens = tokens;
    out.deadline = at(deadline);
    out.leaves_at = at(deadline);
    return out;
}

std::vector<std::uint64_t> begin_all(request_queue& queue)
{
    std::vector<std::uint64_t> out;
    while (auto const* const it = queue.front())
        out.push_back(queue.begin(at({}), it->id)->id);
    return out;
}

// Guards against urgent requests that wait behind less urgent ones that came before.
TEST(request_queue, begins_the_most_urgent_first)
{
    request_queue queue;
    queue.add(at({}), request(1, 2, "a"));
    queue.add(at({}), request(2, 0, "a"));
    queue.add(at({}), request(3, 1, "a"));
    EXPECT_EQ(queue.count_until(0), 1U);
    EXPECT_EQ(queue.count_until(1), 2U);
    EXPECT_EQ(begin_all(queue), (std::vector<std::uint64_t>{2, 3, 1}));
}

// Guards against a caller that was refused and is passed over again by newcomers.
TEST(request_queue, begins_a_returned_caller_before_a_newcomer)
{
    request_queue queue;
    queue.add(at({}), request(1, 0, "a", 1, 5s));
    queue.add(at({}), request(2, 0, "a", 1, 3s));
    EXPECT_EQ(begin_all(queue), (std::vector<std::uint64_t>{2, 1}));
}

// Guards against small requests that overtake a large one for as long as they come.
TEST(request_queue, keeps_a_large_request_in_its_place)
{
    request_queue queue;
    queue.add(at({}), request(1, 0, "a", 50'000, 3s));
    for (std::uint64_t id = 2; id < 50; ++id)
        queue.add(at({}), request(id, 0, "a", 10, 4s));
    EXPECT_EQ(queue.front()->id, 1U);
}

// Guards against a workspace at its usual rate that pays for another one at five times its rate.
// Arrival order, which decides today, lets it wait behind the excess.
TEST(request_queue, serves_a_usual_workspace_in_time_beside_one_in_excess)
{
    std::size_t in_order_of_arrival = 0;
    std::size_t in_fair_order = 0;
    request_queue queue;
    std::map<std::uint64_t, bool> usual;
    std::uint64_t id = 0;
    std::vector<std::uint64_t> arrivals;
    // Each step brings five requests of one workspace and one of the other; two can begin.
    for (int step = 0; step < 100; ++step)
    {
        for (int n = 0; n < 6; ++n)
        {
            usual[++id] = n == 5;
            queue.add(at({}), request(id, 0, n == 5 ? "usual" : "excess", 100, 1s * (id + 1)));
            arrivals.push_back(id);
        }
        for (int n = 0; n < 2; ++n)
        {
            auto const fair = queue.begin(at({}), queue.front()->id)->id;
            in_fair_order += usual.at(fair) ? 1 : 0;
            in_order_of_arrival += usual.at(arrivals.front()) ? 1 : 0;
            arrivals.erase(arrivals.begin());
        }
    }
    EXPECT_EQ(in_fair_order, 100U);
    EXPECT_LT(in_order_of_arrival, 40U);
}

// Guards against a workspace that is refused because of the length of another one's queue.
TEST(request_queue, does_not_count_the_excess_of_another_workspace)
{
    request_queue queue;
    for (std::uint64_t id = 1; id <= 50; ++id)
        queue.add(at({}), request(id, 1, "excess"));
    EXPECT_EQ(queue.position_of(1, "excess", 1), 51U);
    EXPECT_EQ(queue.position_of(1, "usual", 1), 2U);
    EXPECT_EQ(queue.position_of(0, "usual", 1), 1U);
    EXPECT_EQ(queue.position_of(2, "usual", 1), 51U);
}

// Guards against requests that wait longer than they may, and against others that go with them.
TEST(request_queue, expires_requests_at_their_own_time)
{
    request_queue queue;
    queue.add(at({}), request(1, 0, "a", 1, 1s));
    queue.add(at({}), request(2, 1, "b", 1, 2s));
    EXPECT_TRUE(queue.take_expired(at(999ms)).empty());
    auto const expired = queue.take_expired(at(1s));
    ASSERT_EQ(expired.size(), 1U);
    EXPECT_EQ(expired.front().id, 1U);
    EXPECT_FALSE(queue.remove(at(1s), 1));
    EXPECT_TRUE(queue.remove(at(1s), 2));
    EXPECT_EQ(queue.front(), nullptr);
}

// Guards against waits that are promised from a rate at times without contention, and against an
// endless or zero expected wait while engines begin nothing.
TEST(request_queue, measures_the_interval_between_requests_that_begin_under_contention)
{
    request_queue queue;
    EXPECT_FALSE(queue.begin_interval(at(10s)));
    for (std::uint64_t id = 1; id <= 100; ++id)
        queue.add(at(10s), request(id, 0, "a", 1, 60s));
    EXPECT_FALSE(queue.begin_interval(at(10s + 50ms)));
    for (int n = 1; n <= 99; ++n)
        queue.begin(at(10s + n * 20ms), queue.front()->id);
    auto const interval = queue.begin_interval(at(10s + 1980ms));
    ASSERT_TRUE(interval);
    EXPECT_GE(*interval, 15ms);
    EXPECT_LE(*interval, 25ms);
    auto const stuck = queue.begin_interval(at(15s));
    ASSERT_TRUE(stuck);
    EXPECT_GE(*stuck, 500ms);
    EXPECT_LE(*stuck, 6s);
}

/// Checks that the front is the most urgent request, and the earliest of its workspace.
void check_front(request_queue const& queue, std::map<std::uint64_t, waiting_request> const& model)
{
    RC_ASSERT(queue.size() == model.size());
    auto const* const front = queue.front();
    RC_ASSERT((front == nullptr) == model.empty());
    for (auto const& [id, it] : model)
    {
        RC_ASSERT(front->urgency <= it.urgency);
        if (front->urgency == it.urgency && front->workspace == it.workspace)
            RC_ASSERT(std::pair(front->deadline, front->id) <= std::pair(it.deadline, id));
    }
}

// Guards against requests that are lost, begin twice or begin out of order, whatever arrives,
// leaves, begins and expires.
TEST(request_queue, keeps_every_request_until_it_begins_leaves_or_expires)
{
    tests::check_property(
        200,
        []
        {
            request_queue queue;
            std::map<std::uint64_t, waiting_request> model;
            std::uint64_t id = 0;
            auto const steps = *rc::gen::inRange(1, 200);
            for (int step = 0; step < steps; ++step)
            {
                auto const now = at(step * 10ms);
                auto const action = *rc::gen::inRange(0, 8);
                if (action < 4)
                {
                    auto it = request(++id, *rc::gen::inRange(0, 3),
                                      "w" + std::to_string(*rc::gen::inRange(0, 4)),
                                      *rc::gen::inRange(1, 1000), *rc::gen::inRange(1, 3000) * 1ms);
                    it.leaves_at = now + *rc::gen::inRange(1, 1000) * 1ms;
                    queue.add(now, it);
                    model[id] = it;
                }
                else if (action < 6 && queue.front() != nullptr)
                {
                    auto const begun = queue.begin(now, queue.front()->id);
                    RC_ASSERT(begun && model.erase(begun->id) == 1);
                }
                else if (action == 6 && id > 0)
                {
                    auto const left = *rc::gen::inRange<std::uint64_t>(1, id + 1);
                    RC_ASSERT(queue.remove(now, left) == (model.erase(left) == 1));
                }
                for (auto const& it : queue.take_expired(now))
                    RC_ASSERT(it.leaves_at <= now && model.erase(it.id) == 1);
                check_front(queue, model);
            }
        });
}

} // namespace
} // namespace savorymount::queueing
