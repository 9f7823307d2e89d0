#include "tests/libraries/seeded_property.hpp"
#include <savorymount/configuration/caller_key.hpp>
#include <savorymount/configuration/credential_filter.hpp>
#include <savorymount/configuration/request_path.hpp>

#include <gtest/gtest.h>

#include <algorithm>

namespace savorymount::configuration
{
namespace
{

std::string const key = "sm_k1a2b3c4_0123456789abcdef0123456789abcdef";
std::string const other_key = "sm_k9z8y7x6_fedcba9876543210fedcba9876543210";

filtered_request filtered(std::vector<header> const& headers, std::string_view target = "/bookings")
{
    base::error reason;
    auto out = filter_credentials(headers, target, reason);
    EXPECT_TRUE(out) << reason.message;
    return out.value_or(filtered_request{});
}

TEST(credential_filter, finds_the_key_in_each_place)
{
    for (header const& it : std::vector<header>{{"Authorization", "Bearer " + key},
                                                {"authorization", "bearer  " + key + " "},
                                                {"AUTHORIZATION", key},
                                                {"X-Api-Key", key},
                                                {"api-key", key},
                                                {"x_api_key", key},
                                                {"Proxy-Authorization", "Bearer " + key},
                                                {"Cookie", "session=1; key=" + key},
                                                {"Cookie", "token=\"" + key + "\"; b=2"}})
        EXPECT_EQ(filtered({it}).presented_key, key) << it.name << ": " << it.value;
    for (auto const* it : {"/bookings?key=", "/bookings?a=1&api_key=", "/bookings?access_token="})
        EXPECT_EQ(filtered({}, it + key).presented_key, key) << it;
    EXPECT_EQ(filtered({}, "/bookings?%6bey=%73m_" + key.substr(3)).presented_key, key);
    EXPECT_FALSE(filtered({{"Authorization", "Basic YTpi"}, {"Accept", "*/*"}}).presented_key);
}

// Guards against a filter that takes more from the request than credentials.
TEST(credential_filter, passes_everything_else_on_unchanged)
{
    std::vector<header> const kept{{"Accept", "text/event-stream"},
                                   {"cookie", " session=\"a b\";theme=dark"},
                                   {"X-Custom", "sm_ is a unit; 100% of sm_x_y"},
                                   {"Idempotency-Key", "order-7"}};
    auto headers = kept;
    headers.push_back({"Authorization", "Bearer " + key});
    auto const out = filtered(headers, "/bookings/7%20a?x=1&&y=%zz&monkey=2&");
    EXPECT_EQ(out.target, "/bookings/7%20a?x=1&&y=%zz&monkey=2&");
    ASSERT_EQ(out.headers.size(), kept.size());
    EXPECT_EQ(out.headers[0], kept[0]);
    EXPECT_EQ(out.headers[1], (header{"cookie", "session=\"a b\";theme=dark"}));
    EXPECT_EQ(out.headers[2], kept[2]);
    EXPECT_EQ(out.headers[3], kept[3]);
}

// Guards against callers who set what only the system may set.
TEST(credential_filter, drops_the_systems_own_headers)
{
    auto const out = filtered({{"X-Savorymount-Workspace", "other"},
                               {"x_savorymount_route", "chat"},
                               {"X-Request-Id", "1"},
                               {"x-priority", "9"},
                               {"X_Resume-From", "5"},
                               {"X-Request-Identity", "kept"}});
    EXPECT_EQ(out.headers, (std::vector<header>{{"X-Request-Identity", "kept"}}));
}

TEST(credential_filter, removes_credentials_from_cookies_and_query)
{
    auto const out = filtered({{"Cookie", "a=1; api_key=" + key + "; b=2"}, {"Cookie", "key=x"}},
                              "/bookings?a=1&key=secret&b=2&c=" + key + "#" + key);
    EXPECT_EQ(out.headers, (std::vector<header>{{"Cookie", "a=1; b=2"}}));
    EXPECT_EQ(out.target, "/bookings?a=1&b=2");
    EXPECT_EQ(filtered({}, "/bookings?key=" + key).target, "/bookings");
    EXPECT_EQ(filtered({}, "/bookings?a=1#top").target, "/bookings?a=1");
}

// Guards against a key in the path, which can't be removed without changing the request, and
// against a request that could run for either of two workspaces.
TEST(credential_filter, refuses_what_it_cannot_decide)
{
    base::error reason;
    EXPECT_FALSE(filter_credentials({}, "/bookings/" + key, reason));
    EXPECT_EQ(reason,
              (base::error{base::error_kind::invalid_input,
                           "the path contains a key; send it in the Authorization header"}));
    EXPECT_FALSE(filter_credentials({}, "http://user:" + key + "@127.0.0.1/bookings", reason));
    EXPECT_FALSE(filter_credentials({{"Authorization", "Bearer " + key}, {"x-api-key", other_key}},
                                    "/bookings", reason));
    EXPECT_EQ(reason, (base::error{base::error_kind::invalid_input,
                                   "different keys came with the request; send one key"}));
    EXPECT_TRUE(filter_credentials({{"Authorization", "Bearer " + key}, {"x-api-key", key}},
                                   "/bookings?key=" + key, reason));
}

/// Percent-encodes some characters, `rounds` times, and changes the case of some letters.
std::string disguised(std::string const& text)
{
    constexpr std::string_view digits[] = {"0123456789abcdef", "0123456789ABCDEF"};
    auto out = text;
    if (*rc::gen::inRange(0, 3) == 0)
        for (char& it : out)
            if (*rc::gen::arbitrary<bool>() && it >= 'a' && it <= 'z')
                it = static_cast<char>(it - 'a' + 'A');
    auto const rounds = *rc::gen::inRange(0, 4);
    for (int round = 0; round < rounds; ++round)
    {
        std::string next;
        auto const share = *rc::gen::inRange(1, 8);
        for (char const it : out)
        {
            auto const byte = static_cast<unsigned char>(it);
            auto const& hex = digits[*rc::gen::inRange(0, 2)];
            if (it == '%' || *rc::gen::inRange(0, share) == 0)
                next.append("%").append(1, hex[byte >> 4]).append(1, hex[byte & 0xf]);
            else
                next.push_back(it);
        }
        out = next;
    }
    return out;
}

/// Whether `text` shows the key's secret after any number of decodings, in any case.
bool shows_secret(std::string text)
{
    auto const secret = parse_caller_key(key)->secret;
    for (int i = 0; i < 8; ++i)
    {
        auto lowered = text;
        std::transform(lowered.begin(), lowered.end(), lowered.begin(),
                       [](unsigned char it) { return static_cast<char>(std::tolower(it)); });
        if (lowered.find(secret) != std::string::npos)
            return true;
        std::string next;
        for (std::size_t at = 0; at < text.size(); ++at)
        {
            auto const decoded = percent_decoded(std::string_view(text).substr(at, 3));
            if (text[at] == '%' && decoded)
            {
                next += *decoded;
                at += 2;
            }
            else
                next.push_back(text[at]);
        }
        text = next;
    }
    return false;
}

// Guards against upstreams that see a caller's key, wherever and however the caller wrote it.
TEST(credential_filter, no_key_survives)
{
    savorymount::tests::check_seeded(
        20'262, 3'000,
        []
        {
            std::vector<std::string> const names{
                "Authorization", "x-api-key", "API-KEY", "Cookie",   "Referer",
                "X-Forwarded",   "X_Api_Key", "Accept",  "x-custom", "Proxy-Authorization"};
            std::vector<std::string> const texts{"",   "a", "Bearer ", "key=", "; b=", "&", "%",
                                                 "%2", "=", "sm_",     "\"",   " ",    "x"};
            auto const around = [&]
            {
                return *rc::gen::elementOf(texts);
            };
            auto const value = [&]
            {
                auto const hidden = *rc::gen::inRange(0, 4) > 0 ? disguised(key) : std::string("v");
                return around() + hidden + around();
            };
            std::vector<header> headers;
            auto const count = *rc::gen::inRange<std::size_t>(0, 4);
            headers.reserve(count + 1);
            for (std::size_t i = 0; i < count; ++i)
                headers.push_back({*rc::gen::elementOf(names), value()});
            if (*rc::gen::inRange(0, 4) == 0)
                headers.push_back({disguised(key), "v"});
            std::string target = "/bookings";
            if (*rc::gen::inRange(0, 8) == 0)
                target += "/" + value();
            std::vector<std::string> const parameters{
                "?key=", "?a=1&api_key=", "?access_token=", "?q=", "?", "?%6Bey=", "?a=b&c=d",
                "#",     "?a[key]="};
            target += *rc::gen::elementOf(parameters) + value();
            base::error reason;
            auto const out = filter_credentials(headers, target, reason);
            if (!out)
            {
                RC_ASSERT(reason.kind == base::error_kind::invalid_input);
                return;
            }
            RC_ASSERT(!shows_secret(out->target));
            for (auto const& it : out->headers)
            {
                RC_ASSERT(!shows_secret(it.name));
                RC_ASSERT(!shows_secret(it.value));
            }
        });
}

// Guards against a key that hides behind more encodings than the filter undoes.
TEST(credential_filter, text_that_stays_encoded_counts_as_a_key)
{
    std::string deep = "%41";
    for (int i = 0; i < 4; ++i)
        deep = "%25" + deep.substr(1);
    EXPECT_FALSE(contains_key(deep));
    for (int i = 0; i < 4; ++i)
        deep = "%25" + deep.substr(1);
    EXPECT_TRUE(contains_key(deep));
}

} // namespace
} // namespace savorymount::configuration
