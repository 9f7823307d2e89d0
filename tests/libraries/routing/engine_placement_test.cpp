#include <savorymount/routing/engine_placement.hpp>

#include <gtest/gtest.h>

#include <set>
#include <tests/libraries/time_points.hpp>

namespace savorymount::routing
{
namespace
{

using namespace std::chrono_literals;
using tests::at;

membership::upstream_record engine(std::string const& id, std::string const& data_centre,
                                   std::uint64_t version = 1)
{
    membership::upstream_record out;
    out.id = id;
    out.service = "taalpool";
    out.address = "10.0.0.1:8000";
    out.data_centre = data_centre;
    out.slots = 48;
    out.weights["crew"] = version;
    return out;
}

engine_request request(std::string const& last_shared = "rules-club")
{
    engine_request out;
    out.prompt = {"crew", {{"rules", 2500}, {last_shared, 3800}, {"own", 2900}}, 9200, 13};
    return out;
}

class engine_placement : public testing::Test
{
protected:
    engine_placement()
    {
        for (int i = 0; i < 6; ++i)
            table.apply_listing(
                at(0s), engine("engine-" + std::to_string(i), i % 2 == 0 ? "liege" : "namur"));
        desired.add_version("crew", 1, at(0s));
    }

    std::optional<engine_choice> choose(engine_request const& it, base::duration time = 0s)
    {
        return choose_engine(at(time), pool, it, table, locations, desired);
    }

