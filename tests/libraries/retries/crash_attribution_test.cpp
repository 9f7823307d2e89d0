#include <savorymount/base/random_source.hpp>
#include <savorymount/retries/crash_attribution.hpp>

#include <gtest/gtest.h>

#include <tests/libraries/seeded_property.hpp>
#include <tests/libraries/time_points.hpp>

namespace savorymount::retries
{
namespace
{

using namespace std::chrono_literals;
using tests::at;

// Parts of the prompts: the first ones of all and of one client, the crashing one, a rare one.
constexpr std::uint64_t house = 1;
constexpr std::uint64_t client = 2;
constexpr std::uint64_t bad = 3;
constexpr std::uint64_t rare = 4;

upstream_loss loss(int upstream, std::uint64_t request, std::vector<std::uint64_t> parts)
{
    return {"engine-" + std::to_string(upstream), request, std::move(parts)};
}

void lose(crash_attribution& attribution, base::duration time, int upstream, std::uint64_t request,
          std::vector<std::uint64_t> parts)
{
    attribution.record_loss(at(time), at(time), loss(upstream, request, std::move(parts)));
}

bool refuses(crash_attribution& attribution, base::duration time,
             std::vector<std::uint64_t> const& parts)
{
    return attribution.find_cause(at(time), parts).has_value();
}

// Guards against a part that crashes engine after engine in different requests.
TEST(crash_attribution, four_lost_upstreams_without_a_completed_response_name_the_cause)
{
    crash_attribution attribution;
    lose(attribution, 0s, 0, 10, {house, client, bad});
    lose(attribution, 0s, 1, 11, {house, client, bad});
    lose(attribution, 1s, 2, 12, {house, client, bad});
    EXPECT_FALSE(refuses(attribution, 1s, {house, client, bad}));
    attribution.record_completion(at(1500ms), at(1500ms), {house, client});
    lose(attribution, 2s, 3, 13, {house, client, bad});
    EXPECT_TRUE(refuses(attribution, 2s, {house, 77, bad}));
    EXPECT_FALSE(refuses(attribution, 2s, {house, client}));
    EXPECT_TRUE(refuses(attribution, 599s, {bad}));
    EXPECT_FALSE(refuses(attribution, 603s, {bad}));
}

// Guards against refusing the sound requests of a client before any response was completed.
TEST(crash_attribution, a_prompt_without_all_parts_of_the_cause_is_accepted)
{
    crash_attribution attribution;
    for (int i = 0; i < 4; ++i)
        lose(attribution, i * 1s, i, 11 + i, {house, client, bad});
    EXPECT_TRUE(refuses(attribution, 3s, {house, client, bad}));
    EXPECT_FALSE(refuses(attribution, 3s, {house, client, rare}));
    lose(attribution, 4s, 9, 20, {house, 77, bad});
    EXPECT_TRUE(refuses(attribution, 4s, {house, 78, bad}));
}

// Guards against a part whose earlier responses clear it while it already crashes upstreams.
TEST(crash_attribution, a_part_that_was_sound_until_it_began_to_crash_is_refused_in_time)
{
    crash_attribution attribution;
    for (base::duration since_start{}; since_start <= 10s; since_start += 100ms)
        attribution.record_completion(at(since_start), at(since_start), {house, client, bad});
    int losses = 0;
    for (base::duration since_start = 10200ms; since_start < 20s; since_start += 500ms)
    {
        attribution.record_completion(at(since_start), at(since_start), {house, client});
        if (!refuses(attribution, since_start, {house, client, bad}))
        {
            lose(attribution, since_start, losses, 100 + losses, {house, client, bad});
            ++losses;
        }
    }
    // Five upstreams may be lost, and those of the 3 s after the fifth.
    EXPECT_LE(losses, 5 + 6);
    EXPECT_FALSE(refuses(attribution, 20s, {house, client}));
}

// Guards against taking one request that was retried, or one moment in which many engines ended,
// for a crashing part.
TEST(crash_attribution, one_request_or_one_moment_is_not_enough)
{
    crash_attribution attribution;
    for (int i = 0; i < 5; ++i)
        lose(attribution, i * 1s, i, 11, {rare});
    EXPECT_FALSE(refuses(attribution, 5s, {rare}));
    EXPECT_TRUE(attribution.may_crash_again(at(5s), {rare}));
    for (int i = 0; i < 50; ++i)
        lose(attribution, 100s + i * 4ms, 100 + i, 200 + i, {house, client});
    EXPECT_FALSE(refuses(attribution, 101s, {house, client}));
}

// Guards against refusing a sound part because it was on engines that another part crashed.
TEST(crash_attribution, a_part_that_shared_the_lost_upstreams_is_accepted)
{
    crash_attribution attribution;
    for (int i = 0; i < 6; ++i)
    {
        lose(attribution, i * 1s, i, 11 + i, {bad});
        for (int n = 0; n < 3; ++n)
            lose(attribution, i * 1s, i, 100 + 10 * i + n, {house, rare});
    }
    EXPECT_TRUE(refuses(attribution, 6s, {house, bad}));
    EXPECT_FALSE(refuses(attribution, 6s, {house, rare}));
}

// Guards against taking reset connections to running engines for crashes.
TEST(crash_attribution, an_upstream_that_goes_on_responding_did_not_crash)
{
    crash_attribution attribution;
    for (int i = 0; i < 5; ++i)
    {
        lose(attribution, i * 1s, i, 11 + i, {rare});
        attribution.record_response(at(i * 1s + 300ms), at(i * 1s + 200ms),
                                    "engine-" + std::to_string(i));
        // Another instance repeats what it reported before.
        lose(attribution, i * 1s + 400ms, i, 11 + i, {rare});
    }
    EXPECT_FALSE(refuses(attribution, 4s, {rare}));
    EXPECT_FALSE(attribution.may_crash_again(at(4s), {rare}));
}

// Guards against a response that began before the loss and clears the engine.
TEST(crash_attribution, an_earlier_request_says_nothing_about_the_upstream)
{
    crash_attribution attribution;
    for (int i = 0; i < 4; ++i)
    {
        lose(attribution, i * 1s, i, 11 + i, {bad});
        attribution.record_response(at(i * 1s + 10ms), at(i * 1s - 10ms),
                                    "engine-" + std::to_string(i));
    }
    EXPECT_TRUE(refuses(attribution, 3s, {bad}));
}

// Guards against unbounded memory, and against losing a cause in a flood of other losses.
TEST(crash_attribution, memory_is_bounded_and_keeps_known_causes)
{
    crash_attribution attribution;
    for (int i = 0; i < 4; ++i)
        lose(attribution, i * 1s, i, 11 + i, {bad});
    EXPECT_TRUE(refuses(attribution, 3s, {bad}));
    for (int i = 0; i < 2'000; ++i)
        lose(attribution, 4s, 100 + i, 1000 + i, {std::uint64_t(100'000 + i)});
    EXPECT_EQ(attribution.loss_count(), 256U);
    EXPECT_TRUE(refuses(attribution, 5s, {bad}));
    for (std::uint64_t i = 0; i < 100'000; ++i)
        attribution.record_completion(at(6s), at(6s), {1'000'000 + i});
    EXPECT_LE(attribution.completion_count(), 16'384U);
    EXPECT_TRUE(attribution.reportable_losses(at(6s), 32).size() <= 32U);
}

/// Several instances and engines in steps of 50 ms. Reports are delayed by up to a second, and some
/// are lost.
class fleet_history
{
public:
    fleet_history(std::uint64_t seed, std::size_t instances)
        : random_(seed), instances_(instances), engines_(instances * 4 + 8),
          lost_reports_percent_(random_.uniform_below(40)),
          bad_per_second_(1.0 + random_.uniform_real() * 12), first_part_is_bad_(chance(0.2))
    {
        for (std::size_t i = 0; i < engines_.size(); ++i)
            engines_[i].process = static_cast<int>(i);
    }

    void run(base::duration length)
    {
        for (now_ = at(0s); now_ < at(length); now_ += step)
        {
            deliver_reports();
            start_requests();
            if (chance(0.002))
                crash_some();
            if (chance(0.005))
                instances_[random_.uniform_below(instances_.size())] = {{}, now_};
            finish_requests();
            if ((now_ - at(0s)) % 100ms == base::duration::zero())
                send_reports();
        }
    }

    std::size_t sends_after_bound = 0;
    std::size_t sound_refused = 0;
    std::size_t sound = 0;

private:
    static constexpr base::duration step = 50ms;

    struct instance
    {
        crash_attribution attribution;
        /// Time since which the instance runs.
        std::optional<base::time_point> started_at;
    };
    struct engine
    {
        int process = 0;
        base::time_point back_at{};
    };
    struct running_request
    {
        std::size_t instance;
        std::size_t engine;
        std::uint64_t id;
        std::vector<std::uint64_t> parts;
        base::time_point ends_at;
        bool crashes;
    };
    struct report
    {
        base::time_point arrives_at;
        std::size_t receiver;
        base::time_point sent_at;
        std::vector<std::pair<base::duration, upstream_loss>> losses;
        std::vector<std::pair<base::duration, std::uint64_t>> completions;
    };

    bool chance(double probability) { return random_.uniform_real() < probability; }

    std::string name(std::size_t index) const
    {
        return "engine-" + std::to_string(engines_[index].process);
    }

    void start_requests()
    {
        auto const seconds = std::chrono::duration<double>(step).count();
        for (std::size_t i = 0; i < instances_.size(); ++i)
        {
            if (chance(6 * seconds))
                start_request(i, false);
        }
        auto const bad_probability = bad_per_second_ * seconds;
        if (chance(bad_probability))
            start_request(random_.uniform_below(instances_.size()), true);
    }

    void start_request(std::size_t i, bool crashes)
    {
        auto& to = instances_[i];
        if (!to.started_at)
            to.started_at = now_;
        std::vector<std::uint64_t> parts{house, 10 + random_.uniform_below(4),
                                         100 + random_.uniform_below(60)};
        if (crashes)
            parts[first_part_is_bad_ ? 0 : 2] = bad;
        sound += crashes ? 0 : 1;
        if (to.attribution.find_cause(now_, parts))
        {
            sound_refused += crashes ? 0 : 1;
            return;
        }
        auto const chosen = random_.uniform_below(engines_.size());
        if (now_ < engines_[chosen].back_at)
            return;
        bool const in_touch = now_ - *to.started_at > 3s;
        if (crashes && in_touch && fifth_crash_at_ && now_ - *fifth_crash_at_ > 3s)
            ++sends_after_bound;
        base::duration const duration =
            100ms + std::chrono::milliseconds(crashes ? 0 : random_.uniform_below(3000));
        running_.push_back({i, chosen, next_id_++, parts, now_ + duration, crashes});
    }

    void finish_requests()
    {
        std::vector<std::size_t> crashed;
        for (auto const& it : running_)
        {
            if (it.crashes && it.ends_at <= now_)
                crashed.push_back(it.engine);
        }
        for (auto const it : crashed)
            crash(it, true);
        std::erase_if(running_,
                      [this](running_request const& it)
                      {
                          if (it.ends_at > now_)
                              return false;
                          instances_[it.instance].attribution.record_completion(now_, now_,
                                                                                it.parts);
                          return true;
                      });
    }

    void crash(std::size_t index, bool by_part)
    {
        if (now_ < engines_[index].back_at)
            return;
        std::erase_if(running_,
                      [&](running_request const& it)
                      {
                          if (it.engine != index)
                              return false;
                          instances_[it.instance].attribution.record_loss(
                              now_, now_, {name(index), it.id, it.parts});
                          return true;
                      });
        engines_[index] = {next_process_++, now_ + 2s};
        if (by_part && ++crashes_ == 5)
            fifth_crash_at_ = now_;
    }

    void crash_some()
    {
        for (std::size_t i = 0; i < engines_.size(); ++i)
        {
            if (chance(0.25))
                crash(i, false);
        }
    }

    void send_reports()
    {
        for (std::size_t from = 0; from < instances_.size(); ++from)
        {
            auto& attribution = instances_[from].attribution;
            auto const losses = attribution.reportable_losses(now_, 32);
            auto const completions = attribution.reportable_completions(now_, 64);
            if (losses.empty() && completions.empty())
                continue;
            for (std::size_t to = 0; to < instances_.size(); ++to)
            {
                if (to != from && random_.uniform_below(100) >= lost_reports_percent_)
                    reports_.push_back(
                        {now_ + std::chrono::milliseconds(random_.uniform_below(1000)), to, now_,
                         losses, completions});
            }
        }
    }

    void deliver_reports()
    {
        std::erase_if(reports_,
                      [this](report const& it)
                      {
                          if (it.arrives_at > now_)
                              return false;
                          auto& attribution = instances_[it.receiver].attribution;
                          for (auto const& [age, loss] : it.losses)
                              attribution.record_loss(now_, now_ - age, loss, false);
                          for (auto const& [age, part] : it.completions)
                              attribution.record_completion(now_, now_ - age, {part}, false);
                          return true;
                      });
    }

    base::random_source random_;
    std::vector<instance> instances_;
    std::vector<engine> engines_;
    std::uint64_t lost_reports_percent_;
    double bad_per_second_;
    bool first_part_is_bad_;
    base::time_point now_;
    std::vector<running_request> running_;
    std::vector<report> reports_;
    std::uint64_t next_id_ = 1;
    int next_process_ = 1000;
    int crashes_ = 0;
    std::optional<base::time_point> fifth_crash_at_;
};

// Guards against a crashing part that reaches more engines than allowed, and against refusing sound
// requests that share engines and parts with it, while reports are late or lost, other engines
// crash, and instances start again.
TEST(crash_attribution, few_sends_follow_five_crashes_and_sound_requests_go_on)
{
    tests::check_seeded(0xc4a5e, 30,
                        []
                        {
                            auto const seed = *rc::gen::arbitrary<std::uint32_t>();
                            auto const instances = *rc::gen::inRange<std::size_t>(2, 41);
                            fleet_history history(seed, instances);
                            history.run(60s);
                            RC_TAG(history.sends_after_bound);
                            RC_ASSERT(history.sends_after_bound <= 3U);
                            RC_ASSERT(history.sound_refused * 50 <= history.sound);
                        });
}

} // namespace
} // namespace savorymount::retries
