#include <savorymount/streams/event_stream_parser.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <random>
#include <tests/libraries/seeded_property.hpp>

namespace savorymount::streams
{
namespace
{

struct parse_result
{
    std::vector<stream_event> events;
    bool accepted = true;
    bool finished = true;
    base::error reason;

    bool operator==(parse_result const&) const = default;
};

parse_result parse(std::vector<std::string> const& parts, event_stream_limits limits = {})
{
    parse_result out;
    event_stream_parser parser(limits);
    for (auto const& it : parts)
        out.accepted = parser.feed(it, out.events, out.reason) && out.accepted;
    out.finished = parser.finish(out.reason);
    return out;
}

std::vector<std::string> split_into_bytes(std::string const& text)
{
    std::vector<std::string> out;
    for (char const it : text)
        out.emplace_back(1, it);
    return out;
}

std::string const sample = "\xEF\xBB\xBF: hello\nid: 0\ndata: {\"a\":1}\n\nid:1\r\nevent: x\r\n"
                           "data:two\r\ndata: lines\r\n\r\n: ping\n\ndata: [DONE]\r\r";

std::vector<stream_event> const sample_events{
    {0, "{\"a\":1}", ": hello\nid: 0\ndata: {\"a\":1}\n\n"},
    {1, "two\nlines", "id:1\nevent: x\ndata:two\ndata: lines\n\n", 1},
    {std::nullopt, "[DONE]", "data: [DONE]\n\n", 2}};

// Guards against events that are lost, merged or changed when a read ends within them.
TEST(event_stream_parser, split_at_every_byte_gives_the_same_events)
{
    for (std::size_t offset = 0; offset <= sample.size(); ++offset)
    {
        auto const result = parse({sample.substr(0, offset), sample.substr(offset)});
        EXPECT_TRUE(result.accepted && result.finished) << offset;
        EXPECT_EQ(result.events, sample_events) << offset;
    }
    EXPECT_EQ(parse(split_into_bytes(sample)).events, sample_events);
}

// Guards against a truncated event that is parsed as complete, and against a truncation that is not
// reported.
TEST(event_stream_parser, truncation_is_detected_at_every_byte_within_an_event)
{
    std::string const text = "id: 0\ndata: a\n\nid: 1\ndata: b\n\n";
    std::size_t const event_size = text.size() / 2;
    for (std::size_t size = 0; size <= text.size(); ++size)
    {
        auto const result = parse({text.substr(0, size)});
        EXPECT_TRUE(result.accepted);
        EXPECT_EQ(result.finished, size % event_size == 0) << size;
        EXPECT_EQ(result.events.size(), size / event_size) << size;
    }
}

// Guards against unbounded memory use when an upstream never ends a line or an event.
TEST(event_stream_parser, limits_the_size_of_lines_and_events)
{
    event_stream_limits const limits{32, 64};
    event_stream_parser line_parser(limits);
    std::vector<stream_event> events;
    base::error reason;
    EXPECT_TRUE(line_parser.feed(std::string(32, 'x'), events, reason));
    EXPECT_FALSE(line_parser.feed("x", events, reason));
    EXPECT_EQ(reason.kind, base::error_kind::too_large);
    EXPECT_EQ(line_parser.pending_bytes(), 0U);
    EXPECT_FALSE(line_parser.feed("\n\ndata: late\n\n", events, reason));

    event_stream_parser event_parser(limits);
    bool accepted = true;
    for (int n = 0; n < 40 && accepted; ++n)
    {
        accepted = event_parser.feed("data:\n", events, reason);
        EXPECT_LE(event_parser.pending_bytes(), limits.event_bytes + 1);
    }
    EXPECT_FALSE(accepted);
    EXPECT_EQ(reason.kind, base::error_kind::too_large);
    EXPECT_TRUE(events.empty());
}

// Guards against a position that is derived from a malformed id.
TEST(event_stream_parser, rejects_ids_that_are_not_token_indexes)
{
    for (std::string const id : {"", "-1", "+1", "1x", "0x1", " 1", "1 ", "18446744073709551615",
                                 "18446744073709551616", "1\nid: 1"})
    {
        auto const result = parse({"data: first\n\nid: " + id + "\ndata: second\n\n"});
        EXPECT_FALSE(result.accepted) << id;
        EXPECT_EQ(result.reason.kind, base::error_kind::invalid_input) << id;
        EXPECT_EQ(result.events.size(), 1U) << id;
    }
    auto const largest = parse({"id: 18446744073709551614\ndata: x\n\n"});
    ASSERT_EQ(largest.events.size(), 1U);
    EXPECT_EQ(largest.events[0].id, UINT64_MAX - 1);
}

// Guards against a usage or end event that gets a wrong position.
TEST(event_stream_parser, events_without_an_id_continue_the_position)
{
    event_stream_parser parser({}, 7);
    std::vector<stream_event> events;
    base::error reason;
    EXPECT_TRUE(parser.feed("data: a\n\nid: 9\ndata: b\n\ndata: c\n\n", events, reason));
    ASSERT_EQ(events.size(), 3U);
    EXPECT_EQ(events[0].position, 7U);
    EXPECT_EQ(events[1].position, 9U);
    EXPECT_EQ(events[2].position, 10U);
}

// Guards against crashes, unbounded memory use and results that depend on the split of malicious
// input: valid streams with bytes replaced, removed and inserted.
TEST(event_stream_parser, mutated_streams_give_the_same_result_for_any_split)
{
    event_stream_limits const limits{48, 96};
    std::string const alphabet = "\r\n\n:id data\xEF\xBB\xBF{}0123456789xyz" + std::string(1, 0);
    std::mt19937_64 engine(tests::property_seed(20261204));
    auto const random_below = [&engine](std::size_t bound)
    {
        return engine() % bound;
    };
    int rejected_streams = 0;
    for (int iteration = 0; iteration < 20'000; ++iteration)
    {
        std::string text = sample + sample;
        for (std::size_t n = random_below(6); n > 0; --n)
        {
            std::size_t const offset = random_below(text.size());
            std::string const replacement(random_below(4) == 0 ? random_below(60) : random_below(3),
                                          alphabet[random_below(alphabet.size())]);
            text.replace(offset, random_below(3), replacement);
        }
        std::vector<std::string> parts;
        for (std::size_t offset = 0; offset < text.size();)
        {
            std::size_t const size = 1 + random_below(20);
            parts.push_back(text.substr(offset, size));
            offset += size;
        }
        auto const unsplit = parse({text}, limits);
        EXPECT_EQ(parse(parts, limits), unsplit) << testing::PrintToString(text);
        rejected_streams += unsplit.accepted ? 0 : 1;
    }
    // Both accepted and rejected streams have to occur often, or one of them would not be tested.
    EXPECT_GT(rejected_streams, 2'000);
    EXPECT_LT(rejected_streams, 18'000);
}

// Guards against lost or changed data in events with arbitrary content and split.
TEST(event_stream_parser, generated_events_are_parsed_unchanged)
{
    tests::check_property(
        300,
        []
        {
            auto const line = rc::gen::container<std::string>(rc::gen::suchThat(
                rc::gen::character<char>(), [](char it) { return it != '\n' && it != '\r'; }));
            std::string text;
            std::vector<stream_event> expected;
            for (auto const& data : *rc::gen::container<std::vector<std::vector<std::string>>>(
                     rc::gen::nonEmpty(rc::gen::container<std::vector<std::string>>(line))))
            {
                stream_event event;
                event.id = expected.size();
                event.position = expected.size();
                event.raw = "id: " + std::to_string(expected.size()) + "\n";
                for (std::size_t n = 0; n < data.size(); ++n)
                {
                    event.data += (n > 0 ? "\n" : "") + data[n];
                    event.raw += "data: " + data[n] + "\n";
                }
                event.raw += "\n";
                text += event.raw;
                expected.push_back(event);
            }
            auto const offset = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
            auto const result = parse({text.substr(0, offset), text.substr(offset)});
            RC_ASSERT(result.accepted && result.finished);
            RC_ASSERT(result.events == expected);
        });
}

} // namespace
} // namespace savorymount::streams
