#include "utilities/bench/decision_time.hpp"

#include <savorymount/base/random_source.hpp>
#include <savorymount/routing/baselines.hpp>
#include <savorymount/routing/router.hpp>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

namespace savorymount::bench
{
namespace
{

using wall_clock = std::chrono::steady_clock;

constexpr std::size_t prompts = 50'000;
constexpr std::size_t decisions = 100'000;
constexpr std::size_t scans = 500;
/// A long prompt: 40 blocks of 2,000 tokens in four levels.
constexpr std::size_t blocks = 40;

double microseconds(wall_clock::duration time)
{
    return std::chrono::duration<double, std::micro>(time).count();
}

routing::prompt_prefix prompt(std::uint64_t number)
{
    routing::prompt_prefix out;
    for (std::uint64_t i = 0; i < blocks; ++i)
    {
        // Ten blocks shared by a hundred prompts each, the rest of the prompt's own.
        std::uint64_t const owner = i < 10 ? number / 100 : number + 1'000'000;
        out.digests.push_back((owner * blocks + i + 1) * 0x9e3779b97f4a7c15ULL);
        out.block_bytes.push_back(8000);
        out.text_bytes += 8000;
    }
    out.message_ends = {5, 10, 30, blocks};
    return out;
}

} // namespace

decision_cost measure_decision(std::size_t upstreams)
{
    decision_cost out;
    out.upstreams = upstreams;
    base::random_source random(1);
    routing::router router({}, random);
    std::vector<std::pair<routing::upstream_id, std::string>> members;
    members.reserve(upstreams);
    for (std::size_t i = 0; i < upstreams; ++i)
        members.emplace_back(static_cast<routing::upstream_id>(i), "engine-" + std::to_string(i));
    routing::candidate_pool const pool(members);
    routing::candidate_set const view{&pool, [](routing::upstream_id)
                                      {
                                          return 1.0;
                                      }};
    base::time_point now(std::chrono::hours(1));
    for (std::size_t i = 0; i < upstreams; ++i)
        router.load_reported(now, static_cast<routing::upstream_id>(i), "p", {1, 0, 1000});

    wall_clock::duration feedback{};
    auto const decide = [&](std::vector<double>* times)
    {
        routing::prompt_prefix const prefix = prompt(random.uniform_below(prompts));
        now += std::chrono::microseconds(100);
        auto const start = wall_clock::now();
        routing::ranked_upstreams const choice = router.choose(now, {&prefix, {}}, view);
        auto const chosen = wall_clock::now();
        router.sent(now, {&prefix, {}}, choice.front());
        router.prefill_finished(now, choice.front());
        router.finished(now, {&prefix, {}}, choice.front(), "p", blocks, blocks);
        auto const noted = wall_clock::now();
        if (times == nullptr)
            return;
        times->push_back(microseconds(chosen - start));
        feedback += noted - chosen;
    };
    for (std::size_t i = 0; i < decisions; ++i)
        decide(nullptr);
    std::vector<double> times;
    times.reserve(decisions);
    for (std::size_t i = 0; i < decisions; ++i)
        decide(&times);
    std::sort(times.begin(), times.end());
    for (double it : times)
        out.mean += it / static_cast<double>(decisions);
    out.p99 = times[times.size() * 99 / 100];
    out.feedback_mean = microseconds(feedback) / static_cast<double>(decisions);

    auto const scan = routing::make_least_loaded_policy(router.load(), random);
    routing::prompt_prefix const prefix = prompt(1);
    auto const start = wall_clock::now();
    for (std::size_t i = 0; i < scans; ++i)
        scan(now, {&prefix, {}}, view);
    out.scan_mean = microseconds(wall_clock::now() - start) / static_cast<double>(scans);
    out.state_bytes = router.memory_bytes() + pool.memory_bytes();
    return out;
}

} // namespace savorymount::bench
