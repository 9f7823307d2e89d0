#include "platform/base64.hpp"
#include "platform/configuration_decoder.hpp"
#include "platform/store_client.hpp"
#include "platform/stream_topic.hpp"
#include "platform/upstream_decoder.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace savorymount::platform
{
namespace
{

using namespace std::chrono_literals;

constexpr char const* configuration_text = R"({"version":7,
"routes":[{"name":"r-m82","host":"jepu9.example","pathPrefix":"/lepu270/","kind":"streaming",
 "timeoutMs":6000,"targetLatencyMs":800,"priority":1,
 "trafficSplit":[{"service":"huvo11a","weight":90},{"service":"kafi81c","weight":10}],
 "maxAttempts":2,"public":false,"sticky":true,"resumable":true,"gapAimMs":400},
 {"name":"r-open","host":"jepu9.example","pathPrefix":"/","kind":"other","timeoutMs":800,
 "service":"kafi81c","public":true}],
"services":[{"name":"huvo11a","healthPath":"/health","maxConns":290,
 "engine":{"slots":48,"kvTokens":94101,"models":[{"name":"daka"}]}},
 {"name":"kafi81c","healthPath":"/health","maxConns":96},
 {"name":"wuno96b","kvStoreAddr":"172.20.0.2:8604","zone":"nz-north-b"}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
 "idleTimeoutMs":15000},
"tenants":[{"name":"sese880","apiKeys":["wu3f","9anu"],"priority":1,"unit":"token",
 "plainTokens":200,"isolated":true,"ratePerS":143423,"burst":143423}],
"unknown":{"field":1}})";

// Guards against routes, limits or rate limits that are decoded wrongly, and against a rejection of
// fields that a newer platform adds.
TEST(configuration_decoder, decodes_a_complete_configuration)
{
    base::error reason;
    auto const it = decode_configuration(configuration_text, reason);
    ASSERT_TRUE(it) << reason.message;
    EXPECT_EQ(it->version, 7U);
    ASSERT_EQ(it->routes.size(), 2U);
    auto const& route = it->routes[0];
    EXPECT_EQ(route.kind, configuration::repeat_rule::streaming);
    EXPECT_EQ(route.timeout, 6s);
    EXPECT_EQ(route.shares.size(), 2U);
    EXPECT_EQ(route.max_attempts, 2U);
    EXPECT_TRUE(route.prompts && route.resumable && !route.open);
    EXPECT_EQ(it->routes[1].kind, configuration::repeat_rule::unsafe);
    EXPECT_TRUE(it->services.at("huvo11a").model_engine);
    EXPECT_EQ(it->services.at("wuno96b").store->address, "172.20.0.2:8604");
    EXPECT_EQ(it->limits.idle_timeout, 15s);
    ASSERT_EQ(it->workspaces.size(), 1U);
    EXPECT_TRUE(it->workspaces[0].isolated);
    EXPECT_EQ(it->workspaces[0].rate, 143423U);
}

// Guards against an invalid configuration that is applied in part.
TEST(configuration_decoder, rejects_invalid_configurations)
{
    base::error reason;
    for (char const* text :
         {"", "[]", "{", R"({"version":1})", R"({"version":"1","routes":[],"services":[]})",
          R"({"version":1,"routes":[{"host":"a"}],"services":[]})"})
    {
        EXPECT_FALSE(decode_configuration(text, reason)) << text;
        EXPECT_EQ(reason.kind, base::error_kind::invalid_input);
    }
}

// Guards against a match with a route of another host, and against a short prefix that takes
// precedence over a longer one.
TEST(deployment_index, finds_the_route_by_longest_prefix_and_the_workspace_by_key)
{
    base::error reason;
    configuration::deployment_index const index(*decode_configuration(configuration_text, reason));
    EXPECT_EQ(index.find_route("jepu9.example", "/lepu270/2f")->name, "r-m82");
    EXPECT_EQ(index.find_route("jepu9.example", "/lepu270")->name, "r-open");
    EXPECT_EQ(index.find_route("jepu9.example", "/?/lepu270/")->name, "r-open");
    EXPECT_EQ(index.find_route("other.example", "/lepu270/2f"), nullptr);
    EXPECT_EQ(index.find_workspace("9anu")->name, "sese880");
    EXPECT_EQ(index.find_workspace("9anv"), nullptr);
    EXPECT_EQ(index.find_cache_store()->data_centre, "nz-north-b");
}

constexpr char const* upstream_text =
    R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"nz-north-a","version":"v1",
"slots":48,"state":"ready","coldLeftMs":0,"stage":"both","born":1780000000000,
"models":[{"name":"daka","version":3,"adapters":[]}],"sequence":4})";

// Guards against an upstream that is used with the wrong weight version or address.
TEST(upstream_decoder, decodes_an_entry)
{
    base::error reason;
    auto const it = decode_upstream("i-7f3a", upstream_text, reason);
    ASSERT_TRUE(it);
    EXPECT_EQ(it->id, "i-7f3a");
    EXPECT_EQ(it->address, "10.128.0.9:8080");
    EXPECT_EQ(it->slots, 48U);
    EXPECT_EQ(it->software_version, "v1");
    EXPECT_EQ(it->weights.at("daka"), 3U);
    EXPECT_EQ(it->started_unix_ms, 1780000000000);
    EXPECT_FALSE(it->draining);
}

