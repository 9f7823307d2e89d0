#include <savorymount/routing/candidate_pool.hpp>
#include <savorymount/routing/upstream_directory.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>

namespace savorymount::routing
{
namespace
{

std::vector<std::pair<upstream_id, std::string>> members(std::size_t count, upstream_id first = 0)
{
    std::vector<std::pair<upstream_id, std::string>> out;
    for (upstream_id i = 0; i < count; ++i)
        out.emplace_back(first + i, "engine-" + std::to_string(i));
    return out;
}

std::vector<upstream_id> ranked_members(candidate_pool const& pool, std::uint64_t digest,
                                        std::size_t count)
{
    std::vector<upstream_id> out;
    pool.ranked_members(digest, count, out);
    return out;
}

// Guards against router instances that place the same prefix differently because they have the
// upstreams in another order or under other handles.
RC_GTEST_PROP(candidate_pool_properties, order_depends_on_names_only, (std::uint64_t digest))
{
    for (std::size_t const size : {20U, 500U})
    {
        auto const plain = members(size);
        auto reversed = members(size, 1000);
        std::reverse(reversed.begin(), reversed.end());
        auto const left = ranked_members(candidate_pool(plain), digest, 8);
        auto const right = ranked_members(candidate_pool(reversed), digest, 8);
        RC_ASSERT(left.size() == right.size());
        for (std::size_t i = 0; i < left.size(); ++i)
            RC_ASSERT(left[i] + 1000 == right[i]);
    }
}

// Guards against moving the prefixes of all upstreams when one is removed.
RC_GTEST_PROP(candidate_pool_properties, removing_a_member_moves_only_its_own_prefixes,
              (std::uint64_t digest))
{
    for (std::size_t const size : {20U, 500U})
    {
        auto fewer = members(size);
        fewer.erase(fewer.begin() + 7);
        auto before = ranked_members(candidate_pool(members(size)), digest, 4);
        std::erase(before, 7);
        auto const after = ranked_members(candidate_pool(fewer), digest, 4);
        RC_ASSERT(std::equal(before.begin(), before.end(), after.begin()));
    }
}

// Guards against members that get no prefixes or far more than the mean.
TEST(candidate_pool, digests_are_distributed_evenly)
{
    for (std::size_t const size : {12U, 500U})
    {
        candidate_pool const pool(members(size));
        std::vector<std::size_t> counts(size);
        std::size_t const draws = size * 200;
        for (std::uint64_t i = 0; i < draws; ++i)
            ++counts[ranked_members(pool, i * 0x9e3779b97f4a7c15ULL + 5, 1).at(0)];
        EXPECT_GT(*std::min_element(counts.begin(), counts.end()), 20U);
        EXPECT_LT(*std::max_element(counts.begin(), counts.end()), 700U);
    }
}

// Guards against duplicates and members that don't exist.
TEST(candidate_pool, members_are_distinct)
{
    for (std::size_t const size : {0U, 1U, 3U, 64U, 65U, 12'000U})
    {
        candidate_pool const pool(members(size));
        auto const found = ranked_members(pool, 12345, 8);
        EXPECT_EQ(found.size(), std::min<std::size_t>(size, 8));
        EXPECT_EQ(std::set<upstream_id>(found.begin(), found.end()).size(), found.size());
        for (upstream_id it : found)
            EXPECT_TRUE(pool.contains(it));
        EXPECT_FALSE(pool.contains(static_cast<upstream_id>(size)));
        EXPECT_LT(pool.memory_bytes(), 4'000'000U);
    }
}

// Guards against two upstreams with the same handle and against leaked handles.
TEST(upstream_directory, reuses_released_handles)
{
    upstream_directory directory;
    EXPECT_EQ(directory.intern("a"), 0U);
    EXPECT_EQ(directory.intern("b"), 1U);
    EXPECT_EQ(directory.intern("a"), 0U);
    directory.release(0);
    directory.release(0);
    EXPECT_EQ(directory.find("a"), std::nullopt);
    EXPECT_EQ(directory.name(0), "");
    EXPECT_EQ(directory.intern("c"), 0U);
    EXPECT_EQ(directory.intern("d"), 2U);
    EXPECT_EQ(directory.name(0), "c");
    EXPECT_EQ(directory.capacity(), 3U);
}

} // namespace
} // namespace savorymount::routing
