#include <savorymount/limits/upstream_limits.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <tests/libraries/seeded_property.hpp>
#include <tests/libraries/time_points.hpp>

namespace savorymount::limits
{
namespace
{

using namespace std::chrono_literals;
using tests::at;

constexpr base::duration judged_window = 4s;

std::vector<std::string> instance_names(std::size_t count)
{
    std::vector<std::string> out;
    for (std::size_t i = 0; i < count; ++i)
        out.push_back("gateway-" + std::to_string(i));
    return out;
}

/// Requests that a limit tolerates in the judged window.
double tolerated(double limit)
{
    return 1.5 * limit * 4 + 5;
}

upstream_limits limits_of(std::string const& instance, std::vector<std::string> const& instances)
{
    upstream_limits out(instance);
    out.set_instances(instances);
    return out;
}

/// The most entries of `times` within the judged window.
std::size_t most_in_window(std::vector<base::time_point> times)
{
    std::sort(times.begin(), times.end());
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t i = 0; i < times.size(); ++i)
    {
        while (times[i] - times[first] > judged_window)
            ++first;
        most = std::max(most, i - first + 1);
    }
    return most;
}

// Guards against a limit that is lifted by a response which its upstream sent before it.
TEST(upstream_limits, ends_only_by_a_response_to_a_later_request)
{
    auto limits = limits_of("a", {"a"});
    limits.record_response(at(1s), at(900ms), "engine/1", 2.0);
    limits.record_response(at(1100ms), at(950ms), "engine/1", std::nullopt);
    EXPECT_EQ(limits.limit_of("engine/1"), 2.0);
    limits.record_response(at(1200ms), at(1050ms), "engine/1", std::nullopt);
    EXPECT_FALSE(limits.limit_of("engine/1"));
    EXPECT_FALSE(limits.next_request_at("engine/1"));
}

// Guards against the limit of an earlier process that holds back the one that took its place.
TEST(upstream_limits, belongs_to_the_process_that_named_it)
{
    auto limits = limits_of("a", {"a"});
    limits.record_response(at(1s), at(900ms), "engine/1", 2.0);
    EXPECT_TRUE(limits.next_request_at("engine/1"));
    EXPECT_FALSE(limits.next_request_at("engine/2"));
}

// Guards against an instance that has just started and takes itself for the only one.
TEST(upstream_limits, sends_nothing_before_the_other_instances_are_known)
{
    upstream_limits limits("a");
    limits.record_response(at(1s), at(900ms), "engine/1", 8.0);
    EXPECT_EQ(limits.next_request_at("engine/1"), base::time_point::max());
    limits.set_instances({"a", "b"});
    EXPECT_EQ(limits.next_request_at("engine/1"), at(1250ms));
}

// Guards against an instance that was suspended and uses a share that others took over.
TEST(upstream_limits, starts_to_wait_anew_after_a_pause_of_the_process)
{
    auto limits = limits_of("a", {"a"});
    limits.record_response(at(1s), at(900ms), "engine/1", 1.0);
    limits.process_resumed(at(60s));
    EXPECT_EQ(limits.next_request_at("engine/1"), at(61s));
}

// Guards against a share that is lost to a request whose connection failed.
TEST(upstream_limits, gives_back_the_share_of_a_request_that_did_not_arrive)
{
    auto limits = limits_of("a", {"a"});
    limits.record_response(at(1s), at(900ms), "engine/1", 1.0);
    limits.record_sent(at(5s), "engine/1");
    EXPECT_EQ(limits.next_request_at("engine/1"), at(6s));
    limits.withdraw_sent("engine/1");
    EXPECT_EQ(limits.next_request_at("engine/1"), at(2s));
}

// Guards against an upstream that takes nothing and is never asked again.
TEST(upstream_limits, tries_an_upstream_with_a_limit_of_zero_rarely)
{
    auto limits = limits_of("a", {"a"});
    limits.record_response(at(1s), at(900ms), "engine/1", 0.0);
    EXPECT_EQ(limits.next_request_at("engine/1"), at(11s));
}

// Guards against notices of other instances that are older than what is known.
TEST(upstream_limits, takes_the_newest_of_what_several_instances_learned)
{
    auto limits = limits_of("a", {"a", "b"});
    limits.apply_notice(at(2s), at(1s), {"engine/1", 2.0});
    EXPECT_EQ(limits.limit_of("engine/1"), 2.0);
    limits.apply_notice(at(2s), at(800ms), {"engine/1", 3.0});
    limits.apply_notice(at(2s), at(900ms), {"engine/1", std::nullopt});
    EXPECT_EQ(limits.limit_of("engine/1"), 2.0);
    limits.apply_notice(at(2s), at(1500ms), {"engine/1", std::nullopt});
    EXPECT_FALSE(limits.limit_of("engine/1"));
}

// Guards against notices that pass from instance to instance without end.
TEST(upstream_limits, reports_only_what_its_own_responses_showed)
{
    auto limits = limits_of("a", {"a", "b"});
    limits.apply_notice(at(1s), at(1s), {"engine/1", 2.0});
    EXPECT_TRUE(limits.reportable_notices(at(1s), 10).empty());
    limits.record_response(at(2s), at(1900ms), "engine/2", 3.0);
    auto const reported = limits.reportable_notices(at(3s), 10);
    ASSERT_EQ(reported.size(), 1U);
    EXPECT_EQ(reported.front().first, 1s);
    EXPECT_EQ(reported.front().second, (upstream_limit_notice{"engine/2", 3.0}));
    EXPECT_TRUE(limits.reportable_notices(at(6s), 10).empty());
}

// Guards against memory that grows with every upstream that ever named a limit.
TEST(upstream_limits, forgets_processes_that_are_no_longer_listed)
{
    auto limits = limits_of("a", {"a"});
    limits.record_response(at(1s), at(900ms), "engine/1", 2.0);
    limits.remove_expired(at(60s), [](auto const&) { return true; });
    EXPECT_EQ(limits.upstreams().size(), 1U);
    limits.remove_expired(at(60s), [](auto const&) { return false; });
    EXPECT_TRUE(limits.upstreams().empty());
}

// Guards against a limit that is divided into parts too small to use, or used more than once.
TEST(upstream_limits, divides_the_whole_limit_among_few_instances)
{
    for (std::size_t const count : {1U, 2U, 4U, 100U, 1500U})
    {
        auto const instances = instance_names(count);
        for (double const limit : {0.3, 1.0, 1.3, 20.0})
        {
            double total = 0;
            std::size_t sharing = 0;
            for (auto const& it : instances)
            {
                auto const share = share_of_limit("engine/1", limit, it, instances);
                total += share;
                sharing += share > 0 ? 1 : 0;
            }
            EXPECT_NEAR(total, limit, 1e-9) << count;
            EXPECT_LE(static_cast<double>(sharing), limit + 3) << count;
        }
    }
}

// Guards against one upstream after the other being left to the same few instances.
TEST(upstream_limits, chooses_other_instances_for_other_upstreams)
{
    auto const instances = instance_names(100);
    std::size_t used = 0;
    for (auto const& it : instances)
    {
        bool shares_any = false;
        for (int n = 0; n < 100; ++n)
            shares_any |=
                share_of_limit("engine-" + std::to_string(n) + "/1", 1.0, it, instances) > 0;
        used += shares_any ? 1 : 0;
    }
    EXPECT_GT(used, 90U);
}

/// Instances that always have a request for one upstream with a limit. They learn from their own
/// responses and, later, from the notices of others; some start late or see fewer others.
struct demanding_instances
{
    demanding_instances(std::size_t count, double named_limit) : limit(named_limit)
    {
        names = instance_names(count);
        for (auto const& it : names)
            instances.push_back(limits_of(it, names));
    }

