#include "tests/libraries/configuration/example_documents.hpp"
#include <savorymount/configuration/configuration.hpp>

#include <gtest/gtest.h>

namespace savorymount::configuration
{
namespace
{

std::optional<configuration> parse_with(documents::map_type const& changes, base::error& reason)
{
    auto content = example::all();
    content.apply(changes);
    return parse_configuration(7, content, reason);
}

/// The example with one value replaced at a JSON pointer.
documents::map_type edited(std::string const& name, std::string const& pointer,
                           nlohmann::json const& value)
{
    auto document = example::entries().at(name);
    document[nlohmann::json::json_pointer(pointer)] = value;
    return {{name, document}};
}

// Guards against a page whose example the code refuses.
TEST(configuration, accepts_the_documents_of_the_design_page)
{
    base::error reason;
    auto const parsed = parse_configuration(7, example::all(), reason);
    ASSERT_TRUE(parsed) << reason.message;
    EXPECT_EQ(parsed->version(), 7U);
    EXPECT_EQ(parsed->find_workspace("counter")->burst_tokens, 40000U);
    EXPECT_TRUE(parsed->find_workspace("counter")->allows("chat"));
    EXPECT_FALSE(parsed->find_workspace("counter")->allows("other"));
    EXPECT_EQ(parsed->find_workspace("absent"), nullptr);
    EXPECT_EQ(parsed->find_group("model-bench")->models.front().max_answer_tokens, 1024U);
    EXPECT_EQ(parsed->find_workspace_of_key("k1a2b3c4")->workspace, "counter");
    EXPECT_EQ(parsed->find_key("k1a2b3c5"), nullptr);
    EXPECT_EQ(parsed->settings().quarantine, std::chrono::seconds(600));
    EXPECT_TRUE(parsed->find_route("bookings")->repeatable("HEAD"));
    EXPECT_FALSE(parsed->find_route("bookings")->repeatable("POST"));
    EXPECT_TRUE(parsed->find_route("chat")->repeatable("POST"));
}

struct invalid_case
{
    std::string name;
    std::string pointer;
    nlohmann::json value;
    std::string message;
};

// Guards against invalid documents in force, and against messages without place or remedy.
TEST(configuration, refuses_invalid_documents_with_place_and_remedy)
{
    std::string const duplicate_key = "workspaces/other.json#/keys holds the key id \"k1a2b3c4\" "
                                      "that the workspace \"counter\" holds already; grant a new "
                                      "key instead";
    std::vector<invalid_case> const cases{
        {"workspaces/counter", "/burst", 1,
         "workspaces/counter.json#/burst is not a known field; remove it or correct its spelling"},
        {"workspaces/counter", "/rate_tokens_per_second", "2000",
         "workspaces/counter.json#/rate_tokens_per_second must be a whole number from 1 to "
         "1000000000"},
        {"workspaces/counter", "/rate_tokens_per_second", -1,
         "workspaces/counter.json#/rate_tokens_per_second must be a whole number from 1 to "
         "1000000000"},
        {"workspaces/counter", "/weight", 1.5,
         "workspaces/counter.json#/weight must be a whole number from 1 to 1000"},
        {"workspaces/counter", "/workspace", "tresen",
         "workspaces/counter.json#/workspace differs from the document's name; rename one of the "
         "two"},
        {"workspaces/counter", "/keys/0/digest", "sm_abcd_secret",
         "workspaces/counter.json#/keys/0/digest must be 64 lower-case hexadecimal digits"},
        {"workspaces/counter", "/keys/0/secret", "x",
         "workspaces/counter.json#/keys/0/secret is not a known field; remove it or correct its "
         "spelling"},
        {"workspaces/counter", "/routes/0", "chat2",
         "workspaces/counter.json#/routes names the route \"chat2\", which does not exist; add "
         "routes/chat2.json or remove the name"},
        {"workspaces/counter", "/routes/1", "chat",
         "workspaces/counter.json#/routes must be a list of 0 to 1000 different names"},
        {"routes/chat", "/group", "bench",
         "routes/chat.json#/group names the group \"bench\", which does not exist; add "
         "groups/bench.json or name another group"},
        {"routes/chat", "/kind", "plain",
         "routes/chat.json#/kind differs from the kind of the group \"model-bench\"; make them "
         "equal"},
        {"routes/chat", "/open", true,
         "routes/chat.json#/open is true, but there is no contract for open routes; add "
         "workspaces/open.json or set it to false"},
        {"routes/chat", "/path_prefix", "/bookings",
         "routes/chat.json#/path_prefix is also the prefix of the route \"bookings\"; choose "
         "different prefixes"},
        {"routes/bookings", "/path_prefix", "/bookings/../x",
         "routes/bookings.json#/path_prefix must be an absolute path of 1 to 512 characters "
         "without query, percent escapes, a \"/\" at the end, and empty, \".\" or \"..\" "
         "segments"},
        {"routes/bookings", "/repeatable_methods/0", "get",
         "routes/bookings.json#/repeatable_methods must be a list of 0 to 16 different upper-case "
         "HTTP methods"},
        {"routes/chat", "/cost_tokens", 1,
         "routes/chat.json#/cost_tokens applies to plain routes only; remove it, since requests on "
         "model routes cost the tokens that they use"},
        {"groups/tankyard", "/models", nlohmann::json::parse(R"([{"model":"m","version":"1",
            "engines":1,"max_answer_tokens":1}])"),
         "groups/tankyard.json#/models must be empty or missing in a group of kind \"plain\""},
        {"groups/model-bench", "/models/1",
         example::entries().at("groups/model-bench").at("models").at(0),
         "groups/model-bench.json#/models/1 names a model, adapter and version that the list names "
         "already; merge the two"},
        {"system", "/quarantine_seconds", 0,
         "system.json#/quarantine_seconds must be a whole number from 1 to 86400"},
    };
    for (auto const& it : cases)
    {
        base::error reason;
        EXPECT_FALSE(parse_with(edited(it.name, it.pointer, it.value), reason)) << it.message;
        EXPECT_EQ(reason, (base::error{base::error_kind::invalid_input, it.message}));
    }
    auto other = example::entries().at("workspaces/counter");
    other["workspace"] = "other";
    base::error reason;
    EXPECT_FALSE(parse_with({{"workspaces/other", other}}, reason));
    EXPECT_EQ(reason.message, duplicate_key);
    EXPECT_FALSE(parse_with({{"system", nlohmann::json::array()}}, reason));
    EXPECT_EQ(reason.message, "system must be a JSON object");
    EXPECT_FALSE(parse_with({{"notes/a", nlohmann::json::object()}}, reason));
    EXPECT_FALSE(parse_with({{"workspaces/../a", nlohmann::json::object()}}, reason));
    EXPECT_FALSE(parse_with({{"groups/tankyard", nullptr}}, reason));
}

