#include "platform/configuration_decoder.hpp"
#include <savorymount/base/random_source.hpp>
#include <savorymount/gateway/admission.hpp>
#include <savorymount/gateway/cluster_state.hpp>
#include <savorymount/gateway/placement.hpp>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tests/libraries/seeded_property.hpp>
#include <tests/libraries/time_points.hpp>
#include <vector>

namespace savorymount::platform
{
namespace
{

using namespace std::chrono_literals;
using nlohmann::json;
using tests::at;

constexpr char const* sound_configuration = R"({"version":7,
"routes":[{"name":"booking","host":"h","pathPrefix":"/book/","kind":"unsafe","timeoutMs":1500,
 "trafficSplit":[{"service":"new","weight":1},{"service":"old","weight":9}],"maxAttempts":1,
 "public":false},
 {"name":"open","host":"h","pathPrefix":"/open/","kind":"safe","service":"old","public":true}],
"services":[{"name":"old","healthPath":"/health"},{"name":"new","healthPath":"/health"}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4096,"headerTimeoutMs":3000,"idleTimeoutMs":9000},
"tenants":[{"name":"club","apiKeys":["key-club"],"ratePerS":100,"burst":50,"plainTokens":2,
 "isolated":true},
 {"name":"shop","apiKeys":["key-shop"],"ratePerS":10,"burst":5}]})";

json sound()
{
    return json::parse(sound_configuration);
}

std::optional<configuration::deployment> decode(json const& object)
{
    base::error reason;
    return decode_configuration(object.dump(), reason);
}

gateway::caller_request request_with(std::optional<std::string> key, std::string const& target)
{
    gateway::caller_request out;
    out.host = "h";
    out.target = target;
    out.api_key = std::move(key);
    return out;
}

/// An instance that knows the newest configuration.
std::unique_ptr<gateway::cluster_state> instance_with(configuration::deployment const& data)
{
    gateway::gateway_settings settings;
    settings.first_start = true;
    auto out = std::make_unique<gateway::cluster_state>(settings, at(0s));
    out->apply_deployment(at(0s), data);
    out->configuration_read(at(0s));
    return out;
}

/// The error with which the request is refused; empty if it is let in.
std::optional<base::error_kind> refusal_of(gateway::cluster_state& cluster,
                                           gateway::caller_request const& request)
{
    gateway::admitted_request admitted;
    gateway::refusal refused;
    if (gateway::authorize(at(0s), cluster, request, admitted, refused))
        return std::nullopt;
    return refused.reason.kind;
}

/// A configuration with one changed field, and what was changed.
struct odd_configuration
{
    std::string text;
    json object;
};

std::vector<odd_configuration> with_odd_values(std::string const& path)
{
    json::json_pointer const pointer(path);
    std::vector<odd_configuration> out;
    for (auto const& value :
         {json(nullptr), json(true), json(""), json("0"), json(0), json(-1), json(0.25),
          json::array(), json::object(), json::array({nullptr}), json::array({""})})
    {
        auto object = sound();
        object[pointer] = value;
        out.push_back({path + " = " + value.dump(), object});
    }
    auto object = sound();
    auto& parent = object[pointer.parent_pointer()];
    if (parent.is_array())
        parent.erase(std::stoul(pointer.back()));
    else
        parent.erase(pointer.back());
    out.push_back({path + " left out", object});
    return out;
}

// Guards against a withdrawn key and an unknown one that run when the last workspace goes
// (review case 15).
TEST(configuration_grants, without_the_last_workspace_no_key_is_let_in)
{
    auto object = sound();
    object["tenants"] = json::array();
    auto const data = decode(object);
    ASSERT_TRUE(data);
    auto const cluster = instance_with(*data);
    for (auto const& key : {std::optional<std::string>("key-club"),
                            std::optional<std::string>("never"), std::optional<std::string>("")})
        EXPECT_EQ(refusal_of(*cluster, request_with(key, "/book/slot")),
                  base::error_kind::unauthorized);
    EXPECT_EQ(refusal_of(*cluster, request_with(std::nullopt, "/book/slot")),
              base::error_kind::unauthorized);
    EXPECT_FALSE(refusal_of(*cluster, request_with(std::nullopt, "/open/slot")));
}

// Guards against a refusal of all requests of a deployment that has no workspaces at all.
TEST(configuration_grants, a_configuration_that_knows_no_workspaces_needs_no_keys)
{
    auto object = sound();
    object.erase("tenants");
    auto const data = decode(object);
    ASSERT_TRUE(data);
    auto const cluster = instance_with(*data);
    EXPECT_FALSE(refusal_of(*cluster, request_with(std::nullopt, "/book/slot")));
}

// Guards against an empty or odd value that lets in what the sound one keeps out. A list of
// workspaces that is left out and a route that is public are the exceptions.
TEST(configuration_grants, an_odd_value_lets_no_request_in)
{
    for (char const* const path :
         {"/tenants", "/tenants/0", "/tenants/0/name", "/tenants/0/apiKeys", "/tenants/0/isolated",
          "/routes", "/routes/0", "/routes/0/public", "/routes/0/host", "/routes/0/pathPrefix",
          "/routes/1/pathPrefix", "/services", "/limits"})
    {
        for (auto const& odd : with_odd_values(path))
        {
            auto const data = decode(odd.object);
            bool const is_exception =
                !odd.object.contains("tenants") || odd.text == "/routes/0/public = true";
            if (!data || is_exception)
                continue;
            auto const cluster = instance_with(*data);
            for (auto const& key :
                 {std::optional<std::string>(), std::optional<std::string>("never"),
                  std::optional<std::string>("")})
                EXPECT_TRUE(refusal_of(*cluster, request_with(key, "/book/slot"))) << odd.text;
        }
    }
}

