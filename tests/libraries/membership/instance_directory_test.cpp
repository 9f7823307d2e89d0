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

instance agent(std::string const& id, std::string const& incarnation, bool leaving = false)
{
    return {id, incarnation, "agent", "127.0.0.1:4100", "dc-a", "model-bench", leaving};
}

std::vector<std::string> names(instance_directory const& directory)
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

// Guards against new work for a leaving upstream while the list still calls it live.
TEST(instance_directory, one_message_is_enough_to_take_a_leaving_instance_out)
{
    instance_directory directory;
    EXPECT_TRUE(directory.apply_list({agent("a", "i1"), agent("b", "i1")}, at(0)));
    directory.apply_message({"a", "i1"}, true, at(1));
    EXPECT_EQ(names(directory), name_list{"b#i1"});
    EXPECT_TRUE(directory.is_leaving("a"));
    directory.apply_message({"a", "i1"}, false, at(2));
    directory.apply_list({agent("a", "i1"), agent("b", "i1", true)}, at(3));
    EXPECT_EQ(names(directory), name_list{});
    directory.apply_message({"b", "i1"}, false, at(4));
    directory.apply_list({agent("a", "i1"), agent("b", "i1")}, at(5));
    EXPECT_EQ(names(directory), name_list{});
    EXPECT_TRUE(directory.is_live("a", "i1"));
}

// Guards against an empty fleet after a fault of the list.
TEST(instance_directory, keeps_the_last_list_while_the_list_is_out)
{
    instance_directory directory;
    EXPECT_FALSE(directory.absent_since({"a", "i1"}));
    directory.apply_list({agent("a", "i1")}, at(0));
    EXPECT_FALSE(directory.apply_list({}, at(60)));
    EXPECT_EQ(names(directory), name_list{"a#i1"});
    EXPECT_EQ(directory.last_list_time(), at(0));
    EXPECT_TRUE(directory.candidates("taalpool").empty());
    EXPECT_EQ(directory.instances_with_role("agent").size(), 1U);
    EXPECT_TRUE(directory.instances_with_role("entry").empty());
}

// Guards against work for a dead instance until the list notices.
TEST(instance_directory, a_silent_instance_is_out_until_it_answers)
{
    instance_directory directory;
    directory.apply_list({agent("a", "i1")}, at(0));
    directory.mark_silent({"a", "i1"});
    EXPECT_EQ(names(directory), name_list{});
    EXPECT_FALSE(directory.is_live("a", "i1"));
    directory.apply_list({agent("a", "i1")}, at(5));
    EXPECT_EQ(names(directory), name_list{});
    directory.apply_message({"a", "i1"}, false, at(6));
    EXPECT_EQ(names(directory), name_list{"a#i1"});
    directory.mark_silent({"a", "i1"});
    directory.apply_message({"a", "i2"}, false, at(10));
    EXPECT_EQ(names(directory), name_list{"a#i2"});
    EXPECT_FALSE(directory.is_live("a", "i1"));
}

// Guards against requests and claims that are attributed to a process that no longer exists.
TEST(instance_directory, a_replaced_incarnation_never_comes_back)
{
    instance_directory directory;
    directory.apply_list({agent("a", "i1")}, at(0));
    directory.apply_message({"a", "i2"}, false, at(1));
    EXPECT_EQ(names(directory), name_list{"a#i2"});
    directory.apply_list({agent("a", "i1")}, at(2));
    EXPECT_EQ(names(directory), name_list{"a#i2"});
    directory.apply_list({agent("a", "i2")}, at(3));
    directory.apply_message({"a", "i1"}, false, at(4));
    directory.apply_list({agent("a", "i1")}, at(5));
    EXPECT_EQ(names(directory), name_list{"a#i2"});
    // The list that stepped back has not replaced the newer process either.
    directory.mark_silent({"a", "i2"});
    directory.apply_message({"a", "i2"}, false, at(5));
    EXPECT_EQ(names(directory), name_list{"a#i2"});
    directory.apply_list({agent("b", "i1")}, at(6));
    EXPECT_EQ(names(directory), name_list{"b#i1"});
    directory.apply_list({agent("a", "i1"), agent("b", "i1")}, at(7));
    EXPECT_EQ(names(directory), (name_list{"a#i2", "b#i1"}));
}

// Guards against the old process as the current one while the list shows both.
TEST(instance_directory, a_replacement_takes_over_in_either_order_of_entries)
{
    for (bool const old_first : {true, false})
    {
        instance_directory directory;
        directory.apply_list({agent("a", "i1")}, at(0));
        std::vector<instance> both{agent("a", "i1", true), agent("a", "i2")};
        if (!old_first)
            std::swap(both.front(), both.back());
        directory.apply_list(both, at(1));
        EXPECT_EQ(names(directory), name_list{"a#i2"});
        directory.apply_list({agent("a", "i2", true)}, at(2));
        EXPECT_EQ(names(directory), name_list{});
        directory.apply_list({agent("a", "i3", true)}, at(3));
        EXPECT_EQ(directory.find("a")->incarnation, "i3");
        EXPECT_EQ(names(directory), name_list{});
    }
}

// Guards against two owners of one lease: a holder that the list shows, or showed a moment ago,
// must not count as absent for longer.
TEST(instance_directory, absence_counts_from_the_list_that_first_lacks_the_name)
{
    instance_directory directory;
    directory.apply_list({agent("a", "i1")}, at(10));
    EXPECT_EQ(directory.absent_since({"a", "i0"}), at(10));
    EXPECT_FALSE(directory.absent_since({"a", "i1"}));
    directory.apply_list({agent("a", "i2")}, at(20));
    directory.apply_list({agent("a", "i2")}, at(30));
    EXPECT_EQ(directory.absent_since({"a", "i1"}), at(20));
    directory.apply_list({agent("a", "i1")}, at(40));
    EXPECT_FALSE(directory.absent_since({"a", "i1"}));
    EXPECT_EQ(directory.absent_since({"a", "i2"}), at(40));
}

