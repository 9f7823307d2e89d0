#include <savorymount/routing/prompt_prefix.hpp>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <numeric>

namespace savorymount::routing
{
namespace
{

using json = nlohmann::json;

prefix_seed const seed{"counter", "assay", "", "1"};

std::string body_of(std::vector<std::string> const& texts)
{
    json messages = json::array();
    for (std::string const& it : texts)
        messages.push_back({{"role", "user"}, {"content", it}});
    return json{{"model", "assay"}, {"messages", messages}}.dump();
}

/// Encodes arbitrary bytes as text that is valid in JSON.
std::string printable(std::string const& bytes)
{
    std::string out;
    for (char const it : bytes)
        out += std::to_string(static_cast<int>(it)) + ' ';
    return out;
}

prompt_prefix parse(std::string const& body, prefix_seed const& digest_seed = seed)
{
    base::error reason;
    auto const out = parse_prompt_prefix(body, digest_seed, {}, reason);
    EXPECT_TRUE(out) << reason.message;
    return out.value_or(prompt_prefix{});
}

// Guards against prompts with a common prefix that share no digest, so that every cache hit is
// lost.
TEST(prompt_prefix, common_messages_share_their_digests)
{
    std::string const system_prompt(20'000, 'r');
    prompt_prefix const left = parse(body_of({system_prompt, "client one", "question"}));
    prompt_prefix const right = parse(body_of({system_prompt, "client two", "question"}));
    EXPECT_EQ(left.message_ends, (std::vector<std::uint32_t>{3, 4, 5}));
    EXPECT_EQ(left.block_bytes, (std::vector<std::uint32_t>{8000, 8000, 4000, 10, 8}));
    EXPECT_EQ(left.text_bytes, 20'018U);
    EXPECT_TRUE(std::equal(left.digests.begin(), left.digests.begin() + 3, right.digests.begin()));
    EXPECT_NE(left.digests[3], right.digests[3]);
    EXPECT_NE(left.digests[4], right.digests[4]) << "a digest must depend on all text before it";
}

// Guards against hints that apply to another workspace or another weight version.
TEST(prompt_prefix, no_digest_is_shared_between_seeds)
{
    std::string const body = body_of({"same", "text"});
    std::vector<prefix_seed> const seeds{seed,
                                         {"other", "assay", "", "1"},
                                         {"counter", "other", "", "1"},
                                         {"counter", "assay", "tuned", "1"},
                                         {"counter", "assay", "", "2"}};
    std::vector<std::uint64_t> all;
    for (prefix_seed const& it : seeds)
    {
        auto const digests = parse(body, it).digests;
        all.insert(all.end(), digests.begin(), digests.end());
    }
    std::sort(all.begin(), all.end());
    EXPECT_EQ(std::adjacent_find(all.begin(), all.end()), all.end());
}

// Guards against different digests for the same prompt when clients format the JSON differently.
TEST(prompt_prefix, digests_are_independent_of_json_formatting)
{
    prompt_prefix const plain = parse(
        R"({"messages":[{"role":"user","content":"caf\u00e9"}],"model":"assay","stream":true})");
    prompt_prefix const other = parse("{ \"model\": \"assay\", \"messages\": [ {\"content\": "
                                      "\"caf\xc3\xa9\", \"role\": \"user\"} ] }");
    prompt_prefix const parts =
        parse(R"({"messages":[{"role":"user","content":[{"type":"text","text":"caf\u00e9"}]}]})");
    EXPECT_EQ(plain, other);
    EXPECT_EQ(plain.text_bytes, parts.text_bytes);
}

// Guards against equal digests for prompts that differ only in non-text content that the engine
// renders.
TEST(prompt_prefix, roles_tools_and_non_text_parts_change_the_digest)
{
    auto const last = [](std::string const& body)
    {
        return parse(body).digests.back();
    };
    std::uint64_t const plain = last(R"({"messages":[{"role":"user","content":"a"}]})");
    EXPECT_NE(plain, last(R"({"messages":[{"role":"system","content":"a"}]})"));
    EXPECT_NE(plain, last(R"({"messages":[{"role":"user","name":"n","content":"a"}]})"));
    EXPECT_NE(plain, last(R"({"tools":[{"f":1}],"messages":[{"role":"user","content":"a"}]})"));
    EXPECT_EQ(last(R"({"messages":[{"role":"user","content":"a"}],"tools":[{"f":1}]})"),
              last(R"({"tools":[{"f":1}],"messages":[{"role":"user","content":"a"}]})"));
    std::string const image =
        R"({"messages":[{"role":"user","content":[{"type":"image","image":{"url":"x"}}]}]})";
    std::string const other =
        R"({"messages":[{"role":"user","content":[{"type":"image","image":{"url":"y"}}]}]})";
    EXPECT_NE(last(image), last(other));
}

// Guards against equal digests for prompts that differ only in the position of a message boundary.
TEST(prompt_prefix, message_boundaries_change_the_digest)
{
    EXPECT_NE(parse(body_of({"ab", "c"})).digests.back(),
              parse(body_of({"a", "bc"})).digests.back());
}

// Guards against placing a malformed body by the digest of its leading part.
TEST(prompt_prefix, malformed_bodies_are_rejected_with_an_error_message)
{
    for (std::string const body :
         {"", "{", "[]", "{}", "null", R"({"messages":[]})", "\xff\xfe", R"({"messages":"text"})",
          R"({"messages":[1,2]})", R"({"messages":[{"role":"user","content":"a"}]} trailing)"})
    {
        base::error reason;
        EXPECT_FALSE(parse_prompt_prefix(body, seed, {}, reason)) << body;
        EXPECT_EQ(reason.kind, base::error_kind::invalid_input) << body;
        EXPECT_FALSE(reason.message.empty());
    }
}

// Guards against bodies that are too expensive to parse: deep nesting, size and number of blocks.
TEST(prompt_prefix, cost_of_huge_bodies_is_bounded)
{
    base::error reason;
    std::string const nested = R"({"messages":)" + std::string(1'000'000, '[');
    EXPECT_FALSE(parse_prompt_prefix(nested, seed, {}, reason));
    EXPECT_EQ(reason.kind, base::error_kind::too_large);

    prefix_limits limits;
    limits.max_body_bytes = 100;
    EXPECT_FALSE(parse_prompt_prefix(std::string(101, ' '), seed, limits, reason));
    EXPECT_EQ(reason.kind, base::error_kind::too_large);

    prompt_prefix const many = parse(body_of(std::vector<std::string>(5000, "x")));
    EXPECT_EQ(many.digests.size(), prefix_limits{}.max_blocks);
    EXPECT_EQ(many.message_ends.back(), prefix_limits{}.max_blocks);
    EXPECT_EQ(many.text_bytes, 5000U);
    EXPECT_TRUE(many.truncated);
}

// Guards against rounding a number of cached tokens up to a block that the engine doesn't have
// cached.
TEST(prompt_prefix, cached_tokens_are_rounded_down_to_blocks)
{
    prompt_prefix prefix;
    prefix.block_bytes = {8000, 4000, 10};
    EXPECT_EQ(blocks_within(prefix, 0, 4.0), 0U);
    EXPECT_EQ(blocks_within(prefix, 1999, 4.0), 0U);
    EXPECT_EQ(blocks_within(prefix, 2000, 4.0), 1U);
    EXPECT_EQ(blocks_within(prefix, 3002, 4.0), 2U);
    EXPECT_EQ(blocks_within(prefix, 1'000'000, 4.0), 3U);
}

// Guards against digests that depend on later messages or ignore earlier ones.
RC_GTEST_PROP(prompt_prefix_properties, digests_match_exactly_for_common_messages,
              (std::vector<std::string> const& common, std::string const& left,
               std::string const& right))
{
    auto const texts = [&](std::string const& last)
    {
        std::vector<std::string> out;
        out.reserve(common.size() + 1);
        for (std::string const& it : common)
            out.push_back(printable(it));
        out.push_back(printable(last));
        return out;
    };
    prompt_prefix const a = parse(body_of(texts(left)));
    prompt_prefix const b = parse(body_of(texts(right)));
    RC_ASSERT(a.digests.size() == a.block_bytes.size());
    RC_ASSERT(std::accumulate(a.block_bytes.begin(), a.block_bytes.end(), std::uint64_t{0}) ==
              a.text_bytes);
    for (std::size_t i = 0; i < common.size(); ++i)
        RC_ASSERT(a.digests[i] == b.digests[i]);
    RC_ASSERT((a.digests.back() == b.digests.back()) == (left == right));
}

// Guards against a crash or an endless loop on arbitrary bytes.
RC_GTEST_PROP(prompt_prefix_properties, arbitrary_bytes_never_crash, (std::string const& text))
{
    base::error reason;
    std::string const wrapped = R"({"messages":[{"role":"user","content":)" + text;
    RC_ASSERT(!parse_prompt_prefix(text, seed, {}, reason) || !text.empty());
    parse_prompt_prefix(wrapped, seed, {}, reason);
}

} // namespace
} // namespace savorymount::routing