    engine_pool_config pool{"taalpool", "liege", 100'000, "", 8s, 1};
    upstream_table table;
    part_locations locations;
    orders::desired_weights desired;
};

// Guards against two instances that prefill the same shared part on two engines.
TEST_F(engine_placement, all_data_centres_choose_the_same_engine_for_an_uncached_part)
{
    auto const local_choice = choose(request());
    pool.local_data_centre = "namur";
    auto const remote_choice = choose(request());
    ASSERT_TRUE(local_choice && remote_choice);
    EXPECT_EQ(local_choice->upstream, remote_choice->upstream);
    EXPECT_TRUE(local_choice->source_address.empty());
}

// Guards against a prompt that is placed by load alone and prefilled again on another engine.
TEST_F(engine_placement, prefers_the_engine_that_has_the_shared_parts_cached)
{
    auto const digests = part_digests(cache_salt("crew", 1, ""), request().prompt.parts);
    for (std::size_t i = 0; i < 2; ++i)
        locations.record_assignment(at(0s), digests[i], "engine-4");
    table.load_reported(at(0s), "engine-4", {5, 0, 48, std::nullopt});
    EXPECT_EQ(choose(request())->upstream, "engine-4");
    // When that engine is overloaded, another engine fetches the parts from it.
    table.load_reported(at(0s), "engine-4", {48, 90, 48, std::nullopt});
    auto const other = choose(request());
    EXPECT_NE(other->upstream, "engine-4");
    EXPECT_EQ(other->source_address, "10.0.0.1:8000");
}

// Guards against fetching from an engine that evicted the parts, so that they are prefilled again,
// and against using the store's link for parts that an engine can send.
TEST_F(engine_placement, fetches_parts_unused_by_their_engine_from_the_store)
{
    pool.store_address = "10.0.0.9:9000";
    auto const& parts = request().prompt.parts;
    auto const salt = cache_salt("crew", 1, "");
    auto const digests = part_digests(salt, parts);
    for (std::size_t i = 0; i < 2; ++i)
    {
        locations.record_assignment(at(0s), digests[i], "engine-4");
        locations.record_stored(salt, parts[i].id);
    }
    auto retried = request();
    retried.tried.insert("engine-4");
    EXPECT_EQ(choose(retried, 1s)->source_address, "10.0.0.1:8000");
    EXPECT_EQ(choose(retried, 3s)->source_address, "10.0.0.9:9000");
    locations.clear_stored();
    EXPECT_EQ(choose(retried, 3s)->source_address, "10.0.0.1:8000");
}

// Guards against parts of another workspace or another version being found under the same salt.
TEST_F(engine_placement, separates_versions_and_isolated_workspaces_by_salt)
{
    std::set<std::string> const salts{cache_salt("crew", 1, ""), cache_salt("crew", 2, ""),
                                      cache_salt("crew", 1, ".club"),
                                      cache_salt("crew", 1, ".other"), cache_salt("rules", 1, "")};
    EXPECT_EQ(salts.size(), 5U);
    auto isolated = request();
    isolated.cache_scope = ".club";
    EXPECT_EQ(choose(isolated)->salt, cache_salt("crew", 1, ".club"));
}

// Guards against requests that start on weights superseded for too long, and against refusing
// requests while older weights are still allowed.
TEST_F(engine_placement, uses_superseded_weights_only_within_the_limit)
{
    desired.add_version("crew", 2, at(10s));
    EXPECT_TRUE(choose(request(), 12s));
    EXPECT_FALSE(choose(request(), 17s));
    table.apply_listing(at(17s), engine("engine-3", "namur", 2));
    EXPECT_EQ(choose(request(), 17s)->upstream, "engine-3");
}

// Guards against a request that begins on superseded weights after the limit, because it waited in
// the queue of a busy engine. On one day a request waited there for 1.4 s.
TEST_F(engine_placement, uses_superseded_weights_only_if_the_queue_lets_it_begin_within_the_limit)
{
    desired.add_version("crew", 2, at(10s));
    auto const now = 16400ms;
    for (int i = 0; i < 6; ++i)
        table.load_reported(at(now), "engine-" + std::to_string(i), {48, 120, 48, std::nullopt});
    EXPECT_FALSE(choose(request(), now));
    table.apply_listing(at(now), engine("engine-3", "namur", 2));
    EXPECT_EQ(choose(request(), now)->upstream, "engine-3");
}

// Guards against engines with the new weights staying idle, and against the first of them having to
// prefill the long shared parts of all requests.
TEST_F(engine_placement, prefers_the_newest_weights_after_a_second)
{
    desired.add_version("crew", 2, at(10s));
    table.apply_listing(at(10s), engine("engine-1", "namur", 2));
    auto short_request = request();
    short_request.prompt.parts = {{"house", 120}, {"client", 80}, {"own", 600}};
    EXPECT_EQ(choose(short_request, 11s)->upstream, "engine-1");
    EXPECT_EQ(choose(request(), 11s)->version, 1U);
}

// Guards against requests to an engine that rejects them while it loads weights, and against new
// streams on an engine that is about to load.
TEST_F(engine_placement, avoids_loading_and_draining_engines)
{
    auto const first = choose(request())->upstream;
    table.set_loading(first, at(1s));
    auto const second = choose(request())->upstream;
    EXPECT_NE(second, first);
    table.set_draining(second, at(1s));
    auto const third = choose(request())->upstream;
    EXPECT_TRUE(third != first && third != second);
    EXPECT_EQ(choose(request(), 2s)->upstream, first);
}

// Guards against a retry on the engine that just failed.
TEST_F(engine_placement, excludes_engines_that_were_tried)
{
    auto it = request();
    for (int i = 0; i < 6; ++i)
    {
        auto const choice = choose(it);
        ASSERT_TRUE(choice);
        EXPECT_TRUE(it.tried.insert(choice->upstream).second);
    }
    EXPECT_FALSE(choose(it));
}

// Guards against fetching parts from the store that it does not have, and against parts that are
// never written to it.
TEST_F(engine_placement, fetches_stored_parts_from_the_store)
{
    pool.store_address = "10.0.0.9:9000";
    auto const first = choose(request());
    EXPECT_TRUE(first->write_to_store);
    EXPECT_TRUE(first->source_address.empty());
    locations.record_stored(first->salt, "rules");
    locations.record_stored(first->salt, "rules-club");
    auto const second = choose(request());
    EXPECT_FALSE(second->write_to_store);
    EXPECT_EQ(second->source_address, "10.0.0.9:9000");
    EXPECT_LT(second->expected_wait, first->expected_wait);
    locations.clear_stored();
    EXPECT_TRUE(choose(request())->source_address.empty());
}

// Guards against placing all prompts with a hot part on one engine until its memory is full.
TEST_F(engine_placement, spreads_a_hot_part_when_its_engine_is_out_of_memory)
{
    std::set<std::string> used;
    for (int i = 0; i < 30; ++i)
    {
        auto const choice = choose(request());
        ASSERT_TRUE(choice);
        used.insert(choice->upstream);
        for (auto const digest : choice->digests)
            locations.record_assignment(at(0s), digest, choice->upstream);
        table.request_sent(at(0s), choice->upstream, choice->size);
    }
    EXPECT_GE(used.size(), 3U);
}

// Guards against fetching parts that an engine made again with newer weights, for a request on the
// older ones (review case 13).
TEST_F(engine_placement, fetches_no_part_from_an_engine_that_got_newer_weights)
{
    auto const digests = part_digests(cache_salt("crew", 1, ""), request().prompt.parts);
    for (std::size_t i = 0; i < 2; ++i)
        locations.record_assignment(at(0s), digests[i], "engine-4");
    auto it = request();
    it.tried.insert("engine-4");
    EXPECT_EQ(choose(it)->source_engine, "engine-4");
    table.set_loading("engine-4", at(1s));
    EXPECT_TRUE(choose(it)->source_address.empty());
    EXPECT_EQ(choose(it, 1s)->source_engine, "engine-4");
    table.load_ordered("engine-4", "crew", 2);
    EXPECT_TRUE(choose(it, 1s)->source_address.empty());
    table.weights_observed("engine-4", "crew", 2);
    EXPECT_TRUE(choose(it, 2s)->source_address.empty());
}

// Guards against prefilling a part that another engine has, since the first one that is known to
// have it loads other weights.
TEST_F(engine_placement, fetches_from_the_next_engine_that_keeps_the_weights)
{
    auto const digests = part_digests(cache_salt("crew", 1, ""), request().prompt.parts);
    for (char const* const engine : {"engine-3", "engine-4"})
    {
        for (std::size_t i = 0; i < 2; ++i)
            locations.record_assignment(at(0s), digests[i], engine);
    }
    auto it = request();
    it.tried = {"engine-3", "engine-4"};
    EXPECT_EQ(choose(it)->source_engine, "engine-4");
    table.weights_observed("engine-4", "crew", 2);
    EXPECT_EQ(choose(it)->source_engine, "engine-3");
}

// Guards against parts in the cache store that a request made after its engine got newer weights.
TEST_F(engine_placement, neither_fetches_from_the_store_nor_stores_parts_of_superseded_weights)
{
    pool.store_address = "10.0.0.9:9000";
    pool.oldest_shared_version = 0;
    auto const salt = cache_salt("crew", 1, "");
    for (auto const& it : request().prompt.parts)
        locations.record_stored(salt, it.id);
    EXPECT_EQ(choose(request(), 10s)->source_address, "10.0.0.9:9000");
    desired.add_version("crew", 2, at(10s));
    EXPECT_TRUE(choose(request(), 11s)->source_address.empty());
    EXPECT_FALSE(choose(request(), 11s)->write_to_store);
}

// Guards against parts that newer weights made, at an instance that can't know of these.
TEST_F(engine_placement, fetches_nothing_while_it_is_unknown_which_weights_are_in_use)
{
    pool.store_address = "10.0.0.9:9000";
    pool.oldest_shared_version.reset();
    auto const salt = cache_salt("crew", 1, "");
    auto const digests = part_digests(salt, request().prompt.parts);
    locations.record_stored(salt, "rules");
    locations.record_assignment(at(0s), digests[0], "engine-4");
    auto it = request();
    it.tried.insert("engine-4");
    EXPECT_TRUE(choose(it)->source_address.empty());
}

} // namespace
} // namespace savorymount::routing
