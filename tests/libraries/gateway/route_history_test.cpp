#include <savorymount/gateway/route_history.hpp>
#include <savorymount/runtime/task_timer.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <tests/libraries/time_points.hpp>
#include <vector>

namespace savorymount::gateway
{
namespace
{

using namespace std::chrono_literals;
using tests::at;

constexpr base::duration lifetime = 10s;
using names = std::set<std::string>;

configuration::service_route route(std::string const& prefix,
                                   std::vector<std::string> const& services)
{
    configuration::service_route out;
    out.name = prefix;
    out.host = "h.example";
    out.path_prefix = prefix;
    out.kind = configuration::repeat_rule::streaming;
    out.resumable = true;
    for (auto const& it : services)
        out.shares.push_back({it, 1.0});
    return out;
}

route_history::index make_index(std::vector<configuration::service_route> routes)
{
    configuration::deployment data;
    data.routes = std::move(routes);
    return std::make_shared<configuration::deployment_index>(std::move(data));
}

/// Processor time of some looks at the shared services, after so many configurations.
base::duration look_time(int configurations)
{
    constexpr int routes = 300;
    constexpr int looks = 10;
    route_history it;
    for (int i = 0; i < configurations; ++i)
    {
        std::vector<configuration::service_route> added;
        added.reserve(routes);
        for (int j = 0; j < routes; ++j)
            added.push_back(route("/r" + std::to_string(j) + "/", {"one"}));
        it.adopt(at(1s * i), make_index(std::move(added)), 100s);
    }
    auto shortest = base::duration::max();
    for (int i = 0; i < 5; ++i)
    {
        auto const began_at = runtime::process_time();
        for (int look = 0; look < looks; ++look)
            it.shared_services(at(1s * configurations));
        shortest = std::min(shortest, runtime::process_time() - began_at);
    }
    return shortest;
}

/// What the history has to tell, by a look at each configuration.
class configuration_list
{
public:
    void adopt(base::time_point now, route_history::index const& current, base::duration time)
    {
        if (!entries_.empty())
            entries_.back().ends_at = now + entries_.back().lifetime + 2s;
        entries_.push_back({current, time, base::time_point::max()});
    }

    names services(base::time_point now, std::string const& path) const
    {
        names out;
        for (auto const& it : entries_)
        {
            auto const* const found = it.configuration->find_route("h.example", path);
            bool const streams =
                found != nullptr && found->kind == configuration::repeat_rule::streaming;
            if (now > it.ends_at || !streams)
                continue;
            for (auto const& share : found->shares)
                out.insert(share.service);
        }
        return out;
    }

    names shared_services(base::time_point now) const
    {
        names out;
        for (auto const& it : entries_)
        {
            for (auto const& added : it.configuration->data().routes)
            {
                auto shared = services(now, added.path_prefix);
                if (now <= it.ends_at && shared.size() > 1)
                    out.merge(shared);
            }
        }
        return out;
    }

private:
    struct entry
    {
        route_history::index configuration;
        base::duration lifetime{};
        base::time_point ends_at;
    };

    std::vector<entry> entries_;
};

route_history::index generate_index(std::vector<std::string> const& prefixes)
{
    std::vector<configuration::service_route> routes;
    for (auto const& it : prefixes)
    {
        if (!*rc::gen::arbitrary<bool>())
            continue;
        std::vector<std::string> services{*rc::gen::element<std::string>("one", "two", "three")};
        if (*rc::gen::inRange(0, 6) == 0)
            services.emplace_back("four");
        routes.push_back(route(it, services));
        if (*rc::gen::inRange(0, 6) == 0)
            routes.back().kind = configuration::repeat_rule::safe;
    }
    return make_index(std::move(routes));
}

// Guards against a stream that goes on elsewhere, or is refused, after any series of changes.
RC_GTEST_PROP(route_history_properties, agrees_with_a_look_at_each_configuration, ())
{
    std::vector<std::string> const prefixes{"/", "/a/", "/a/b/", "/a/b/c/", "/a/d/", "/e/"};
    route_history it;
    configuration_list list;
    auto now = at(0s);
    auto const changes = *rc::gen::inRange(1, 12);
    for (int i = 0; i < changes; ++i)
    {
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 4000));
        auto const current = generate_index(prefixes);
        auto const time = std::chrono::seconds(*rc::gen::inRange(0, 8));
        it.adopt(now, current, time);
        list.adopt(now, current, time);
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 4000));
        if (*rc::gen::arbitrary<bool>())
            it.expire(now);
        for (auto const& prefix : prefixes)
            RC_ASSERT(it.services(now, "h.example", prefix + "x") ==
                      list.services(now, prefix + "x"));
        RC_ASSERT(it.shared_services(now) == list.shared_services(now));
    }
}