    void pass_notices_on(base::time_point now)
    {
        std::vector<std::pair<base::duration, upstream_limit_notice>> all;
        for (auto const& it : instances)
        {
            for (auto const& notice : it.reportable_notices(now, 10))
                all.push_back(notice);
        }
        for (auto& it : instances)
        {
            for (auto const& [age, notice] : all)
                it.apply_notice(now, now - age, notice);
        }
    }

    void step(base::time_point now)
    {
        for (auto& it : instances)
        {
            auto const next = it.next_request_at("engine/1");
            if (next && now < *next)
                continue;
            it.record_sent(now, "engine/1");
            sent.push_back(now);
            it.record_response(now, now, "engine/1", limit);
        }
    }

    double limit;
    std::vector<std::string> names;
    std::vector<upstream_limits> instances;
    std::vector<base::time_point> sent;
};

// Guards against a sum over all instances beyond the limit, whatever their number.
TEST(upstream_limits, all_instances_together_keep_the_limit)
{
    tests::check_property(
        40,
        []
        {
            auto const count = *rc::gen::element<std::size_t>(1, 2, 4, 13, 100, 1500);
            auto const limit = *rc::gen::element(0.0, 0.3, 1.0, 1.5, 7.0, 40.0);
            auto const late = *rc::gen::inRange<std::size_t>(0, 3);
            demanding_instances system(count, limit);
            auto const step = 50ms;
            for (base::duration since_start{}; since_start < 20s; since_start += step)
            {
                if (since_start == 1s)
                    system.sent.clear();
                // An instance joins, which the others see half a second later.
                if (since_start == 5s + late * 1s)
                {
                    system.names.push_back("late");
                    system.instances.push_back(limits_of("late", system.names));
                    system.instances.back().record_response(at(since_start), at(since_start),
                                                            "engine/1", limit);
                }
                if (since_start == 5500ms + late * 1s)
                {
                    for (auto& it : system.instances)
                        it.set_instances(system.names);
                }
                system.step(at(since_start));
                if (since_start % 500ms == base::duration::zero())
                    system.pass_notices_on(at(since_start));
            }
            auto const most = static_cast<double>(most_in_window(system.sent));
            RC_ASSERT(most <= tolerated(limit));
        });
}

// Guards against a limit that is kept by hardly using the upstream at all.
TEST(upstream_limits, instances_with_demand_use_most_of_the_limit)
{
    for (std::size_t const count : {4U, 100U, 1500U})
    {
        demanding_instances system(count, 2.0);
        for (base::duration since_start{}; since_start < 60s; since_start += 50ms)
        {
            if (since_start == 10s)
                system.sent.clear();
            system.step(at(since_start));
        }
        EXPECT_GT(system.sent.size(), 80U) << count;
        EXPECT_LE(system.sent.size(), 105U) << count;
    }
}

} // namespace
} // namespace savorymount::limits
