#include <savorymount/routing/baselines.hpp>
#include <savorymount/routing/placement_prefixes.hpp>
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

/// A system prompt of three blocks shared by all clients, a message of two blocks per client, and a
/// unique question.
prompt_prefix prompt(std::uint64_t client, std::uint64_t question)
{
    prompt_prefix out;
    out.digests = {1001, 1002, 1003, 5000 + client * 2, 5001 + client * 2, 900'000 + question};
    out.block_bytes = {8000, 8000, 8000, 8000, 8000, 400};
    out.message_ends = {3, 5, 6};
    out.text_bytes = 40'400;
    return out;
}

class router_test : public testing::Test
{
protected:
    ranked_upstreams choose(router& target, base::time_point now, prompt_prefix const& prefix,
                            std::vector<upstream_id> const& tried = {})
    {
        return target.choose(now, {&prefix, tried}, {&pool_of_20, traffic_share});
    }

    candidate_pool pool_of_20{members(20)};
    std::function<double(upstream_id)> traffic_share;
    base::random_source random_numbers{1};
    router_options options;
    router tested_router{options, random_numbers};
};

// Guards against prefilling a prefix again that another upstream has cached.
TEST_F(router_test, prefers_the_upstream_that_has_the_prefix_cached)
{
    prompt_prefix const first = prompt(1, 1);
    upstream_id const other = choose(tested_router, at(seconds(0)), first).at(2).upstream;
    tested_router.finished(at(seconds(0)), {&first, {}}, {other, {}, 0, 0, 0}, "p1", 6);
    prompt_prefix const second = prompt(1, 2);
    ranked_upstreams const choice = choose(tested_router, at(seconds(1)), second);
    EXPECT_EQ(choice.at(0).upstream, other);
    EXPECT_EQ(choice.at(0).expected_cached_blocks, 5U);
}

// Guards against expecting cache hits on an engine that restarted with an empty cache.
TEST_F(router_test, hints_of_a_previous_engine_process_are_not_used)
{
    prompt_prefix const first = prompt(1, 1);
    upstream_id const preferred = choose(tested_router, at(seconds(0)), first).at(0).upstream;
    upstream_id const other = choose(tested_router, at(seconds(0)), first).at(2).upstream;
    tested_router.finished(at(seconds(0)), {&first, {}}, {other, {}, 0, 0, 0}, "p1", 6);
    tested_router.load_reported(at(seconds(1)), other, "p2", {});
    EXPECT_EQ(choose(tested_router, at(seconds(1)), first).at(0).upstream, preferred);
}

// Guards against router instances that place a prefix on different upstreams after all were
// restarted.
TEST_F(router_test, router_instances_without_hints_choose_the_same_upstream)
{
    base::random_source other_random_numbers(77);
    router other(options, other_random_numbers);
    std::set<upstream_id> preferred_upstreams;
    for (std::uint64_t client = 0; client < 50; ++client)
    {
        upstream_id const preferred =
            choose(tested_router, at(seconds(0)), prompt(client, client)).at(0).upstream;
        EXPECT_EQ(preferred, choose(other, at(seconds(9)), prompt(client, 1000)).at(0).upstream);
        preferred_upstreams.insert(preferred);
    }
    EXPECT_GT(preferred_upstreams.size(), 10U) << "clients must be distributed over the pool";
}

// Guards against a hot prefix that overloads a single engine, and against a placement on many
// engines that remains after the load has dropped.
TEST_F(router_test, placement_of_a_prefix_grows_and_shrinks_with_its_load)
{
    std::vector<std::pair<prompt_prefix, ranked_upstream>> open_requests;
    std::set<upstream_id> used_under_load;
    for (std::uint64_t i = 0; i < 400; ++i)
    {
        prompt_prefix const prefix = prompt(1, i);
        ranked_upstream const choice = choose(tested_router, at(milliseconds(i)), prefix).at(0);
        tested_router.sent(at(milliseconds(i)), {&prefix, {}}, choice);
        open_requests.emplace_back(prefix, choice);
        used_under_load.insert(choice.upstream);
    }
    EXPECT_GT(used_under_load.size(), 3U);
    for (auto const& [prefix, choice] : open_requests)
    {
        tested_router.prefill_finished(at(seconds(1)), choice);
        tested_router.finished(at(seconds(1)), {&prefix, {}}, choice, "p", 6);
    }
    std::set<upstream_id> used_after_load;
    for (std::uint64_t i = 0; i < 50; ++i)
    {
        prompt_prefix const prefix = prompt(1, 1000 + i);
        auto const now = at(seconds(60) + milliseconds(500 * i));
        ranked_upstream const choice = choose(tested_router, now, prefix).at(0);
        tested_router.sent(now, {&prefix, {}}, choice);
        tested_router.prefill_finished(now + milliseconds(100), choice);
        tested_router.finished(now + milliseconds(200), {&prefix, {}}, choice, "p", 6);
        used_after_load.insert(choice.upstream);
    }
    EXPECT_EQ(used_after_load.size(), 1U);
}

// Guards against choosing an overloaded upstream when prefilling on another one is faster.
TEST_F(router_test, long_queue_outweighs_a_cached_prefix)
{
    prompt_prefix const prefix = prompt(1, 1);
    upstream_id const preferred = choose(tested_router, at(seconds(0)), prefix).at(0).upstream;
    tested_router.load_reported(at(seconds(0)), preferred, "p1", {8, 20, 200'000});
    EXPECT_NE(choose(tested_router, at(seconds(0)), prefix).at(0).upstream, preferred);
}

// Guards against choosing upstreams that were already tried, are ejected or draining, or don't
// serve the model.
TEST_F(router_test, excluded_upstreams_are_never_chosen)
{
    prompt_prefix const prefix = prompt(1, 1);
    traffic_share = [](upstream_id id)
    {
        return id % 2 == 0 ? 1.0 : 0.0;
    };
    upstream_id const non_member = 500;
    tested_router.finished(at(seconds(0)), {&prefix, {}}, {non_member, {}, 0, 0, 0}, "p1", 6);
    tested_router.finished(at(seconds(0)), {&prefix, {}}, {1, {}, 0, 0, 0}, "p1", 6);
    std::vector<upstream_id> tried;
    for (int i = 0; i < 10; ++i)
    {
        ranked_upstreams const choice = choose(tested_router, at(seconds(1)), prefix, tried);
        ASSERT_FALSE(choice.empty());
        for (ranked_upstream const& it : choice)
        {
            EXPECT_EQ(it.upstream % 2, 0U);
            EXPECT_TRUE(pool_of_20.contains(it.upstream));
            EXPECT_EQ(std::count(tried.begin(), tried.end(), it.upstream), 0);
        }
        tried.push_back(choice.at(0).upstream);
    }
    EXPECT_TRUE(choose(tested_router, at(seconds(1)), prefix, tried).empty());
}

// Guards against sending full load to an upstream during its slow start.
TEST_F(router_test, traffic_share_limits_the_requests_of_a_recovering_upstream)
{
    upstream_id const preferred =
        choose(tested_router, at(seconds(0)), prompt(1, 1)).at(0).upstream;
    traffic_share = [preferred](upstream_id id)
    {
        return id == preferred ? 0.2 : 1.0;
    };
    int count = 0;
    for (std::uint64_t i = 0; i < 1000; ++i)
        count +=
            choose(tested_router, at(seconds(0)), prompt(1, i)).at(0).upstream == preferred ? 1 : 0;
    EXPECT_GT(count, 120);
    EXPECT_LT(count, 280);
}

// Guards against underestimating the load of an upstream whose queued requests were wrongly
// expected to be cache hits.
TEST_F(router_test, expected_prefill_follows_the_observed_hit_rate)
{
    ranked_upstream first;
    for (std::uint64_t client = 0; client < 200; ++client)
    {
        prompt_prefix const prefix = prompt(client, client);
        ranked_upstream const choice = choose(tested_router, at(seconds(0)), prefix).at(0);
        if (client == 0)
            first = choice;
        tested_router.finished(at(seconds(0)), {&prefix, {}}, choice, "p", 6, 0);
    }
    ranked_upstream const last = choose(tested_router, at(seconds(100)), prompt(999, 999)).at(0);
    EXPECT_LT(first.expected_prefill_tokens, 3000U);
    EXPECT_GT(last.expected_prefill_tokens, 8000U);
}

// Guards against sending all requests without a prompt to one upstream.
TEST_F(router_test, requests_without_a_prompt_follow_the_load)
{
    std::set<upstream_id> used;
    for (int i = 0; i < 40; ++i)
    {
        ranked_upstream const choice =
            tested_router.choose(at(seconds(0)), {}, {&pool_of_20, {}}).at(0);
        tested_router.sent(at(seconds(0)), {}, choice);
        used.insert(choice.upstream);
    }
    EXPECT_EQ(used.size(), 20U);
    EXPECT_TRUE(tested_router.choose(at(seconds(0)), {}, {}).empty());
}

// Guards against scanning all members of a large pool, and against using only a few of them.
TEST_F(router_test, large_pools_are_sampled)
{
    candidate_pool const large(members(12'000));
    std::set<upstream_id> used;
    std::size_t share_lookups = 0;
    candidate_set const candidates{&large, [&share_lookups](upstream_id)
                                   {
                                       ++share_lookups;
                                       return 1.0;
                                   }};
    for (std::uint64_t client = 0; client < 300; ++client)
    {
        prompt_prefix const prefix = prompt(client, client);
        ranked_upstream const choice =
            tested_router.choose(at(seconds(0)), {&prefix, {}}, candidates).at(0);
        used.insert(choice.upstream);
    }
    EXPECT_GT(used.size(), 280U);
    EXPECT_LE(share_lookups, 300U * 100U);
    EXPECT_LT(tested_router.memory_bytes() + large.memory_bytes(), std::size_t{64} << 20);
}

// Guards against placing a prompt by its last message, which is rarely shared.
TEST(placement_prefixes, ignores_the_last_message)
{
    auto const ends = [](std::vector<std::uint32_t> const& message_ends)
    {
        prompt_prefix prefix = prompt(1, 1);
        prefix.message_ends = message_ends;
        placement_prefixes const found = placement_prefixes_of(prefix);
        return std::vector<std::uint32_t>(found.begin(), found.end());
    };
    EXPECT_EQ(ends({3, 5, 6}), (std::vector<std::uint32_t>{3, 5}));
    EXPECT_EQ(ends({3, 6}), (std::vector<std::uint32_t>{3}));
    EXPECT_EQ(ends({6}), (std::vector<std::uint32_t>{1}));
    EXPECT_EQ(ends({1, 2, 3, 4, 5, 6}), (std::vector<std::uint32_t>{1, 2, 3, 4}));
    EXPECT_EQ(placement_prefixes_of({}).count, 0U);
}

// Guards against non-members, excluded upstreams, duplicates and a wrong order in the ranking, for
// any sequence of events.
RC_GTEST_PROP(router_properties, choices_are_valid_and_ordered, (std::uint64_t seed))
{
    base::random_source random(seed);
    router tested_router({}, random);
    candidate_pool const pool(members(1 + random.uniform_below(100)));
    std::set<upstream_id> excluded;
    base::time_point now = at(seconds(0));
    for (int i = 0; i < 60; ++i)
    {
        now += milliseconds(random.uniform_below(500));
        upstream_id const upstream = static_cast<upstream_id>(random.uniform_below(120));
        if (random.uniform_below(4) == 0)
            excluded.insert(upstream);
        if (random.uniform_below(4) == 0)
            tested_router.load_reported(now, upstream, std::to_string(random.uniform_below(2)),
                                        {0, 0, random.uniform_below(50'000)});
        prompt_prefix const prefix = prompt(random.uniform_below(4), random.uniform_below(4));
        candidate_set const candidates{&pool, [&excluded](upstream_id id)
                                       {
                                           return excluded.contains(id) ? 0.0 : 1.0;
                                       }};
        ranked_upstreams const choice = tested_router.choose(now, {&prefix, {}}, candidates);
        std::set<upstream_id> seen;
        for (ranked_upstream const& it : choice)
        {
            RC_ASSERT(pool.contains(it.upstream));
            RC_ASSERT(!excluded.contains(it.upstream));
            RC_ASSERT(seen.insert(it.upstream).second);
            RC_ASSERT(it.expected_cached_blocks <= prefix.digests.size());
        }
        RC_ASSERT(std::is_sorted(choice.begin(), choice.end(),
                                 [](auto const& left, auto const& right)
                                 { return left.cost < right.cost; }));
        if (choice.empty())
            continue;
        tested_router.sent(now, {&prefix, {}}, choice[0]);
        if (random.uniform_below(2) == 0)
            continue;
        tested_router.prefill_finished(now, choice[0]);
        std::string const engine = std::to_string(random.uniform_below(2));
        tested_router.finished(now, {&prefix, {}}, choice[0], engine, random.uniform_below(7),
                               random.uniform_below(7));
    }
}

// Guards against baselines that choose excluded upstreams, which would make comparisons with the
// router invalid.
TEST(baselines, respect_exclusions)
{
    base::random_source random(3);
    upstream_load load(milliseconds(200));
    candidate_pool const pool(members(5));
    load.report(at(seconds(0)), 2, {1, 0, 0});
    load.report(at(seconds(0)), 3, {1, 0, 0});
    prompt_prefix const prefix = prompt(1, 1);
    std::vector<upstream_id> const tried{0};
    candidate_set const candidates{&pool, [](upstream_id id)
                                   {
                                       return id == 1 ? 0.0 : 1.0;
                                   }};
    for (routing_policy const& choose :
         {make_random_policy(random), make_round_robin_policy(),
          make_least_loaded_policy(load, random), make_consistent_hash_policy()})
    {
        std::set<upstream_id> used;
        for (int i = 0; i < 200; ++i)
        {
            ranked_upstreams const choice = choose(at(seconds(0)), {&prefix, tried}, candidates);
            ASSERT_EQ(choice.size(), 1U);
            used.insert(choice[0].upstream);
        }
        EXPECT_FALSE(used.contains(0));
        EXPECT_FALSE(used.contains(1));
        EXPECT_TRUE(choose(at(seconds(0)), {&prefix, {}}, {}).empty());
    }
    EXPECT_EQ(
        make_least_loaded_policy(load, random)(at(seconds(0)), {&prefix, tried}, candidates)[0]
            .upstream,
        4U);
}

// Guards against an oracle whose hit rate is not an upper bound because it evicts recently used
// blocks.
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