// Guards against a key that moves to another workspace only after a second change, and against an
// index that keeps withdrawn keys.
TEST(configuration, one_change_moves_and_withdraws_keys)
{
    base::error reason;
    auto const before = parse_configuration(7, example::all(), reason);
    auto giving = example::entries().at("workspaces/counter");
    auto taking = giving;
    taking["workspace"] = "a-taker";
    giving["keys"] = nlohmann::json::array();
    auto const moved = before->changed(
        8, {{"workspaces/counter", giving}, {"workspaces/a-taker", taking}}, reason);
    ASSERT_TRUE(moved) << reason.message;
    EXPECT_EQ(moved->find_workspace_of_key("k1a2b3c4")->workspace, "a-taker");
    EXPECT_EQ(before->find_workspace_of_key("k1a2b3c4")->workspace, "counter");
    auto const withdrawn = moved->changed(9, {{"workspaces/a-taker", nullptr}}, reason);
    ASSERT_TRUE(withdrawn);
    EXPECT_EQ(withdrawn->find_key("k1a2b3c4"), nullptr);
}

// Guards against requests that reach a route by a spelling that the upstream reads otherwise: such
// a request would run under the rules of the wrong route, in the worst case of an open one.
TEST(configuration, matches_routes_on_the_decoded_path)
{
    auto open = example::entries().at("workspaces/counter");
    open["workspace"] = "open";
    open["keys"] = nlohmann::json::array();
    auto inner = example::entries().at("routes/bookings");
    inner["route"] = "admin";
    inner["path_prefix"] = "/bookings/admin";
    auto outer = example::entries().at("routes/bookings");
    outer["open"] = true;
    base::error reason;
    auto const parsed = parse_with(
        {{"workspaces/open", open}, {"routes/admin", inner}, {"routes/bookings", outer}}, reason);
    ASSERT_TRUE(parsed) << reason.message;
    auto const name = [&](std::string_view target)
    {
        auto const* const found = parsed->match_route(target);
        return found == nullptr ? std::string("none") : found->name;
    };
    EXPECT_EQ(name("/bookings"), "bookings");
    EXPECT_EQ(name("/bookings/7?x=/bookings/admin"), "bookings");
    EXPECT_EQ(name("/bookings/admin"), "admin");
    EXPECT_EQ(name("/bookings/admin/7"), "admin");
    EXPECT_EQ(name("/bookings/administration"), "bookings");
    EXPECT_EQ(name("/bookings/%61dmin"), "admin");
    EXPECT_EQ(name("//bookings//admin/"), "admin");
    EXPECT_EQ(name("/bookings\\admin"), "admin");
    EXPECT_EQ(name("/bookings%2Fadmin"), "admin");
    EXPECT_EQ(name("/bookings/x/../admin"), "none");
    EXPECT_EQ(name("/bookings/x/%2e%2E/admin"), "none");
    EXPECT_EQ(name("/bookings/%zz"), "none");
    EXPECT_EQ(name("/bookings/%0a"), "none");
    EXPECT_EQ(name("/other"), "none");
    EXPECT_EQ(name("/"), "none");
    EXPECT_EQ(name(""), "none");
    EXPECT_EQ(name("bookings"), "none");
}

// Guards against documents whose text a peer would refuse as too large.
TEST(configuration, refuses_more_than_the_limit)
{
    auto changes = documents::map_type();
    auto group = example::entries().at("groups/tankyard");
    for (std::size_t i = 0; i < document_limits{}.max_documents; ++i)
    {
        auto const name = "g" + std::to_string(i);
        group["group"] = name;
        changes.emplace("groups/" + name, group);
    }
    base::error reason;
    EXPECT_FALSE(parse_with(changes, reason));
    EXPECT_EQ(reason.kind, base::error_kind::too_large);
}

} // namespace
} // namespace savorymount::configuration
