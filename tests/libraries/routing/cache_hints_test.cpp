#include <savorymount/routing/cache_hints.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <numeric>

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

bool has_hint(cache_hints const& hints, base::time_point now, std::uint64_t digest,
              upstream_id upstream)
{
    auto const found = hints.find(now, digest);
    return std::any_of(found.begin(), found.end(),
                       [upstream](cache_hint const& it) { return it.upstream == upstream; });
}

std::vector<std::uint64_t> const digests{11, 22, 33};

// Guards against routing to an engine that evicted the blocks long ago.
TEST(cache_hints, expire_after_max_age)
{
    cache_hints hints({64, seconds(10)});
    hints.add(at(seconds(0)), digests, 7);
    auto const found = hints.find(at(seconds(4)), 22);
    ASSERT_EQ(found.size, 1U);
    EXPECT_EQ(found.hints[0], (cache_hint{7, seconds(4)}));
    EXPECT_TRUE(has_hint(hints, at(seconds(10)), 22, 7));
    EXPECT_FALSE(has_hint(hints, at(milliseconds(10'001)), 22, 7));
}

// Guards against expecting cache hits on an engine that restarted with an empty cache.
TEST(cache_hints, are_dropped_for_a_new_engine_process)
{
    cache_hints hints({64, seconds(10)});
    EXPECT_FALSE(hints.update_engine_process(at(seconds(0)), 7, "a"));
    hints.add(at(seconds(1)), digests, 7);
    hints.add(at(seconds(1)), digests, 8);
    EXPECT_FALSE(hints.update_engine_process(at(seconds(1)), 7, "a"));
    EXPECT_TRUE(hints.update_engine_process(at(seconds(1)), 7, "b"));
    EXPECT_FALSE(has_hint(hints, at(seconds(1)), 11, 7));
    EXPECT_TRUE(has_hint(hints, at(seconds(1)), 11, 8));
    hints.add(at(seconds(1)), digests, 7);
    EXPECT_TRUE(has_hint(hints, at(seconds(1)), 11, 7));
    EXPECT_FALSE(hints.update_engine_process(at(seconds(2)), 7, "a"))
        << "late report of the previous process";
    EXPECT_TRUE(has_hint(hints, at(seconds(2)), 11, 7));
    EXPECT_TRUE(hints.update_engine_process(at(seconds(3)), 7, "c"));
    EXPECT_FALSE(has_hint(hints, at(seconds(3)), 11, 7));
}

// Guards against hints that are lost or never expire when the 32-bit timestamp wraps.
TEST(cache_hints, survive_timestamp_wraparound)
{
    cache_hints hints({64, seconds(10)});
    hints.update_engine_process(at(seconds(0)), 7, "a");
    hints.update_engine_process(at(seconds(0)), 7, "b");
    for (int day = 1; day < 120; ++day)
    {
        auto const now = at(std::chrono::hours(24 * day));
        EXPECT_FALSE(has_hint(hints, now, 11, 7)) << day;
        hints.add(now, digests, 7);
        EXPECT_TRUE(has_hint(hints, now + seconds(1), 11, 7)) << day;
        EXPECT_FALSE(has_hint(hints, now + seconds(11), 11, 7)) << day;
    }
}

// Guards against a reused handle that inherits the hints of the previous upstream.
TEST(cache_hints, remove_upstream_drops_its_hints)
{
    cache_hints hints({64, seconds(10)});
    hints.add(at(seconds(0)), digests, 7);
    hints.remove_upstream(at(seconds(0)), 7);
    EXPECT_FALSE(has_hint(hints, at(seconds(0)), 11, 7));
}

// Guards against a hint that remains after a report that the blocks are not cached.
TEST(cache_hints, remove_affects_one_upstream_only)
{
    cache_hints hints({64, seconds(10)});
    hints.add(at(seconds(0)), digests, 7);
    hints.add(at(seconds(0)), digests, 8);
    hints.remove(std::span(digests).subspan(1), 7);
    EXPECT_TRUE(has_hint(hints, at(seconds(0)), 11, 7));
    EXPECT_FALSE(has_hint(hints, at(seconds(0)), 22, 7));
    EXPECT_TRUE(has_hint(hints, at(seconds(0)), 22, 8));
    hints.remove(digests, 7);
    hints.remove(digests, 8);
    EXPECT_EQ(hints.size(), 0U);
}

// Guards against memory that grows with the number of prefixes seen.
TEST(cache_hints, memory_is_bounded)
{
    cache_hints hints({1024, seconds(1000)});
    std::size_t const before = hints.memory_bytes();
    std::uint64_t digest = 1;
    for (int i = 0; i < 100'000; ++i)
    {
        digest = digest * 6364136223846793005ULL + 1442695040888963407ULL;
        hints.add(at(milliseconds(i)), {{digest}}, 0);
    }
    EXPECT_LE(hints.size(), 1024U);
    EXPECT_LE(hints.memory_bytes(), before + 100);
    EXPECT_TRUE(has_hint(hints, at(seconds(100)), digest, 0))
        << "the newest hint must not be evicted";
}

// Guards against a wrong result of `find`: a missing hint, an upstream that was never added, a
// duplicate or a wrong order.
RC_GTEST_PROP(cache_hints_properties, match_a_reference_map, ())
{
    cache_hints hints({64, seconds(10)});
    std::map<std::pair<std::uint64_t, upstream_id>, base::time_point> reference;
    base::time_point now = at(seconds(0));
    int const steps = *rc::gen::inRange(1, 200);
    for (int i = 0; i < steps; ++i)
    {
        now += milliseconds(*rc::gen::inRange(0, 2000));
        std::uint64_t const digest = *rc::gen::inRange(1, 6);
        upstream_id const upstream = *rc::gen::inRange(0, 5);
        if (*rc::gen::inRange(0, 4) == 0)
        {
            hints.remove({{digest}}, upstream);
            reference.erase({digest, upstream});
        }
        else
        {
            hints.add(now, {{digest}}, upstream);
            reference[{digest, upstream}] = now;
        }
        auto const found = hints.find(now, digest);
        std::size_t expected = 0;
        for (auto const& [key, added_at] : reference)
            expected += key.first == digest && now - added_at <= seconds(10) ? 1 : 0;
        RC_ASSERT(found.size == expected);
        for (cache_hint const& it : found)
            RC_ASSERT(now - reference.at({digest, it.upstream}) == it.age);
        RC_ASSERT(std::is_sorted(found.begin(), found.end(),
                                 [](auto const& left, auto const& right)
                                 { return left.age < right.age; }));
    }
}

} // namespace
} // namespace savorymount::routing