// Guards against peer subsets that are computed anew on every poll of the list.
TEST(instance_directory, the_revision_changes_only_with_the_answers)
{
    instance_directory directory;
    directory.apply_list({agent("a", "i1")}, at(0));
    directory.apply_message({"a", "i1"}, false, at(1));
    auto const revision = directory.revision();
    directory.apply_list({agent("a", "i1")}, at(2));
    directory.apply_message({"a", "i1"}, false, at(3));
    EXPECT_EQ(directory.revision(), revision);
    directory.apply_message({"a", "i1"}, true, at(4));
    EXPECT_NE(directory.revision(), revision);
}

// Guards against memory that grows with every restart of an instance.
TEST(instance_directory, forgets_instances_that_are_long_gone)
{
    instance_directory directory;
    directory.apply_list({agent("a", "i1")}, at(0));
    directory.apply_message({"a", "i1"}, true, at(0));
    directory.apply_list({agent("b", "i1")}, at(1));
    directory.apply_list({agent("b", "i1"), agent("a", "i1")}, at(60));
    EXPECT_EQ(names(directory), name_list{"b#i1"});
    directory.apply_list({agent("b", "i1")}, at(61));
    directory.apply_list({agent("b", "i1")}, at(60 + 601));
    EXPECT_FALSE(directory.is_leaving("a"));
    for (int n = 0; n < 100; ++n)
        directory.apply_message({"b", "i" + std::to_string(n)}, false, at(700));
    EXPECT_EQ(names(directory), name_list{"b#i99"});
}

struct process_model
{
    std::string incarnation;
    bool leaving = false;
    bool up = true;
};

// Guards against candidates that some message or list has ruled out, in any order of restarts,
// lagging and frozen lists, late messages and silence, and against instances lost for good.
TEST(instance_directory, generated_histories_never_bring_back_what_was_ruled_out)
{
    tests::check_property(
        3'000,
        []
        {
            instance_directory directory;
            std::map<std::string, process_model> fleet;
            std::vector<std::vector<instance>> lists;
            std::set<instance_name> ruled_out;
            std::vector<std::pair<instance_name, bool>> sent;
            std::map<instance_name, bool> silent;
            int incarnations = 0;
            int now = 0;
            for (std::string const id : {"a", "b", "c"})
                fleet[id] = {"i" + std::to_string(incarnations++)};
            auto const publish = [&]
            {
                std::vector<instance> list{agent("never-empty", "i")};
                for (auto const& [id, it] : fleet)
                    if (it.up)
                        list.push_back(agent(id, it.incarnation, it.leaving));
                lists.push_back(list);
            };
            publish();
            std::size_t shown = 0;
            directory.apply_list(lists[0], at(now));
            auto const steps = *rc::gen::inRange(0, 80);
            for (int n = 0; n < steps; ++n)
            {
                now += *rc::gen::inRange(0, 3);
                auto const id = std::string(1, char('a' + *rc::gen::inRange(0, 3)));
                auto& it = fleet[id];
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
                    it.up = false;
                    publish();
                    break;
                case 3:
                {
                    // Messages arrive late and cross; the newest ones come most often.
                    if (it.up)
                        sent.emplace_back(instance_name{id, it.incarnation}, it.leaving);
                    auto const age = *rc::gen::weightedElement<std::size_t>(
                        {{6, 1}, {2, 2}, {1, 3}, {1, 5}, {1, 8}});
                    if (age > sent.size())
                        break;
                    auto const& [name, leaving] = sent[sent.size() - age];
                    directory.apply_message(name, leaving, at(now));
                    silent[name] = false;
                    if (leaving)
                        ruled_out.insert(name);
                    break;
                }
                case 4:
                    directory.mark_silent({id, it.incarnation});
                    silent[{id, it.incarnation}] = true;
                    break;
                default:
                {
                    // The list lags by any number of changes, but never goes back.
                    auto const& before = lists[shown];
                    shown = *rc::gen::inRange(shown, lists.size());
                    directory.apply_list(lists[shown], at(now));
                    for (auto const& entry : lists[shown])
                    {
                        if (entry.leaving)
                            ruled_out.insert({entry.id, entry.incarnation});
                        for (auto const& old : before)
                            if (old.id == entry.id && old.incarnation != entry.incarnation)
                                ruled_out.insert({old.id, old.incarnation});
                    }
                }
                }
                for (auto const& candidate : directory.candidates("model-bench"))
                {
                    instance_name const name{candidate.id, candidate.incarnation};
                    RC_ASSERT(!ruled_out.contains(name));
                    RC_ASSERT(!silent[name]);
                    RC_ASSERT(std::any_of(lists[shown].begin(), lists[shown].end(),
                                          [&](auto const& entry)
                                          { return entry.id == candidate.id; }));
                }
            }
            // Once the list has caught up and each process was heard, exactly the living ones that
            // do not leave are candidates.
            directory.apply_list(lists.back(), at(now));
            name_list expected;
            for (auto const& [id, it] : fleet)
            {
                if (!it.up)
                    continue;
                directory.apply_message({id, it.incarnation}, it.leaving, at(now));
                if (!it.leaving)
                    expected.push_back(id + "#" + it.incarnation);
            }
            expected.emplace_back("never-empty#i");
            RC_ASSERT(names(directory) == expected);
        });
}

} // namespace
} // namespace savorymount::membership