// Guards against a limit that is lifted by a negative value or by a part of a token. The pages say
// that 0 and a value that is left out mean no limit.
TEST(configuration_grants, an_odd_value_lifts_no_limit)
{
    for (char const* const path :
         {"/tenants/0/ratePerS", "/tenants/0/burst", "/tenants/0/plainTokens"})
    {
        json::json_pointer const pointer(path);
        for (auto const& odd : with_odd_values(path))
        {
            auto const data = decode(odd.object);
            auto const written = odd.object.value(pointer, json(0));
            bool const is_lifted = written == json(0);
            if (!data || is_lifted)
                continue;
            auto const& club = data->workspaces.at(0);
            EXPECT_GE(club.rate, 1U) << odd.text;
            EXPECT_GE(club.burst, 1U) << odd.text;
            EXPECT_GE(club.plain_tokens, 1U) << odd.text;
        }
    }
}

// Guards against a service that gets requests though its share is 0, and against one that gets all
// of them when no share is left.
TEST(configuration_grants, a_service_without_a_share_gets_no_request)
{
    base::random_source random(1);
    auto object = sound();
    object["/routes/0/trafficSplit/1/weight"_json_pointer] = 0;
    auto const data = decode(object);
    ASSERT_TRUE(data);
    for (int i = 0; i < 100; ++i)
        EXPECT_EQ(gateway::choose_service(data->routes[0], random), "new");
    object["/routes/0/trafficSplit/0/weight"_json_pointer] = 0;
    EXPECT_FALSE(decode(object));
    for (auto const& weight : {json(-1), json(nullptr), json("1")})
    {
        object["/routes/0/trafficSplit/0/weight"_json_pointer] = weight;
        EXPECT_FALSE(decode(object)) << weight;
    }
    object["/routes/0/trafficSplit"_json_pointer] = nullptr;
    EXPECT_FALSE(decode(object));
}

// Guards against grants that depend on the order of two entries.
TEST(configuration_grants, what_stands_twice_grants_nothing)
{
    for (char const* const list : {"routes", "services", "tenants"})
    {
        auto object = sound();
        object[list].push_back(object[list].at(0));
        EXPECT_FALSE(decode(object)) << list;
    }
    auto object = sound();
    object["/tenants/1/apiKeys"_json_pointer] = {"key-shop", "key-club"};
    EXPECT_FALSE(decode(object));
    object["/tenants/1/apiKeys"_json_pointer] = {"key-shop", "key-shop"};
    EXPECT_TRUE(decode(object));
    std::string text = sound_configuration;
    text.insert(text.find("\"public\":false"), "\"public\":true,");
    base::error reason;
    EXPECT_FALSE(decode_configuration(text, reason));
}

/// Operators add and remove workspaces, keys and the list itself, and publish odd versions;
/// instances follow late and start anew.
class generated_history
{
public:
    explicit generated_history(std::uint32_t seed) : random_(seed) {}

    /// Returns whether every request was let in or refused as the newest valid version says.
    bool run()
    {
        for (int i = 0; i < 60 && holds_; ++i)
        {
            publish();
            if (happens(5))
                cluster_.reset();
            check_requests();
        }
        return holds_;
    }

private:
    bool happens(std::uint64_t one_in) { return random_.uniform_below(one_in) == 0; }

    void publish()
    {
        auto object = sound();
        object["version"] = ++version_;
        object["/routes/0/public"_json_pointer] = happens(6);
        auto const kind = random_.uniform_below(6);
        if (kind == 0)
            object.erase("tenants");
        else if (kind == 1)
            object["tenants"] = json::array();
        else if (kind == 2)
            object["tenants"] = happens(2) ? json(nullptr) : json::object();
        else if (kind == 3)
            object["/tenants/0/apiKeys"_json_pointer] = json::array();
        else if (kind == 4)
            object["/tenants/0/apiKeys"_json_pointer] = {""};
        auto const data = decode(object);
        holds_ = holds_ && data.has_value() == (kind != 2);
        if (!data)
            return;
        in_force_ = object;
        data_ = *data;
        if (cluster_)
            cluster_->apply_deployment(at(0s), *data);
    }

    void check_requests()
    {
        if (!data_)
            return;
        if (!cluster_)
            cluster_ = instance_with(*data_);
        for (char const* const key : {"key-club", "key-shop", "never", ""})
        {
            bool const is_let_in = !refusal_of(*cluster_, request_with(key, "/book/slot"));
            holds_ = holds_ && is_let_in == may_run(key);
        }
    }

    bool may_run(std::string const& key) const
    {
        if (in_force_.at("/routes/0/public"_json_pointer) == true || !in_force_.contains("tenants"))
            return true;
        auto const& tenants = in_force_.at("tenants");
        return !key.empty() && std::any_of(tenants.begin(), tenants.end(),
                                           [&](json const& it)
                                           {
                                               auto const& keys = it.at("apiKeys");
                                               return std::count(keys.begin(), keys.end(), key) > 0;
                                           });
    }

    base::random_source random_;
    std::uint64_t version_ = 0;
    json in_force_;
    std::optional<configuration::deployment> data_;
    std::unique_ptr<gateway::cluster_state> cluster_;
    bool holds_ = true;
};

// Guards against what an earlier version granted, and against a version that opens what it closes.
TEST(configuration_grants, only_the_newest_valid_version_grants)
{
    tests::check_property(200,
                          [](std::uint32_t seed) { RC_ASSERT(generated_history(seed).run()); });
}

} // namespace
} // namespace savorymount::platform
