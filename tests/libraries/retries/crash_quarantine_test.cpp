#include <savorymount/retries/crash_quarantine.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace savorymount::retries
{
namespace
{

using std::chrono::seconds;

base::time_point at(base::duration since_start)
{
    return base::time_point(since_start + std::chrono::hours(1));
}

// Guards against a request that is retried and crashes one upstream after another.
TEST(crash_quarantine, two_crashes_of_different_engines_quarantine_the_request)
{
    crash_quarantine quarantine({seconds(600), 100});
    quarantine.record_crash(at(seconds(0)), "bad", "engine-1");
    EXPECT_EQ(quarantine.remaining_quarantine(at(seconds(0)), "bad"), std::nullopt);
    quarantine.record_crash(at(seconds(1)), "bad", "engine-1");
    EXPECT_EQ(quarantine.remaining_quarantine(at(seconds(1)), "bad"), std::nullopt)
        << "the log and the outcome report the same crash";
    quarantine.record_crash(at(seconds(10)), "bad", "engine-2");
    EXPECT_EQ(quarantine.remaining_quarantine(at(seconds(10)), "bad"), seconds(600));
    EXPECT_EQ(quarantine.remaining_quarantine(at(seconds(10)), "good"), std::nullopt);
    EXPECT_EQ(quarantine.remaining_quarantine(at(seconds(609)), "bad"), seconds(1));
    EXPECT_EQ(quarantine.remaining_quarantine(at(seconds(610)), "bad"), std::nullopt);
}

// Guards against refusing a request because of two unrelated crashes far apart in time.
TEST(crash_quarantine, expired_crashes_do_not_count)
{
    crash_quarantine quarantine({seconds(600), 100});
    quarantine.record_crash(at(seconds(0)), "rare", "engine-1");
    quarantine.record_crash(at(seconds(600)), "rare", "engine-2");
    EXPECT_EQ(quarantine.remaining_quarantine(at(seconds(600)), "rare"), std::nullopt);
    quarantine.record_crash(at(seconds(700)), "rare", "engine-3");
    EXPECT_TRUE(quarantine.remaining_quarantine(at(seconds(700)), "rare"));
}

// Guards against treating a slow or unreachable upstream as crashed, and against missing a crash.
TEST(crash_quarantine, slow_upstream_is_not_reported_as_crashed)
{
    EXPECT_FALSE(is_crash({false, false, "a", "a"}));
    EXPECT_FALSE(is_crash({false, true, "a", "b"})) << "no response, but no lost connection";
    EXPECT_FALSE(is_crash({true, false, "a", "a"}))
        << "a lost connection to a process that still runs";
    EXPECT_FALSE(is_crash({true, false, "a", ""})) << "the state of the process is unknown";
    EXPECT_FALSE(is_crash({true, false, "", "b"}));
    EXPECT_TRUE(is_crash({true, false, "a", "b"}));
    EXPECT_TRUE(is_crash({true, true, "a", ""}));
}

// Guards against unbounded memory for crashing requests, and against dropping a quarantine below
// the limit.
TEST(crash_quarantine, memory_is_bounded)
{
    crash_quarantine quarantine({seconds(600), 100});
    for (int i = 0; i < 10'000; ++i)
        quarantine.record_crash(at(seconds(0)), "digest-" + std::to_string(i), "engine-1");
    EXPECT_EQ(quarantine.size(), 100U);
    quarantine.record_crash(at(seconds(0)), "digest-9999", "engine-2");
    EXPECT_TRUE(quarantine.remaining_quarantine(at(seconds(0)), "digest-9999"));
    quarantine.record_crash(at(seconds(2000)), "other", "engine-1");
    EXPECT_EQ(quarantine.size(), 1U) << "expired records are removed";
}

// Guards against a result that differs from the reference model for some order of crash records.
RC_GTEST_PROP(crash_quarantine_properties, matches_the_reference_model, ())
{
    crash_quarantine quarantine({seconds(100), 1000});
    struct expected_record
    {
        std::string first_engine;
        base::time_point deciding_crash_at;
        bool quarantined = false;
    };
    std::map<std::string, expected_record> model;
    base::time_point now = at(seconds(0));
    int const steps = *rc::gen::inRange(1, 100);
    for (int i = 0; i < steps; ++i)
    {
        now += seconds(*rc::gen::inRange(0, 60));
        std::string const digest(1, static_cast<char>('a' + *rc::gen::inRange(0, 3)));
        std::string const engine = std::to_string(*rc::gen::inRange(0, 3));
        quarantine.record_crash(now, digest, engine);
        auto const it = model.find(digest);
        if (it == model.end() || now - it->second.deciding_crash_at >= seconds(100))
            model[digest] = {engine, now, false};
        else if (!it->second.quarantined && it->second.first_engine != engine)
            it->second = {engine, now, true};
        for (auto const& [name, state] : model)
        {
            bool const quarantined =
                state.quarantined && now - state.deciding_crash_at < seconds(100);
            RC_ASSERT(quarantine.remaining_quarantine(now, name).has_value() == quarantined);
        }
    }
}

} // namespace
} // namespace savorymount::retries