// Guards against requests to an upstream whose entry is malformed.
TEST(upstream_decoder, rejects_invalid_entries)
{
    base::error reason;
    std::string const valid_text = upstream_text;
    for (auto const& [from, to] :
         std::vector<std::pair<std::string, std::string>>{{"\"ready\"", "\"stopped\""},
                                                          {"\"slots\":48", "\"slots\":\"48\""},
                                                          {"\"slots\":48", "\"slots\":-1"},
                                                          {"10.128.0.9:8080", "hostname:80"},
                                                          {"\"service\":\"huvo11a\",", ""},
                                                          {",\"version\":\"v1\"", ""},
                                                          {"\"version\":\"v1\"", "\"version\":1"},
                                                          {"{\"service\"", "\xff{\"service\""}})
    {
        auto text = valid_text;
        text.replace(text.find(from), from.size(), to);
        EXPECT_FALSE(decode_upstream("i-1", text, reason)) << to;
        EXPECT_NE(reason.message.find("i-1"), std::string::npos);
    }
}

// Guards against an entry of another writer, without a field that every upstream writes or with one
// of another type, that names an upstream to use.
TEST(upstream_decoder, an_entry_with_a_field_missing_or_of_another_type_names_no_upstream)
{
    using nlohmann::json;
    auto const sound = json::parse(upstream_text);
    for (char const* const field : {"service", "address", "zone", "version", "slots", "state",
                                    "coldLeftMs", "sequence", "born"})
    {
        base::error reason;
        auto odd = sound;
        odd.erase(field);
        EXPECT_FALSE(decode_upstream("i-1", odd.dump(), reason)) << field;
        std::vector<json> values{nullptr, true, json::array(), json::object(), -1, 1.5, 1e300};
        values.push_back(sound.at(field).is_string() ? json(7) : json("7"));
        values.push_back(json::array({sound.at(field)}));
        for (auto const& it : values)
        {
            odd[field] = it;
            // The time that an upstream stays slow may have a fraction.
            bool const is_sound =
                std::string_view(field) == "coldLeftMs" && it.is_number() && it >= 0;
            EXPECT_EQ(decode_upstream("i-1", odd.dump(), reason).has_value(), is_sound)
                << odd.dump();
        }
    }
    for (char const* const models :
         {R"({"name":"daka"})", R"([{"name":"daka"}])", R"([{"version":3}])",
          R"([{"name":7,"version":3}])", R"([{"name":"daka","version":1.5}])", R"(7)", R"("daka")"})
    {
        base::error reason;
        auto odd = sound;
        odd["models"] = json::parse(models);
        EXPECT_FALSE(decode_upstream("i-1", odd.dump(), reason)) << odd.dump();
    }
}

// Guards against a stream whose origin is lost on the way through the store, and against an
// instance that overwrites the records of its former process.
TEST(stream_record, origins_and_versions_are_read_as_written)
{
    streams::origin_record const record{19, {{5, "s", "v1"}, {6, "t", "v2"}, {7, "s", "v1"}}};
    std::vector<streams::service_version> const versions{{"s", "v1"}, {"t", "v2"}};
    streams::stored_origins found;
    add_stream_record(found, "a", {"origins/a/3", serialize_origins(record), 1});
    add_stream_record(found, "a", {"origins/ab/1", serialize_origins({90, {}}), 2});
    add_stream_record(found, "a", {"versions/b", serialize_versions(versions), 3});
    add_stream_record(found, "a", {"versions/c", "not json", 4});
    add_stream_record(found, "a", {"versions/d", std::nullopt, 5});
    EXPECT_EQ(found, (streams::stored_origins{record.origins, {{"b", 3, versions}}, 19}));
}

// Guards against streams that are never recorded because another instance told a name that is no
// UTF-8.
TEST(stream_record, names_of_any_bytes_are_written)
{
    EXPECT_NO_THROW(serialize_origins({1, {{1, "s\xff", "v\xff"}}}));
    EXPECT_NO_THROW(serialize_versions({{"s\xff", "v\xff"}}));
}

// Guards against records that are split at the wrong byte or get the wrong offset.
TEST(store_record_parser, parses_records_with_their_offsets)
{
    std::string body(16, '\0');
    body[7] = 9;
    body += serialize_record("config", "text");
    body += serialize_record("deleted", "");
    base::error reason;
    auto const page = parse_records(body, 7, reason);
    ASSERT_TRUE(page);
    EXPECT_EQ(page->end_offset, 9U);
    EXPECT_EQ(page->next_offset, 9U);
    std::vector<keyed_record> const expected{{"config", "text", 7}, {"deleted", std::nullopt, 8}};
    EXPECT_EQ(page->records, expected);
    EXPECT_FALSE(parse_records(body.substr(0, 10), 7, reason));
    body.back() = 'x';
    body[16 + 3] = 100;
    EXPECT_FALSE(parse_records(body, 7, reason));
}

TEST(base64, decodes_padded_text_and_rejects_invalid_text)
{
    EXPECT_EQ(decode_base64("aGVsbG8="), "hello");
    EXPECT_EQ(decode_base64("aGk="), "hi");
    EXPECT_EQ(decode_base64(""), "");
    EXPECT_FALSE(decode_base64("abc"));
    EXPECT_FALSE(decode_base64("a(c="));
}

} // namespace
} // namespace savorymount::platform
