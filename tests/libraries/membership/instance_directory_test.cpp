#include <savorymount/membership/instance_directory.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>
#include <tests/libraries/seeded_property.hpp>

namespace savorymount::membership
{
namespace
{

base::time_point at(int seconds)
{
    return base::time_point(std::chrono::seconds(seconds));
}

instance make_agent(std::string const& id, std::string const& incarnation, bool leaving = false)
{
    return {id, incarnation, "agent", "127.0.0.1:4100", "dc-a", "model-bench", leaving};
}

std::vector<std::string> candidate_names(instance_directory const& directory)
{
    std::vector<std::string> out;
    for (auto const& it : directory.candidates("model-bench"))
        out.push_back(to_string(instance_name{it.id, it.incarnation}));
    return out;
}

using name_list = std::vector<std::string>;

TEST(instance_name, splits_id_and_incarnation)
{
    EXPECT_EQ(parse_instance_name("agent-1#i1"), (instance_name{"agent-1", "i1"}));
    EXPECT_EQ(parse_instance_name("agent-1"), (instance_name{"agent-1", ""}));
    EXPECT_EQ(parse_instance_name("agent-1#i#1"), (instance_name{"agent-1", "i#1"}));
    for (std::string const text : {"agent-1#i1", "agent-1", "#", ""})
        EXPECT_EQ(to_string(parse_instance_name(text)), text == "#" ? "" : text);
}

// Guards against new requests to a leaving instance that the list still shows as live.
TEST(instance_directory, one_leaving_message_removes_a_candidate)
{
    instance_directory directory;
    EXPECT_TRUE(directory.apply_list({make_agent("a", "i1"), make_agent("b", "i1")}, at(0)));
    directory.apply_message({"a", "i1"}, true, at(1));
    EXPECT_EQ(candidate_names(directory), name_list{"b#i1"});
    EXPECT_TRUE(directory.is_leaving("a"));
    directory.apply_message({"a", "i1"}, false, at(2));
    directory.apply_list({make_agent("a", "i1"), make_agent("b", "i1", true)}, at(3));
    EXPECT_EQ(candidate_names(directory), name_list{});
    directory.apply_message({"b", "i1"}, false, at(4));
    directory.apply_list({make_agent("a", "i1"), make_agent("b", "i1")}, at(5));
    EXPECT_EQ(candidate_names(directory), name_list{});
    EXPECT_TRUE(directory.is_live("a", "i1"));
}

// Guards against a loss of all candidates when the list is unavailable or empty.
TEST(instance_directory, keeps_the_last_list_while_the_list_is_unavailable)
{
    instance_directory directory;
    EXPECT_FALSE(directory.absent_since({"a", "i1"}));
    directory.apply_list({make_agent("a", "i1")}, at(0));
    EXPECT_FALSE(directory.apply_list({}, at(60)));
    EXPECT_EQ(candidate_names(directory), name_list{"a#i1"});
    EXPECT_EQ(directory.last_list_time(), at(0));
    EXPECT_TRUE(directory.candidates("other-group").empty());
    EXPECT_EQ(directory.instances_with_role("agent").size(), 1U);
    EXPECT_TRUE(directory.instances_with_role("entry").empty());
}

// Guards against requests to a crashed instance until the list is updated.
TEST(instance_directory, a_silent_instance_is_no_candidate_until_its_next_message)
{
    instance_directory directory;
    directory.apply_list({make_agent("a", "i1")}, at(0));
    directory.mark_silent({"a", "i1"});
    EXPECT_EQ(candidate_names(directory), name_list{});
    EXPECT_FALSE(directory.is_live("a", "i1"));
    directory.apply_list({make_agent("a", "i1")}, at(5));
    EXPECT_EQ(candidate_names(directory), name_list{});
    directory.apply_message({"a", "i1"}, false, at(6));
    EXPECT_EQ(candidate_names(directory), name_list{"a#i1"});
    directory.mark_silent({"a", "i1"});
    directory.apply_message({"a", "i2"}, false, at(10));
    EXPECT_EQ(candidate_names(directory), name_list{"a#i2"});
    EXPECT_FALSE(directory.is_live("a", "i1"));
}

// Guards against requests and idempotency claims that are attributed to a process that has exited.
TEST(instance_directory, a_replaced_incarnation_never_becomes_current_again)
{
    instance_directory directory;
    directory.apply_list({make_agent("a", "i1")}, at(0));
    directory.apply_message({"a", "i2"}, false, at(1));
    EXPECT_EQ(candidate_names(directory), name_list{"a#i2"});
    directory.apply_list({make_agent("a", "i1")}, at(2));
    EXPECT_EQ(candidate_names(directory), name_list{"a#i2"});
    directory.apply_list({make_agent("a", "i2")}, at(3));
    directory.apply_message({"a", "i1"}, false, at(4));
    directory.apply_list({make_agent("a", "i1")}, at(5));
    EXPECT_EQ(candidate_names(directory), name_list{"a#i2"});
    // The outdated list has not marked the newer process as replaced.
    directory.mark_silent({"a", "i2"});
    directory.apply_message({"a", "i2"}, false, at(5));
    EXPECT_EQ(candidate_names(directory), name_list{"a#i2"});
    directory.apply_list({make_agent("b", "i1")}, at(6));
    EXPECT_EQ(candidate_names(directory), name_list{"b#i1"});
    directory.apply_list({make_agent("a", "i1"), make_agent("b", "i1")}, at(7));
    EXPECT_EQ(candidate_names(directory), (name_list{"a#i2", "b#i1"}));
}

// Guards against the old process staying current while the list contains both.
TEST(instance_directory, a_replacement_becomes_current_in_either_order_of_entries)
{
    for (bool const old_first : {true, false})
    {
        instance_directory directory;
        directory.apply_list({make_agent("a", "i1")}, at(0));
        std::vector<instance> both{make_agent("a", "i1", true), make_agent("a", "i2")};
        if (!old_first)
            std::swap(both.front(), both.back());
        directory.apply_list(both, at(1));
        EXPECT_EQ(candidate_names(directory), name_list{"a#i2"});
        directory.apply_list({make_agent("a", "i2", true)}, at(2));
        EXPECT_EQ(candidate_names(directory), name_list{});
        directory.apply_list({make_agent("a", "i3", true)}, at(3));
        EXPECT_EQ(directory.find("a")->incarnation, "i3");
        EXPECT_EQ(candidate_names(directory), name_list{});
    }
}

// Guards against two owners of one lease: the absence of a holder must not be counted from before
// the first list without it.
TEST(instance_directory, absence_starts_with_the_first_list_without_the_incarnation)
{
    instance_directory directory;
    directory.apply_list({make_agent("a", "i1")}, at(10));
    EXPECT_EQ(directory.absent_since({"a", "i0"}), at(10));
    EXPECT_FALSE(directory.absent_since({"a", "i1"}));
    directory.apply_list({make_agent("a", "i2")}, at(20));
    directory.apply_list({make_agent("a", "i2")}, at(30));
    EXPECT_EQ(directory.absent_since({"a", "i1"}), at(20));
    directory.apply_list({make_agent("a", "i1")}, at(40));
    EXPECT_FALSE(directory.absent_since({"a", "i1"}));
    EXPECT_EQ(directory.absent_since({"a", "i2"}), at(40));
}

// Guards against recomputing the peer subsets on every poll of the list.
TEST(instance_directory, the_revision_changes_only_with_the_results)
{
    instance_directory directory;
    directory.apply_list({make_agent("a", "i1")}, at(0));
    directory.apply_message({"a", "i1"}, false, at(1));
    auto const revision = directory.revision();
    directory.apply_list({make_agent("a", "i1")}, at(2));
    directory.apply_message({"a", "i1"}, false, at(3));
    EXPECT_EQ(directory.revision(), revision);
    directory.apply_message({"a", "i1"}, true, at(4));
    EXPECT_NE(directory.revision(), revision);
}

// Guards against unbounded memory use when instances restart often.
TEST(instance_directory, removes_instances_after_the_retention_time)
{
    instance_directory directory;
    directory.apply_list({make_agent("a", "i1")}, at(0));
    directory.apply_message({"a", "i1"}, true, at(0));
    directory.apply_list({make_agent("b", "i1")}, at(1));
    directory.apply_list({make_agent("b", "i1"), make_agent("a", "i1")}, at(60));
    EXPECT_EQ(candidate_names(directory), name_list{"b#i1"});
    directory.apply_list({make_agent("b", "i1")}, at(61));
    directory.apply_list({make_agent("b", "i1")}, at(60 + 601));
    EXPECT_FALSE(directory.is_leaving("a"));
    for (int n = 0; n < 100; ++n)
        directory.apply_message({"b", "i" + std::to_string(n)}, false, at(700));
    EXPECT_EQ(candidate_names(directory), name_list{"b#i99"});
}

struct simulated_process
{
    std::string incarnation;
    bool leaving = false;
    bool running = true;
};

// Guards against candidates that a message or list has excluded, and against available instances
// that are never candidates again, in any order of restarts, stale lists, late messages and
// silence.
TEST(instance_directory, generated_histories_never_return_excluded_candidates)
{
    tests::check_property(
        3'000,
        []
        {
            instance_directory directory;
            std::map<std::string, simulated_process> processes;
            std::vector<std::vector<instance>> lists;
            std::set<instance_name> excluded;
            std::vector<std::pair<instance_name, bool>> messages;
            std::map<instance_name, bool> silent;
            int incarnations = 0;
            int now = 0;
            for (std::string const id : {"a", "b", "c"})
                processes[id] = {"i" + std::to_string(incarnations++)};
            auto const publish = [&]
            {
                std::vector<instance> list{make_agent("permanent", "i")};
                for (auto const& [id, it] : processes)
                    if (it.running)
                        list.push_back(make_agent(id, it.incarnation, it.leaving));
                lists.push_back(list);
            };
            publish();
            std::size_t applied_list = 0;
            directory.apply_list(lists[0], at(now));
            auto const steps = *rc::gen::inRange(0, 80);
            for (int n = 0; n < steps; ++n)
            {
                now += *rc::gen::inRange(0, 3);
                auto const id = std::string(1, char('a' + *rc::gen::inRange(0, 3)));
                auto& it = processes[id];
                switch (*rc::gen::inRange(0, 6))
                {
                case 0:
                    it = {"i" + std::to_string(incarnations++)};
                    publish();
                    break;
                case 1:
                    it.leaving = true;
                    publish();
                    break;
                case 2:
                    it.running = false;
                    publish();
                    break;
                case 3:
                {
                    // Messages arrive late and out of order; recent ones are the most frequent.
                    if (it.running)
                        messages.emplace_back(instance_name{id, it.incarnation}, it.leaving);
                    auto const age = *rc::gen::weightedElement<std::size_t>(
                        {{6, 1}, {2, 2}, {1, 3}, {1, 5}, {1, 8}});
                    if (age > messages.size())
                        break;
                    auto const& [name, leaving] = messages[messages.size() - age];
                    directory.apply_message(name, leaving, at(now));
                    silent[name] = false;
                    if (leaving)
                        excluded.insert(name);
                    break;
                }
                case 4:
                    directory.mark_silent({id, it.incarnation});
                    silent[{id, it.incarnation}] = true;
                    break;
                default:
                {
                    // The list is late by any number of changes, but never returns to an older
                    // state.
                    auto const& previous_list = lists[applied_list];
                    applied_list = *rc::gen::inRange(applied_list, lists.size());
                    directory.apply_list(lists[applied_list], at(now));
                    for (auto const& entry : lists[applied_list])
                    {
                        if (entry.leaving)
                            excluded.insert({entry.id, entry.incarnation});
                        for (auto const& old : previous_list)
                            if (old.id == entry.id && old.incarnation != entry.incarnation)
                                excluded.insert({old.id, old.incarnation});
                    }
                }
                }
                for (auto const& candidate : directory.candidates("model-bench"))
                {
                    instance_name const name{candidate.id, candidate.incarnation};
                    RC_ASSERT(!excluded.contains(name));
                    RC_ASSERT(!silent[name]);
                    RC_ASSERT(std::any_of(lists[applied_list].begin(), lists[applied_list].end(),
                                          [&](auto const& entry)
                                          { return entry.id == candidate.id; }));
                }
            }
            // Once the list is current and each process has sent a message, exactly the running
            // processes that are not leaving are candidates.
            directory.apply_list(lists.back(), at(now));
            name_list expected;
            for (auto const& [id, it] : processes)
            {
                if (!it.running)
                    continue;
                directory.apply_message({id, it.incarnation}, it.leaving, at(now));
                if (!it.leaving)
                    expected.push_back(id + "#" + it.incarnation);
            }
            expected.emplace_back("permanent#i");
            RC_ASSERT(candidate_names(directory) == expected);
        });
}

} // namespace
} // namespace savorymount::membership
