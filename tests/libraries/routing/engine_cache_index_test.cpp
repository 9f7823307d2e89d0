#include <savorymount/routing/engine_cache_index.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>
#include <tests/libraries/seeded_property.hpp>

namespace savorymount::routing
{
namespace
{

using change = cache_event::change;
using result = engine_cache_index::apply_result;

base::time_point at(int seconds)
{
    return base::time_point(std::chrono::seconds(seconds));
}

/// One engine block per digest.
std::vector<prefix_digest> prompt(std::vector<std::uint64_t> const& digests)
{
    std::vector<prefix_digest> out;
    out.reserve(digests.size());
    for (auto const it : digests)
        out.push_back({it, out.size() + 1});
    return out;
}

cache_event stored(std::uint64_t sequence, std::string const& block, std::string const& request,
                   std::size_t index)
{
    return {sequence, change::stored, block, request, index};
}

cache_event evicted(std::uint64_t sequence, std::string const& block)
{
    return {sequence, change::evicted, block, "", 0};
}

// Guards against routing a prefix to an engine that evicted it, or away from one that has it
// cached.
TEST(engine_cache_index, follows_stored_and_evicted_blocks)
{
    engine_cache_index index;
    index.track_request("r", 7, prompt({11, 12, 13}));
    EXPECT_EQ(
        index.apply(
            {"e1", 1, 4, {stored(1, "a", "r", 0), stored(2, "b", "r", 1), stored(3, "c", "r", 2)}}),
        result::applied);
    EXPECT_EQ(index.last_sequence(), 3U);
    EXPECT_EQ(index.cached_prefix_length(7, prompt({11, 12, 13, 14}), at(0)), 3U);
    EXPECT_EQ(index.cached_prefix_length(7, prompt({11, 22}), at(0)), 1U);
    index.apply({"e1", 1, 6, {evicted(4, "b"), evicted(5, "unknown")}});
    EXPECT_EQ(index.cached_prefix_length(7, prompt({11, 12, 13}), at(0)), 1U);
    // Repeated events have no effect.
    index.apply({"e1", 1, 6, {stored(2, "b", "r", 1)}});
    EXPECT_EQ(index.size(), 2U);
}

// Guards against counting blocks of another workspace or of older weights as cached.
TEST(engine_cache_index, reports_no_hits_for_another_seed)
{
    engine_cache_index index;
    index.track_request("r", 7, prompt({11}));
    index.apply({"e1", 1, 2, {stored(1, "a", "r", 0)}});
    index.record_cached_blocks("r", 1, at(0));
    EXPECT_EQ(index.cached_prefix_length(7, prompt({11}), at(0)), 1U);
    EXPECT_EQ(index.cached_prefix_length(8, prompt({11}), at(0)), 0U);
}

// Guards against counting blocks of a previous engine process as cached.
TEST(engine_cache_index, a_new_engine_process_clears_the_index)
{
    engine_cache_index index;
    index.track_request("r", 7, prompt({11, 12}));
    index.apply({"e1", 1, 2, {stored(1, "a", "r", 0)}});
    EXPECT_EQ(index.update_engine_process("e1"), result::applied);
    EXPECT_EQ(index.update_engine_process("e2"), result::discarded);
    EXPECT_EQ(index.cached_prefix_length(7, prompt({11}), at(0)), 0U);
    EXPECT_EQ(index.last_sequence(), 0U);
    // Late events of the previous process are ignored.
    EXPECT_EQ(index.apply({"e1", 1, 3, {stored(2, "b", "r", 1)}}), result::ignored);
    EXPECT_EQ(index.update_engine_process("e1"), result::ignored);
    index.record_cached_blocks("r", 2, at(0));
    EXPECT_EQ(index.cached_prefix_length(7, prompt({11}), at(0)), 0U);
    index.track_request("r2", 7, prompt({11}));
    EXPECT_EQ(index.apply({"e2", 1, 2, {stored(1, "a", "r2", 0)}}), result::applied);
    EXPECT_EQ(index.cached_prefix_length(7, prompt({11}), at(0)), 1U);
    EXPECT_EQ(index.apply({"e3", 1, 1, {}}), result::discarded);
    EXPECT_EQ(index.size(), 0U);
}

// Guards against blocks that stay in the index because their eviction event was lost.
TEST(engine_cache_index, missing_events_in_a_page_clear_the_index)
{
    std::vector<cache_event_page> const pages{
        {"e1", 3, 4, {stored(3, "c", "r", 2)}}, // the engine no longer has event 2
        {"e1", 1, 4, {stored(3, "c", "r", 2)}}, // event 2 is missing before the first event
        {"e1", 1, 5, {stored(2, "b", "r", 1), evicted(4, "x")}}, // event 3 is missing
        {"e1", 1, 4, {stored(2, "b", "r", 1)}},                  // event 3 is missing at the end
        {"e1", 1, 3, {}}}; // event 2 is missing in an empty page
    for (auto const& it : pages)
    {
        engine_cache_index index;
        index.track_request("r", 7, prompt({11, 12, 13}));
        index.apply({"e1", 1, 2, {stored(1, "a", "r", 0)}});
        EXPECT_EQ(index.apply(it), result::discarded) << it.next_sequence;
        EXPECT_EQ(index.cached_prefix_length(7, prompt({11}), at(0)), 0U);
        EXPECT_EQ(index.last_sequence(), it.next_sequence - 1);
        EXPECT_EQ(
            index.apply({"e1", 1, it.next_sequence + 1, {stored(it.next_sequence, "a", "r", 0)}}),
            result::applied);
        EXPECT_EQ(index.cached_prefix_length(7, prompt({11}), at(0)), 1U);
    }
    engine_cache_index late_index;
    EXPECT_EQ(late_index.apply({"e1", 500, 500, {}}), result::applied);
    EXPECT_EQ(late_index.last_sequence(), 499U);
}

// Guards against trusting a usage report for longer than an engine keeps its blocks.
TEST(engine_cache_index, usage_reports_expire)
{
    engine_cache_index index;
    index.update_engine_process("e1");
    index.track_request("r", 7, prompt({11, 12, 13}));
    index.record_cached_blocks("r", 2, at(10));
    index.record_cached_blocks("untracked", 2, at(10));
    EXPECT_EQ(index.cached_prefix_length(7, prompt({11, 12, 13}), at(11)), 2U);
    EXPECT_EQ(index.cached_prefix_length(7, prompt({11, 12, 13}), at(12)), 0U);
    // An eviction event that can be matched to a block takes effect immediately.
    index.apply({"e1", 1, 2, {stored(1, "b", "r", 1)}});
    index.record_cached_blocks("r", 2, at(20));
    index.apply({"e1", 1, 3, {evicted(2, "b")}});
    EXPECT_EQ(index.cached_prefix_length(7, prompt({11, 12, 13}), at(20)), 1U);
}

// Guards against a digest that counts as cached while only some of its blocks are.
TEST(engine_cache_index, digests_are_aligned_to_engine_blocks_of_another_size)
{
    std::vector<std::uint64_t> const digests{11, 12, 13, 14};
    std::vector<std::uint32_t> const bytes{100, 8'000, 20'000, 3'900};
    auto const aligned = align_to_engine_blocks(digests, bytes, 4.0, 2'000);
    EXPECT_EQ(aligned, (std::vector<prefix_digest>{{11, 0}, {12, 1}, {13, 3}, {14, 4}}));
    engine_cache_index index;
    index.track_request("r", 7, aligned);
    EXPECT_EQ(index.cached_prefix_length(7, aligned, at(0)), 1U);
    index.apply({"e1",
                 1,
                 4,
                 {stored(1, "a", "r", 0), stored(2, "b", "r", 1), stored(3, "beyond", "r", 9)}});
    EXPECT_EQ(index.cached_prefix_length(7, aligned, at(0)), 2U);
    index.apply({"e1", 1, 6, {stored(4, "c", "r", 2), stored(5, "d", "r", 3)}});
    EXPECT_EQ(index.cached_prefix_length(7, aligned, at(0)), 4U);
    index.apply({"e1", 1, 7, {evicted(6, "b")}});
    EXPECT_EQ(index.cached_prefix_length(7, aligned, at(0)), 2U);
}

// Guards against memory use that grows with the number of events and requests.
TEST(engine_cache_index, respects_its_limits)
{
    engine_cache_index_limits limits;
    limits.max_blocks = 3;
    limits.max_requests = 2;
    limits.max_request_digests = 5;
    engine_cache_index index(limits);
    index.track_request("r1", 7, prompt({1, 2, 3}));
    index.track_request("r2", 7, prompt({4, 5, 6}));
    index.apply({"e1", 1, 2, {stored(1, "a", "r1", 0)}});
    EXPECT_EQ(index.size(), 0U);
    index.track_request("r3", 7, prompt({7, 8}));
    std::vector<cache_event> events;
    for (std::uint64_t n = 0; n < 3; ++n)
        events.push_back(stored(2 + n, "b" + std::to_string(n), "r2", n));
    events.push_back(stored(5, "c", "r3", 0));
    index.apply({"e1", 1, 6, events});
    EXPECT_EQ(index.size(), 3U);
    EXPECT_EQ(index.cached_prefix_length(7, prompt({4}), at(0)), 0U);
    EXPECT_EQ(index.cached_prefix_length(7, prompt({7}), at(0)), 1U);
    for (int n = 0; n < 100; ++n)
        index.record_cached_blocks("r2", 3, at(0));
    EXPECT_EQ(index.cached_prefix_length(7, prompt({4, 5, 6}), at(0)), 3U);
}

/// Simulates an engine with an LRU block cache. Block hashes are derived from the seed and the
/// prefix, as in a real engine.
class simulated_engine
{
public:
    void run(std::string const& request, std::uint64_t seed,
             std::vector<std::uint64_t> const& digests)
    {
        std::string name = process + "/" + std::to_string(seed);
        for (std::size_t n = 0; n < digests.size(); ++n)
        {
            name += "/" + std::to_string(digests[n]);
            auto const it = std::find(cache.begin(), cache.end(), name);
            if (it != cache.end())
            {
                cache.erase(it);
                cache.push_back(name);
                continue;
            }
            cache.push_back(name);
            add(stored(events.size() + 1, name, request, n));
            if (cache.size() <= capacity)
                continue;
            auto const oldest = cache.front();
            cache.erase(cache.begin());
            add(evicted(events.size() + 1, oldest));
        }
    }

    void add(cache_event const& event)
    {
        events.push_back(event);
        states.emplace_back(cache.begin(), cache.end());
    }

    void restart()
    {
        process = "e" + std::to_string(++starts);
        cache.clear();
        events.clear();
        states = {{}};
    }

    std::size_t capacity = 5;
    int starts = 1;
    std::string process = "e1";
    std::vector<std::string> cache;
    std::vector<cache_event> events;
    /// Content of the cache after each event.
    std::vector<std::set<std::string>> states{{}};
};

std::size_t cached_prefix_blocks(std::set<std::string> const& state, std::string const& process,
                                 std::uint64_t seed, std::vector<std::uint64_t> const& digests)
{
    std::string name = process + "/" + std::to_string(seed);
    for (std::size_t n = 0; n < digests.size(); ++n)
    {
        name += "/" + std::to_string(digests[n]);
        if (!state.contains(name))
            return n;
    }
    return digests.size();
}

// Guards against reporting a block as cached that the engine did not have after the last applied
// event, for any sequence of requests, evictions, lost and late events, and restarts.
TEST(engine_cache_index, never_reports_blocks_missing_from_the_engine_in_generated_histories)
{
    std::size_t reported_blocks = 0;
    std::size_t actual_blocks = 0;
    tests::check_property(
        1'000,
        [&]
        {
            simulated_engine engine;
            engine_cache_index index;
            std::vector<std::string> processes{"e1"};
            std::set<std::string> applied_state;
            std::string known_process = "e1";
            int requests = 0;
            // Both seeds use the same digests, so that only the seed distinguishes them.
            auto const generate_digests = []
            {
                auto const size = *rc::gen::inRange<std::size_t>(1, 4);
                std::vector<std::uint64_t> out;
                std::uint64_t digest = 1;
                for (std::size_t n = 0; n < size; ++n)
                    out.push_back(digest = 3 * digest + *rc::gen::inRange<std::uint64_t>(0, 2));
                return out;
            };
            auto const steps = *rc::gen::inRange(0, 80);
            for (int n = 0; n < steps; ++n)
            {
                auto const action = *rc::gen::inRange(0, 20);
                if (action < 10)
                {
                    auto const seed = *rc::gen::inRange<std::uint64_t>(0, 2);
                    auto const digests = generate_digests();
                    auto const request = "r" + std::to_string(++requests);
                    index.track_request(request, seed, prompt(digests));
                    engine.run(request, seed, digests);
                }
                else if (action < 18)
                {
                    auto const after = static_cast<std::size_t>(index.last_sequence());
                    bool const same_process = known_process == engine.process;
                    auto const start = same_process ? std::min(after, engine.events.size()) : 0;
                    auto const end = *rc::gen::inRange(start, engine.events.size() + 1);
                    cache_event_page page{engine.process, 1, end + 1, {}};
                    for (auto i = start; i < end; ++i)
                        if (*rc::gen::inRange(0, 25) > 0)
                            page.events.push_back(engine.events[i]);
                    index.apply(page);
                    applied_state = engine.states[end];
                    known_process = engine.process;
                }
                else if (action == 18 && *rc::gen::inRange(0, 3) == 0)
                    engine.restart();
                else if (action == 19)
                {
                    if (index.update_engine_process(engine.process) == result::discarded)
                        applied_state.clear();
                    known_process = engine.process;
                }
                auto const seed = *rc::gen::inRange<std::uint64_t>(0, 2);
                auto const digests = generate_digests();
                auto const actual_prefix =
                    cached_prefix_blocks(applied_state, known_process, seed, digests);
                auto const reported_prefix =
                    index.cached_prefix_length(seed, prompt(digests), at(0));
                RC_ASSERT(reported_prefix <= actual_prefix);
                reported_blocks += reported_prefix;
                actual_blocks += actual_prefix;
            }
        });
    // The index must report most cached blocks; an index that reports none would pass the check
    // above.
    EXPECT_GT(reported_blocks, 1'000U);
    EXPECT_GT(static_cast<double>(reported_blocks), 0.5 * static_cast<double>(actual_blocks))
        << reported_blocks << " of " << actual_blocks;
}

} // namespace
} // namespace savorymount::routing
