#include <savorymount/routing/baselines.hpp>
#include <savorymount/routing/placement.hpp>
#include <savorymount/routing/pooled_cache_oracle.hpp>
#include <savorymount/routing/router.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>

namespace savorymount::routing
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

base::time_point at(base::duration since_start)
{
    return base::time_point(since_start + std::chrono::hours(1));
}

std::vector<std::pair<upstream_id, std::string>> members(std::size_t count)
{
    std::vector<std::pair<upstream_id, std::string>> out;
    for (upstream_id i = 0; i < count; ++i)
        out.emplace_back(i, "engine-" + std::to_string(i));
    return out;
}

/// House rules of three blocks, a client of two, and a question that nobody else asks.
prompt_prefix prompt(std::uint64_t client, std::uint64_t question)
{
    prompt_prefix out;
    out.digests = {1001, 1002, 1003, 5000 + client * 2, 5001 + client * 2, 900'000 + question};
    out.block_bytes = {8000, 8000, 8000, 8000, 8000, 400};
    out.level_ends = {3, 5, 6};
    out.text_bytes = 40'400;
    return out;
}

class router_test : public testing::Test
{
protected:
    ranked_choice choose(router& from, base::time_point now, prompt_prefix const& prefix,
                         std::vector<upstream_id> const& tried = {})
    {
        return from.choose(now, {&prefix, tried}, {&engines, share});
    }

    candidate_pool engines{members(20)};
    std::function<double(upstream_id)> share;
    base::random_source numbers{1};
    router_options options;
    router decisions{options, numbers};
};

// Guards against a request that recomputes a prefix which another upstream holds.
TEST_F(router_test, prefers_the_upstream_that_holds_the_prefix)
{
    prompt_prefix const first = prompt(1, 1);
    upstream_id const other = choose(decisions, at(seconds(0)), first).at(2).upstream;
    decisions.finished(at(seconds(0)), {&first, {}}, {other, {}, 0, 0, 0}, "p1", 6);
    prompt_prefix const second = prompt(1, 2);
    ranked_choice const choice = choose(decisions, at(seconds(1)), second);
    EXPECT_EQ(choice.at(0).upstream, other);
    EXPECT_EQ(choice.at(0).expected_blocks, 5U);
}

// Guards against hits on an engine that crashed and came back empty.
TEST_F(router_test, hints_of_an_old_engine_process_are_not_used)
{
    prompt_prefix const first = prompt(1, 1);
    upstream_id const home = choose(decisions, at(seconds(0)), first).at(0).upstream;
    upstream_id const other = choose(decisions, at(seconds(0)), first).at(2).upstream;
    decisions.finished(at(seconds(0)), {&first, {}}, {other, {}, 0, 0, 0}, "p1", 6);
    decisions.load_reported(at(seconds(1)), other, "p2", {});
    EXPECT_EQ(choose(decisions, at(seconds(1)), first).at(0).upstream, home);
}

// Guards against entries that place a prefix on different upstreams after a mass restart.
TEST_F(router_test, entries_without_hints_agree)
{
    base::random_source random(77);
    router other(options, random);
    std::set<upstream_id> homes;
    for (std::uint64_t client = 0; client < 50; ++client)
    {
        upstream_id const home =
            choose(decisions, at(seconds(0)), prompt(client, client)).at(0).upstream;
        EXPECT_EQ(home, choose(other, at(seconds(9)), prompt(client, 1000)).at(0).upstream);
        homes.insert(home);
    }
    EXPECT_GT(homes.size(), 10U) << "clients must spread over the fleet";
}

// Guards against a hot prefix that overloads its only engine, and against engines that it keeps
// after its load is gone.
TEST_F(router_test, hot_prefix_spreads_with_its_load_and_shrinks_again)
{
    std::vector<std::pair<prompt_prefix, ranked_upstream>> open;
    std::set<upstream_id> hot;
    for (std::uint64_t i = 0; i < 400; ++i)
    {
        prompt_prefix const prefix = prompt(1, i);
        ranked_upstream const choice = choose(decisions, at(milliseconds(i)), prefix).at(0);
        decisions.sent(at(milliseconds(i)), {&prefix, {}}, choice);
        open.emplace_back(prefix, choice);
        hot.insert(choice.upstream);
    }
    EXPECT_GT(hot.size(), 3U);
    for (auto const& [prefix, choice] : open)
    {
        decisions.started(at(seconds(1)), choice);
        decisions.finished(at(seconds(1)), {&prefix, {}}, choice, "p", 6);
    }
    std::set<upstream_id> calm;
    for (std::uint64_t i = 0; i < 50; ++i)
    {
        prompt_prefix const prefix = prompt(1, 1000 + i);
        auto const now = at(seconds(60) + milliseconds(500 * i));
        ranked_upstream const choice = choose(decisions, now, prefix).at(0);
        decisions.sent(now, {&prefix, {}}, choice);
        decisions.started(now + milliseconds(100), choice);
        decisions.finished(now + milliseconds(200), {&prefix, {}}, choice, "p", 6);
        calm.insert(choice.upstream);
    }
    EXPECT_EQ(calm.size(), 1U);
}

// Guards against a loaded upstream that is chosen although recomputing elsewhere is faster.
TEST_F(router_test, long_queue_outweighs_a_cached_prefix)
{
    prompt_prefix const prefix = prompt(1, 1);
    upstream_id const home = choose(decisions, at(seconds(0)), prefix).at(0).upstream;
    decisions.load_reported(at(seconds(0)), home, "p1", {8, 20, 200'000});
    EXPECT_NE(choose(decisions, at(seconds(0)), prefix).at(0).upstream, home);
}

// Guards against work for upstreams that were tried, are ejected or leaving, or don't hold the
// model.
TEST_F(router_test, excluded_upstreams_are_never_chosen)
{
    prompt_prefix const prefix = prompt(1, 1);
    share = [](upstream_id id)
    {
        return id % 2 == 0 ? 1.0 : 0.0;
    };
    upstream_id const foreign = 500;
    decisions.finished(at(seconds(0)), {&prefix, {}}, {foreign, {}, 0, 0, 0}, "p1", 6);
    decisions.finished(at(seconds(0)), {&prefix, {}}, {1, {}, 0, 0, 0}, "p1", 6);
    std::vector<upstream_id> tried;
    for (int i = 0; i < 10; ++i)
    {
        ranked_choice const choice = choose(decisions, at(seconds(1)), prefix, tried);
        ASSERT_FALSE(choice.empty());
        for (ranked_upstream const& it : choice)
        {
            EXPECT_EQ(it.upstream % 2, 0U);
            EXPECT_TRUE(engines.contains(it.upstream));
            EXPECT_EQ(std::count(tried.begin(), tried.end(), it.upstream), 0);
        }
        tried.push_back(choice.at(0).upstream);
    }
    EXPECT_TRUE(choose(decisions, at(seconds(1)), prefix, tried).empty());
}

// Guards against a returning upstream that gets its full load at once.
TEST_F(router_test, share_limits_the_requests_of_a_returning_upstream)
{
    upstream_id const home = choose(decisions, at(seconds(0)), prompt(1, 1)).at(0).upstream;
    share = [home](upstream_id id)
    {
        return id == home ? 0.2 : 1.0;
    };
    int count = 0;
    for (std::uint64_t i = 0; i < 1000; ++i)
        count += choose(decisions, at(seconds(0)), prompt(1, i)).at(0).upstream == home ? 1 : 0;
    EXPECT_GT(count, 120);
    EXPECT_LT(count, 280);
}

// Guards against an upstream that looks idle because its queued requests were expected to be hits.
TEST_F(router_test, expected_work_follows_the_observed_hits)
{
    ranked_upstream first;
    for (std::uint64_t client = 0; client < 200; ++client)
    {
        prompt_prefix const prefix = prompt(client, client);
        ranked_upstream const choice = choose(decisions, at(seconds(0)), prefix).at(0);
        if (client == 0)
            first = choice;
        decisions.finished(at(seconds(0)), {&prefix, {}}, choice, "p", 6, 0);
    }
    ranked_upstream const last = choose(decisions, at(seconds(100)), prompt(999, 999)).at(0);
    EXPECT_LT(first.expected_tokens, 3000U);
    EXPECT_GT(last.expected_tokens, 8000U);
}

// Guards against plain requests that all go to one upstream.
TEST_F(router_test, plain_requests_follow_the_load)
{
    std::set<upstream_id> used;
    for (int i = 0; i < 40; ++i)
    {
        ranked_upstream const choice = decisions.choose(at(seconds(0)), {}, {&engines, {}}).at(0);
        decisions.sent(at(seconds(0)), {}, choice);
        used.insert(choice.upstream);
    }
    EXPECT_EQ(used.size(), 20U);
    EXPECT_TRUE(decisions.choose(at(seconds(0)), {}, {}).empty());
}

// Guards against a large fleet that is scanned whole, or not considered beyond a few members.
TEST_F(router_test, large_pools_are_sampled)
{
    candidate_pool const large(members(12'000));
    std::set<upstream_id> used;
    std::size_t asked = 0;
    candidates const view{&large, [&asked](upstream_id)
                          {
                              ++asked;
                              return 1.0;
                          }};
    for (std::uint64_t client = 0; client < 300; ++client)
    {
        prompt_prefix const prefix = prompt(client, client);
        ranked_upstream const choice = decisions.choose(at(seconds(0)), {&prefix, {}}, view).at(0);
        used.insert(choice.upstream);
    }
    EXPECT_GT(used.size(), 280U);
    EXPECT_LE(asked, 300U * 100U);
    EXPECT_LT(decisions.memory_bytes() + large.memory_bytes(), std::size_t{64} << 20);
}

// Guards against the last message, which nobody else sends, deciding where a prompt is placed.
TEST(placement, ignores_the_last_level)
{
    auto const ends = [](std::vector<std::uint32_t> const& level_ends)
    {
        prompt_prefix prefix = prompt(1, 1);
        prefix.level_ends = level_ends;
        placement const found = placement_of(prefix);
        return std::vector<std::uint32_t>(found.begin(), found.end());
    };
    EXPECT_EQ(ends({3, 5, 6}), (std::vector<std::uint32_t>{3, 5}));
    EXPECT_EQ(ends({3, 6}), (std::vector<std::uint32_t>{3}));
    EXPECT_EQ(ends({6}), (std::vector<std::uint32_t>{1}));
    EXPECT_EQ(ends({1, 2, 3, 4, 5, 6}), (std::vector<std::uint32_t>{1, 2, 3, 4}));
    EXPECT_EQ(placement_of({}).levels, 0U);
}

// Guards against a choice outside the candidates, a duplicate, or a wrong order, for any history.
RC_GTEST_PROP(router_properties, choices_are_valid_and_ordered, (std::uint64_t seed))
{
    base::random_source random(seed);
    router decisions({}, random);
    candidate_pool const pool(members(1 + random.uniform_below(100)));
    std::set<upstream_id> excluded;
    base::time_point now = at(seconds(0));
    for (int i = 0; i < 60; ++i)
    {
        now += milliseconds(random.uniform_below(500));
        upstream_id const any = static_cast<upstream_id>(random.uniform_below(120));
        if (random.uniform_below(4) == 0)
            excluded.insert(any);
        if (random.uniform_below(4) == 0)
            decisions.load_reported(now, any, std::to_string(random.uniform_below(2)),
                                    {0, 0, random.uniform_below(50'000)});
        prompt_prefix const prefix = prompt(random.uniform_below(4), random.uniform_below(4));
        candidates const view{&pool, [&excluded](upstream_id id)
                              {
                                  return excluded.contains(id) ? 0.0 : 1.0;
                              }};
        ranked_choice const choice = decisions.choose(now, {&prefix, {}}, view);
        std::set<upstream_id> seen;
        for (ranked_upstream const& it : choice)
        {
            RC_ASSERT(pool.contains(it.upstream));
            RC_ASSERT(!excluded.contains(it.upstream));
            RC_ASSERT(seen.insert(it.upstream).second);
            RC_ASSERT(it.expected_blocks <= prefix.digests.size());
        }
        RC_ASSERT(std::is_sorted(choice.begin(), choice.end(),
                                 [](auto const& left, auto const& right)
                                 { return left.cost < right.cost; }));
        if (choice.empty())
            continue;
        decisions.sent(now, {&prefix, {}}, choice[0]);
        if (random.uniform_below(2) == 0)
            continue;
        decisions.started(now, choice[0]);
        std::string const engine = std::to_string(random.uniform_below(2));
        decisions.finished(now, {&prefix, {}}, choice[0], engine, random.uniform_below(7),
                           random.uniform_below(7));
    }
}

// Guards against baselines that choose excluded upstreams, which would make the comparison unfair.
TEST(baselines, respect_exclusions)
{
    base::random_source random(3);
    upstream_load load(milliseconds(200));
    candidate_pool const pool(members(5));
    load.report(at(seconds(0)), 2, {1, 0, 0});
    load.report(at(seconds(0)), 3, {1, 0, 0});
    prompt_prefix const prefix = prompt(1, 1);
    std::vector<upstream_id> const tried{0};
    candidates const view{&pool, [](upstream_id id)
                          {
                              return id == 1 ? 0.0 : 1.0;
                          }};
    for (choose_function const& choose :
         {make_random_choice(random), make_round_robin_choice(),
          make_least_loaded_choice(load, random), make_consistent_hash_choice()})
    {
        std::set<upstream_id> used;
        for (int i = 0; i < 200; ++i)
        {
            ranked_choice const choice = choose(at(seconds(0)), {&prefix, tried}, view);
            ASSERT_EQ(choice.size(), 1U);
            used.insert(choice[0].upstream);
        }
        EXPECT_FALSE(used.contains(0));
        EXPECT_FALSE(used.contains(1));
        EXPECT_TRUE(choose(at(seconds(0)), {&prefix, {}}, {}).empty());
    }
    EXPECT_EQ(
        make_least_loaded_choice(load, random)(at(seconds(0)), {&prefix, tried}, view)[0].upstream,
        4U);
}

// Guards against an oracle that is too weak to be a bound: it must keep what was used last.
TEST(pooled_cache_oracle, evicts_the_least_recently_used_block)
{
    pooled_cache_oracle oracle(3);
    EXPECT_EQ(oracle.request({{1, 2}}), 0U);
    EXPECT_EQ(oracle.request({{1, 2}}), 2U);
    EXPECT_EQ(oracle.request({{1, 3}}), 1U);
    EXPECT_EQ(oracle.request({{1, 4}}), 1U);
    EXPECT_EQ(oracle.request({{1, 2}}), 1U) << "block 2 was evicted for block 4";
    EXPECT_EQ(oracle.size(), 3U);
}

} // namespace
} // namespace savorymount::routing