// Guards against streams that are recorded outside although no route can lead them elsewhere.
TEST(route_history, shares_no_service_while_each_path_has_one)
{
    route_history it;
    it.adopt(at(0s), make_index({route("/a/", {"one"}), route("/b/", {"two"})}), lifetime);
    it.adopt(at(5s), make_index({route("/a/", {"one"}), route("/c/", {"two"})}), lifetime);
    EXPECT_EQ(it.services(at(5s), "h.example", "/a/ask?x"), names{"one"});
    EXPECT_EQ(it.shared_services(at(5s)), names{});
}

// Guards against a stream that goes on at the service to which its route has moved, and against
// refusals for ever after a move.
TEST(route_history, a_route_that_moved_shares_its_services_until_its_streams_have_ended)
{
    route_history it;
    it.adopt(at(0s), make_index({route("/a/", {"one"})}), lifetime);
    it.adopt(at(5s), make_index({route("/a/", {"two"})}), lifetime);
    for (auto const now : {at(5s), at(15s)})
    {
        EXPECT_EQ(it.services(now, "h.example", "/a/ask"), (names{"one", "two"}));
        EXPECT_EQ(it.shared_services(now), (names{"one", "two"}));
    }
    it.expire(at(30s));
    EXPECT_EQ(it.services(at(30s), "h.example", "/a/ask"), names{"two"});
    EXPECT_EQ(it.shared_services(at(30s)), names{});
}

// Guards against overlooking a new route that takes over a part of the paths of another one.
TEST(route_history, a_longer_prefix_shares_the_services_of_the_route_that_had_its_paths)
{
    route_history it;
    it.adopt(at(0s), make_index({route("/a/", {"one"}), route("/b/", {"other"})}), lifetime);
    it.adopt(
        at(5s),
        make_index({route("/a/", {"one"}), route("/a/new/", {"two"}), route("/b/", {"other"})}),
        lifetime);
    EXPECT_EQ(it.services(at(6s), "h.example", "/a/new/ask"), (names{"one", "two"}));
    EXPECT_EQ(it.services(at(6s), "h.example", "/a/ask"), names{"one"});
    EXPECT_EQ(it.shared_services(at(6s)), (names{"one", "two"}));
}

// Guards against text of two services on a route that is split between them.
TEST(route_history, a_split_route_shares_its_services_as_long_as_it_is_split)
{
    route_history it;
    it.adopt(at(0s), make_index({route("/a/", {"one", "two"})}), lifetime);
    EXPECT_EQ(it.shared_services(at(100s)), (names{"one", "two"}));
}

// Guards against forgetting long streams because a new configuration allows only short ones.
TEST(route_history, a_shorter_time_limit_counts_from_the_end_of_the_longer_streams)
{
    route_history it;
    it.adopt(at(0s), make_index({route("/a/", {"one"})}), lifetime);
    it.adopt(at(5s), make_index({route("/a/", {"one"})}), 1s);
    EXPECT_EQ(it.lifetime(at(15s)), lifetime);
    EXPECT_EQ(it.lifetime(at(30s)), base::duration(1s));
}

// Guards against event loops that are late by seconds after some changes of a large configuration.
TEST(route_history, a_look_does_not_take_longer_with_each_configuration)
{
    constexpr int few = 2;
    constexpr int many = 24;
    EXPECT_LT(look_time(many), many / few * look_time(few));
}

} // namespace
} // namespace savorymount::gateway
