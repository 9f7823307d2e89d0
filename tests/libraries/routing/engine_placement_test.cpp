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
            table.listed(at(0s),
                         engine("engine-" + std::to_string(i), i % 2 == 0 ? "liege" : "namur"));
        wanted.add_version(at(0s), "crew", 1);
    }

    std::optional<engine_choice> choose(engine_request const& it, base::duration time = 0s)
    {
        return choose_engine(at(time), pool, it, table, locations, wanted);
    }

    engine_pool pool{"taalpool", "liege", 100'000, "", 8s};
    upstream_table table;
    part_locations locations;
    orders::desired_weights wanted;
};

// Guards against two instances that read the same shared part on two engines.
TEST_F(engine_placement, sends_the_first_reader_of_a_part_to_the_same_engine_from_everywhere)
{
    auto const here = choose(request());
    pool.own_data_centre = "namur";
    auto const there = choose(request());
    ASSERT_TRUE(here && there);
    EXPECT_EQ(here->upstream, there->upstream);
    EXPECT_TRUE(here->source_address.empty());
}

// Guards against a prompt that is placed by load alone and read again on another engine.
TEST_F(engine_placement, prefers_the_engine_that_holds_the_shared_parts)
{
    auto const digests = part_digests(cache_salt("crew", 1, ""), request().prompt.parts);
    for (std::size_t i = 0; i < 2; ++i)
        locations.read_by(at(0s), digests[i], "engine-4");
    table.load_reported(at(0s), "engine-4", {5, 0, 48});
    EXPECT_EQ(choose(request())->upstream, "engine-4");
    // Far too busy: another engine fetches the parts from it.
    table.load_reported(at(0s), "engine-4", {48, 90, 48});
    auto const other = choose(request());
    EXPECT_NE(other->upstream, "engine-4");
    EXPECT_EQ(other->source_address, "10.0.0.1:8000");
}

// Guards against a source that has dropped the parts, so that they are read again, and against a
// store whose link carries what an engine could send.
TEST_F(engine_placement, fetches_what_an_engine_has_not_used_lately_from_the_store)
{
    pool.store_address = "10.0.0.9:9000";
    auto const& parts = request().prompt.parts;
    auto const salt = cache_salt("crew", 1, "");
    auto const digests = part_digests(salt, parts);
    for (std::size_t i = 0; i < 2; ++i)
    {
        locations.read_by(at(0s), digests[i], "engine-4");
        locations.stored(salt, parts[i].id);
    }
    auto elsewhere = request();
    elsewhere.tried.insert("engine-4");
    EXPECT_EQ(choose(elsewhere, 1s)->source_address, "10.0.0.1:8000");
    EXPECT_EQ(choose(elsewhere, 3s)->source_address, "10.0.0.9:9000");
    locations.store_emptied();
    EXPECT_EQ(choose(elsewhere, 3s)->source_address, "10.0.0.1:8000");
}

// Guards against parts of another workspace or another version being found under the same salt.
TEST_F(engine_placement, separates_versions_and_isolated_workspaces_by_salt)
{
    std::set<std::string> const salts{cache_salt("crew", 1, ""), cache_salt("crew", 2, ""),
                                      cache_salt("crew", 1, "club"), cache_salt("crew", 1, "other"),
                                      cache_salt("rules", 1, "")};
    EXPECT_EQ(salts.size(), 5U);
    auto walled = request();
    walled.wall = "club";
    EXPECT_EQ(choose(walled)->salt, cache_salt("crew", 1, "club"));
}

// Guards against requests that begin on weights that were superseded for too long, and against
// refusing them while that is still allowed.
TEST_F(engine_placement, uses_older_weights_only_within_the_bound)
{
    wanted.add_version(at(10s), "crew", 2);
    EXPECT_TRUE(choose(request(), 12s));
    EXPECT_FALSE(choose(request(), 17s));
    table.listed(at(17s), engine("engine-3", "namur", 2));
    EXPECT_EQ(choose(request(), 17s)->upstream, "engine-3");
}

// Guards against old engines that keep the load while new ones stand idle, and against a first new
// engine that has to read the long shared parts of all requests.
TEST_F(engine_placement, leans_to_the_newest_weights_after_a_second)
{
    wanted.add_version(at(10s), "crew", 2);
    table.listed(at(10s), engine("engine-1", "namur", 2));
    auto brief = request();
    brief.prompt.parts = {{"house", 120}, {"client", 80}, {"own", 600}};
    EXPECT_EQ(choose(brief, 11s)->upstream, "engine-1");
    EXPECT_EQ(choose(request(), 11s)->version, 1U);
}

// Guards against requests to an engine that answers "busy" while it loads weights, and against
// streams on an engine that is about to load.
TEST_F(engine_placement, avoids_engines_that_load_or_are_being_emptied)
{
    auto const first = choose(request())->upstream;
    table.loading(first, at(1s));
    auto const second = choose(request())->upstream;
    EXPECT_NE(second, first);
    table.emptying(second, at(1s));
    auto const third = choose(request())->upstream;
    EXPECT_TRUE(third != first && third != second);
    EXPECT_EQ(choose(request(), 2s)->upstream, first);
}

// Guards against a retry on the engine that just failed.
TEST_F(engine_placement, leaves_out_engines_that_were_tried)
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

// Guards against a store that is asked for parts that it does not have, and against parts that
// never reach it.
TEST_F(engine_placement, fetches_from_the_store_what_it_keeps)
{
    pool.store_address = "10.0.0.9:9000";
    auto const first = choose(request());
    EXPECT_TRUE(first->keep_in_store);
    EXPECT_TRUE(first->source_address.empty());
    locations.stored(first->salt, "rules");
    locations.stored(first->salt, "rules-club");
    auto const second = choose(request());
    EXPECT_FALSE(second->keep_in_store);
    EXPECT_EQ(second->source_address, "10.0.0.9:9000");
    EXPECT_LT(second->expected_wait, first->expected_wait);
    locations.store_emptied();
    EXPECT_TRUE(choose(request())->source_address.empty());
}

// Guards against one engine that collects the prompts of a hot part until its memory is full.
TEST_F(engine_placement, spreads_a_hot_part_when_its_engine_has_no_memory_left)
{
    std::set<std::string> used;
    for (int i = 0; i < 30; ++i)
    {
        auto const choice = choose(request());
        ASSERT_TRUE(choice);
        used.insert(choice->upstream);
        for (auto const digest : choice->digests)
            locations.read_by(at(0s), digest, choice->upstream);
        table.dispatched(at(0s), choice->upstream, choice->size);
    }
    EXPECT_GE(used.size(), 3U);
}

} // namespace
} // namespace savorymount::routing
