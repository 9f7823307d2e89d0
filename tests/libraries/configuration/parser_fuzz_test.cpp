#include "tests/libraries/configuration/example_documents.hpp"
#include <savorymount/base/random_source.hpp>
#include <savorymount/configuration/caller_key.hpp>
#include <savorymount/configuration/configuration_log.hpp>
#include <savorymount/configuration/credential_filter.hpp>

#include <gtest/gtest.h>

#include <tests/libraries/mutated_bytes.hpp>
#include <vector>

namespace savorymount::configuration
{
namespace
{

using tests::mutated;

constexpr std::uint64_t first_seed = 1'000;
constexpr int seeds = 20;
constexpr int cases_per_seed = 400;

nlohmann::json random_value(base::random_source& random)
{
    switch (random.uniform_below(9))
    {
    case 0:
        return nullptr;
    case 1:
        return -static_cast<std::int64_t>(random.uniform_below(10));
    case 2:
        return random.next();
    case 3:
        return 0.5;
    case 4:
        return random.uniform_below(2) == 0;
    case 5:
        return "text";
    case 6:
        return nlohmann::json::array({1, "a"});
    case 7:
        return std::string(random.uniform_below(2000), 'a');
    default:
        return nlohmann::json::object({{"a", 1}});
    }
}

/// Replaces, removes or adds one value anywhere below `value`.
void mutate_value(nlohmann::json& value, base::random_source& random)
{
    if (!value.is_structured() || value.empty() || random.uniform_below(6) == 0)
    {
        value = random_value(random);
        return;
    }
    auto it = value.begin();
    std::advance(it, static_cast<std::ptrdiff_t>(random.uniform_below(value.size())));
    if (random.uniform_below(8) == 0)
        value.erase(it);
    else if (random.uniform_below(8) == 0 && value.is_object())
        value["extra"] = random_value(random);
    else
        mutate_value(*it, random);
}

void expect_reason(base::error const& reason)
{
    EXPECT_FALSE(reason.message.empty());
    EXPECT_TRUE(reason.kind == base::error_kind::invalid_input ||
                reason.kind == base::error_kind::too_large);
}

/// Each case runs with its seed in the trace, so that a failure can be repeated.
template <class Run>
void for_each_seed(Run const& run)
{
    for (std::uint64_t seed = first_seed; seed < first_seed + seeds; ++seed)
    {
        SCOPED_TRACE("seed " + std::to_string(seed));
        base::random_source random(seed);
        for (int i = 0; i < cases_per_seed; ++i)
            run(random);
    }
}

// Guards against text from a peer or a file that ends the process, and against documents that are
// accepted but change on their way to the next peer.
TEST(parser_fuzz, damaged_text_is_refused_or_kept_as_it_is)
{
    auto const text = example::all().serialize();
    int accepted = 0;
    for_each_seed(
        [&](base::random_source& random)
        {
            base::error reason;
            auto const content = parse_documents(mutated(text, random), {}, reason);
            auto const parsed = content ? parse_configuration(1, *content, reason) : std::nullopt;
            if (!parsed)
            {
                expect_reason(reason);
                return;
            }
            ++accepted;
            auto const again = parse_documents(content->serialize(), {}, reason);
            ASSERT_TRUE(again) << reason.message;
            EXPECT_EQ(*again, *content);
            EXPECT_TRUE(parse_configuration(1, *again, reason)) << reason.message;
        });
    EXPECT_GT(accepted, 0);
}

// Guards against well-formed JSON of the wrong shape, which reaches further into the parsers.
TEST(parser_fuzz, damaged_values_are_refused_or_kept_as_they_are)
{
    int accepted = 0;
    for_each_seed(
        [&](base::random_source& random)
        {
            nlohmann::json value = example::entries();
            mutate_value(value, random);
            base::error reason;
            auto const content = parse_documents(value.dump(), {}, reason);
            auto const parsed = content ? parse_configuration(1, *content, reason) : std::nullopt;
            if (!parsed)
                expect_reason(reason);
            else
                ++accepted;
        });
    EXPECT_GT(accepted, 0);
}

// Guards against a record in the log that ends every instance that reads it.
TEST(parser_fuzz, damaged_records_leave_the_fold_consistent)
{
    auto const change = to_json(change_record{0, "mieke", 1000, example::entries()});
    auto const snapshot = to_json(snapshot_record{3, 4, example::all()});
    for_each_seed(
        [&](base::random_source& random)
        {
            configuration_log reader;
            if (random.uniform_below(2) == 0)
                reader.skip_to(5);
            for (int i = 0; i < 3; ++i)
            {
                auto body = random.uniform_below(2) == 0 ? change : snapshot;
                if (body.contains("base"))
                    body["base"] = reader.version();
                mutate_value(body, random);
                auto const before = reader.version();
                auto const result =
                    reader.apply(reader.next_offset(), "r" + std::to_string(i), body);
                EXPECT_GE(reader.version(), before);
                EXPECT_NE(result, (verdict{verdict_kind::rejected, ""}));
            }
            base::error reason;
            EXPECT_TRUE(parse_configuration(reader.version(), reader.content(), reason))
                << reason.message;
        });
}

// Guards against a request head that ends the entry, or whose second filtering differs: an upstream
// behind two entries would see other headers than one behind a single entry.
TEST(parser_fuzz, damaged_request_heads_are_filtered_the_same_twice)
{
    std::string const key = "sm_k1a2b3c4_0123456789abcdef";
    for_each_seed(
        [&](base::random_source& random)
        {
            std::vector<header> const headers{
                {mutated("Cookie", random), mutated("a=1; key=" + key, random)},
                {"Cookie", mutated("a=1; key=" + key + "; b=\"2\"", random)},
                {"Authorization", mutated("Bearer " + key, random)}};
            base::error reason;
            auto const once = filter_credentials(
                headers, mutated("/bookings?a=1&key=" + key + "#x", random), reason);
            if (!once)
            {
                expect_reason(reason);
                return;
            }
            auto const twice = filter_credentials(once->headers, once->target, reason);
            ASSERT_TRUE(twice) << reason.message;
            EXPECT_EQ(twice->headers, once->headers);
            EXPECT_EQ(twice->target, once->target);
            EXPECT_FALSE(twice->presented_key);
        });
}

} // namespace
} // namespace savorymount::configuration
