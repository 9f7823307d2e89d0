#include <savorymount/rollouts/rollout_progress.hpp>

#include <gtest/gtest.h>

#include <tests/libraries/rollouts/rollout_history.hpp>
#include <tests/libraries/seeded_property.hpp>

namespace savorymount::rollouts
{
namespace
{

using namespace std::chrono_literals;
using tests::at;

rollout_order const order{"desk", "v2", 40s};
rollout_status const running{"desk", "v2", rollout_state::running, 0s};
rollout_status const completed{"desk", "v2", rollout_state::completed, 30s};
rollout_status const rolled_back{"desk", "v2", rollout_state::rolled_back, 3s};

rollout_progress make_progress(base::duration since = 0s)
{
    return {at(since), order, exposure_limiter(0.1, 0)};
}

version_choice choose_after(rollout_progress& progress, base::duration time, int requests)
{
    for (int n = 0; n < requests; ++n)
        progress.request_sent("ask", false);
    return progress.choose(at(time), "ask");
}

// Guards against a process that starts after a roll-back and sends to the target until it knows.
TEST(rollout_progress, target_gets_nothing_before_the_status_is_known)
{
    auto progress = make_progress();
    EXPECT_EQ(choose_after(progress, 1s, 100), version_choice::others);
    progress.status_read(at(1s), std::nullopt);
    EXPECT_EQ(choose_after(progress, 1s, 0), version_choice::target_first);
}

// Guards against requests to a version that another instance has found bad.
TEST(rollout_progress, judgement_of_another_instance_ends_the_target)
{
    auto progress = make_progress();
    progress.status_read(at(0s), running);
    rollout_report report{"desk", "v2", 3s, rollout_step::probe, true, std::nullopt, {}};
    progress.report_received(at(3s), "two/1", report);
    EXPECT_EQ(choose_after(progress, 3s, 100), version_choice::others);
    EXPECT_EQ(progress.wanted_state(), rollout_state::rolled_back);
    report.bad = false;
    report.step = rollout_step::carry;
    progress.report_received(at(4s), "two/1", report);
    EXPECT_EQ(progress.choose(at(4s), "ask"), version_choice::others);
}

// Guards against a new leader that takes back what its predecessor has written.
TEST(rollout_progress, final_status_is_never_replaced)
{
    auto progress = make_progress();
    progress.status_read(at(1s), rolled_back);
    progress.status_read(at(2s), completed);
    EXPECT_EQ(progress.wanted_state(), rollout_state::rolled_back);
    EXPECT_FALSE(progress.advance(at(39s), {5, 5, 0}));
}

// Guards against requests to old upstreams, which stop without a drain at `completed`, and against
// a service that takes no later version once they have left.
TEST(rollout_progress, completed_order_excludes_old_upstreams_for_some_time)
{
    auto progress = make_progress();
    progress.status_read(at(1s), completed);
    EXPECT_EQ(progress.choose(at(2s), "ask"), version_choice::target_only);
    EXPECT_EQ(progress.choose(at(40s), "ask"), version_choice::any);
}

// Guards against an instance that stays behind because it missed reports of earlier steps, and
// against one that goes back with a late report.
TEST(rollout_progress, steps_only_rise)
{
    auto progress = make_progress();
    progress.status_read(at(0s), running);
    rollout_report report{"desk", "v2", 30s, rollout_step::carry, false, std::nullopt, {}};
    progress.report_received(at(30s), "two/1", report);
    report.step = rollout_step::probe;
    progress.report_received(at(31s), "two/1", report);
    EXPECT_EQ(progress.step(), rollout_step::carry);
    EXPECT_EQ(progress.choose(at(31s), "ask"), version_choice::target_first);
}

// Guards against a successor that starts the time of the order anew and is late with `completed`.
TEST(rollout_progress, age_of_an_order_outlives_the_process)
{
    auto progress = make_progress(25s);
    progress.status_read(at(25s), rollout_status{"desk", "v2", rollout_state::running, 20s});
    EXPECT_EQ(progress.age(at(25s)), 20s);
    progress.report_received(at(26s), "two/1",
                             {"desk", "v2", 26s, rollout_step::probe, false, std::nullopt, {}});
    EXPECT_EQ(progress.age(at(26s)), 26s);
}

// Guards against an order whose target has no upstream and that ends as completed.
TEST(rollout_progress, target_without_upstreams_is_not_completed)
{
    auto progress = make_progress();
    progress.status_read(at(0s), running);
    for (auto time = 0s; time < 100s; time += 1s)
        progress.advance(at(time), {0, 5, 0});
    EXPECT_EQ(progress.step(), rollout_step::probe);
    EXPECT_EQ(progress.wanted_state(), rollout_state::running);
}

// Guards against cutting off requests that can't be repeated when the old upstreams are stopped.
TEST(rollout_progress, completion_waits_for_requests_at_old_upstreams)
{
    auto progress = make_progress();
    progress.status_read(at(0s), running);
    progress.report_received(at(28s), "two/1",
                             {"desk", "v2", 28s, rollout_step::carry, false, std::nullopt, {}});
    progress.advance(at(32s), {5, 5, 3});
    EXPECT_EQ(progress.wanted_state(), rollout_state::running);
    progress.advance(at(33s), {5, 5, 0});
    EXPECT_EQ(progress.wanted_state(), rollout_state::completed);
}

// Guards against `completed` while old upstreams still do most of the work.
TEST(rollout_progress, target_that_does_not_carry_the_load_is_not_completed)
{
    auto progress = make_progress();
    progress.status_read(at(0s), running);
    progress.report_received(at(28s), "two/1",
                             {"desk", "v2", 28s, rollout_step::carry, false, std::nullopt, {}});
    for (int n = 0; n < 100; ++n)
        progress.answered({rollout_step::carry, "ask", n % 3 == 0 ? other_versions : 7}, false,
                          false);
    progress.advance(at(38s), {5, 5, 0});
    EXPECT_EQ(progress.wanted_state(), rollout_state::running);
}

tests::history_options generate(bool with_disruptions)
{
    tests::history_options out;
    out.seed = *rc::gen::arbitrary<std::uint64_t>();
    out.instances = *rc::gen::inRange<std::size_t>(1, 40);
    out.target_engines = *rc::gen::inRange<std::size_t>(1, 12);
    out.requests_per_second = *rc::gen::inRange(200, 400);
    if (!with_disruptions)
        return out;
    out.lost_reports = 0.01 * *rc::gen::inRange(0, 30);
    // The steps of a roll-out are known to the instances only, and one alone starts anew with each
    // kill.
    bool const may_kill = out.instances > 1;
    out.kills = may_kill && *rc::gen::arbitrary<bool>();
    out.cuts = *rc::gen::arbitrary<bool>();
    out.store_outage = *rc::gen::arbitrary<bool>();
    out.kills_leader_before_write = may_kill && *rc::gen::arbitrary<bool>();
    return out;
}

tests::version_quality generate_bad_version()
{
    tests::version_quality out;
    auto const part = 0.01 * *rc::gen::inRange(30, 90);
    (*rc::gen::arbitrary<bool>() ? out.failing : out.slow) = part;
    out.on_one_route = *rc::gen::arbitrary<bool>();
    if (*rc::gen::arbitrary<bool>())
        out.since = std::chrono::seconds(*rc::gen::inRange(0, 20));
    return out;
}

void check_bad_version(tests::history_options const& options)
{
    constexpr base::duration roll_back_time = 5s;
    auto const result = tests::rollout_history(options).run();
    RC_LOG() << "seed " << options.seed << " instances " << options.instances << " failing "
             << options.target.failing << " slow " << options.target.slow << " since "
             << options.target.since.count() << " one route " << options.target.on_one_route
             << " target " << result.target_requests << " of " << result.requests << " bad "
             << result.bad_answers << "\n";
    RC_ASSERT(static_cast<double>(result.target_requests) <=
              0.1 * static_cast<double>(result.requests) + 50);
    if (result.fiftieth_bad_at)
        RC_ASSERT(result.last_target_request <= *result.fiftieth_bad_at + roll_back_time);
    RC_ASSERT(result.writes_after_final == 0);
    RC_ASSERT(result.stored != rollout_state::completed || result.bad_answers < 50);
}

// Guards against a bad version that gets more than its share, or requests later than the time for a
// roll-back after its fiftieth bad answer, whatever else happens meanwhile.
TEST(rollout_history, bad_version_never_gets_more_than_its_exposure)
{
    tests::check_seeded(
        43, 150,
        []
        {
            auto options = generate(true);
            options.target = generate_bad_version();
            check_bad_version(options);
        },
        false);
}

// Guards against a version that is bad under load only and is met by it after all old upstreams
// have stopped.
TEST(rollout_history, version_that_is_bad_under_load_is_rolled_back)
{
    tests::check_seeded(
        44, 60,
        []
        {
            auto options = generate(false);
            options.target = generate_bad_version();
            options.target.since = {};
            options.target.on_one_route = false;
            options.target.from_share = 0.2;
            auto const result = tests::rollout_history(options).run();
            RC_LOG() << "seed " << options.seed << " engines " << options.target_engines
                     << " failing " << options.target.failing << " slow " << options.target.slow
                     << " rate " << options.requests_per_second << " bad " << result.bad_answers
                     << "\n";
            RC_ASSERT(result.stored == rollout_state::rolled_back);
            RC_ASSERT(static_cast<double>(result.target_requests) <=
                      0.1 * static_cast<double>(result.requests) + 50);
        },
        false);
}

// Guards against a good version that is not completed well before its time limit.
TEST(rollout_history, good_version_is_completed)
{
    tests::check_seeded(
        45, 100,
        []
        {
            auto options = generate(true);
            options.common_fault = *rc::gen::arbitrary<bool>();
            auto const result = tests::rollout_history(options).run();
            RC_LOG() << "seed " << options.seed << " instances " << options.instances << " engines "
                     << options.target_engines << " faults " << options.common_fault
                     << options.single_fault << " final " << result.final_at.has_value()
                     << " stored " << (result.stored ? static_cast<int>(*result.stored) : -1)
                     << "\n";
            RC_ASSERT(result.stored == rollout_state::completed);
            RC_ASSERT(result.writes_after_final == 0);
        },
        false);
}

// Guards against roll-backs of good versions: one engine of the target fails 2 of 5 requests, and
// in a third of the histories all engines fail or are slow for some time. The limit is 1 in 100.
TEST(rollout_history, single_faults_roll_back_fewer_than_one_in_a_hundred_good_versions)
{
    constexpr int histories = 300;
    int rolled_back_ones = 0;
    for (int n = 0; n < histories; ++n)
    {
        tests::history_options options;
        options.seed = static_cast<std::uint64_t>(n) * 7 + 1;
        options.instances = static_cast<std::size_t>(2 + n % 9);
        options.requests_per_second = 150 + n;
        options.target_engines = static_cast<std::size_t>(2 + n % 8);
        options.single_fault = true;
        options.common_fault = n % 3 == 0;
        auto const result = tests::rollout_history(options).run();
        rolled_back_ones += result.stored == rollout_state::rolled_back ? 1 : 0;
    }
    EXPECT_LE(rolled_back_ones, histories / 100);
}

// Guards against a deployment so large that evidence takes long to come together.
TEST(rollout_history, three_hundred_instances_stop_a_bad_version_and_complete_a_good_one)
{
    tests::history_options options;
    options.instances = 300;
    options.requests_per_second = 600;
    options.limit = 30s;
    options.lost_reports = 0.05;
    options.target.failing = 0.3;
    auto const bad = tests::rollout_history(options).run();
    EXPECT_EQ(bad.stored, rollout_state::rolled_back);
    EXPECT_LE(bad.last_target_request, bad.fiftieth_bad_at.value_or(20s) + 5s);
    EXPECT_LE(bad.last_target_request, 15s);
    options.target = {};
    EXPECT_EQ(tests::rollout_history(options).run().stored, rollout_state::completed);
}

} // namespace
} // namespace savorymount::rollouts
