#include "tests/libraries/configuration/example_documents.hpp"
#include <savorymount/configuration/documents.hpp>

#include <gtest/gtest.h>

namespace savorymount::configuration
{
namespace
{

// Guards against peers that hold different documents after a transfer.
TEST(documents, text_form_returns_the_same_documents)
{
    base::error reason;
    auto const parsed = parse_documents(example::all().serialize(), {}, reason);
    ASSERT_TRUE(parsed) << reason.message;
    EXPECT_EQ(*parsed, example::all());
    EXPECT_EQ(parsed->serialize(), example::all().serialize());
}

// Guards against a peer that exhausts memory or stack with its documents.
TEST(documents, refuses_text_beyond_the_limits)
{
    base::error reason;
    document_limits limits;
    limits.max_bytes = 100;
    EXPECT_FALSE(parse_documents(example::all().serialize(), limits, reason));
    EXPECT_EQ(reason.kind, base::error_kind::too_large);
    limits = {};
    limits.max_documents = 5;
    EXPECT_FALSE(parse_documents(example::all().serialize(), limits, reason));
    EXPECT_EQ(reason.kind, base::error_kind::too_large);
    std::string deep(1'000'000, '[');
    EXPECT_FALSE(parse_json(deep, {}, reason));
    EXPECT_EQ(reason.message, "the JSON text is nested deeper than 16 levels; correct it");
    deep = R"({"system":)" + std::string(15, '[') + std::string(15, ']') + "}";
    EXPECT_TRUE(parse_json(deep, {}, reason));
}

// Guards against a file whose second entry silently replaces the first.
TEST(documents, refuses_a_name_twice_in_one_object)
{
    base::error reason;
    EXPECT_FALSE(parse_json(R"({"a":1,"b":{"a":1},"a":2})", {}, reason));
    EXPECT_EQ(reason.message, "the JSON text has the same name twice in one object; correct it");
    EXPECT_TRUE(parse_json(R"({"a":1,"b":{"a":1},"c":[{"a":1},{"a":2}]})", {}, reason));
}

TEST(documents, refuses_unknown_names_and_values_that_are_no_objects)
{
    base::error reason;
    for (auto const* it :
         {"", "{", "[]", "1", R"({"notes":{}})", R"({"workspaces/":{}})", R"({"system":null})",
          R"({"workspaces/A":{}})", R"({"workspaces/a/b":{}})", "{\"system\":{\"a\":\"\xff\"}}"})
        EXPECT_FALSE(parse_documents(it, {}, reason)) << it;
    EXPECT_TRUE(parse_documents("{}", {}, reason));
}

// Guards against a tool that publishes unchanged documents or misses removed ones.
TEST(documents, changes_lead_from_one_set_to_the_other)
{
    auto wanted = example::entries();
    wanted.erase("system");
    wanted["groups/new"] = nlohmann::json::object();
    wanted["routes/chat"]["open"] = true;
    auto const changes = example::all().changes_to(documents(wanted));
    EXPECT_EQ(changes.size(), 3U);
    EXPECT_TRUE(changes.at("system").is_null());
    auto content = example::all();
    content.apply(changes);
    EXPECT_EQ(content, documents(wanted));
}

// Guards against a set that is accepted although its text is longer than peers accept.
TEST(documents, size_is_an_upper_bound_of_the_text)
{
    auto const value = nlohmann::json::parse(
        R"({"a\"\n\u0001":[1,-9223372036854775808,1.7976931348623157e308,true,null,"ü\\\"\u001f"],"b":{}})");
    EXPECT_GE(*json_size(value, 16), value.dump().size());
    std::string const quotes(1000, '"');
    EXPECT_GE(*json_size(quotes, 16), nlohmann::json(quotes).dump().size());
    std::string const controls(1000, '\x01');
    EXPECT_GE(*json_size(controls, 16), nlohmann::json(controls).dump().size());
    EXPECT_FALSE(json_size(value, 1));
    EXPECT_TRUE(json_size(value, 2));
}

} // namespace
} // namespace savorymount::configuration
