#include <savorymount/streams/event_stream_parser.hpp>
#include <savorymount/streams/replay_buffer.hpp>
#include <savorymount/streams/stream_relay.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <tests/libraries/seeded_property.hpp>

namespace savorymount::streams
{
namespace
{

stream_event token_event(std::uint64_t index)
{
    std::string const data = "{\"t\":\"t" + std::to_string(index) + "\"}";
    return {index, data, "id: " + std::to_string(index) + "\ndata: " + data + "\n\n", index};
}

stream_event usage_event(std::uint64_t tokens)
{
    std::string const data =
        "{\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":" + std::to_string(tokens) + "}}";
    return {std::nullopt, data, "data: " + data + "\n\n", tokens};
}

stream_event end_event(std::uint64_t tokens)
{
    return {std::nullopt, "[DONE]", "data: [DONE]\n\n", tokens};
}

std::vector<stream_event> response_events(std::uint64_t tokens)
{
    std::vector<stream_event> out;
    for (std::uint64_t n = 0; n < tokens; ++n)
        out.push_back(token_event(n));
    out.push_back(usage_event(tokens));
    out.push_back(end_event(tokens));
    return out;
}

std::string raw_bytes(std::vector<stream_event> const& events)
{
    std::string out;
    for (auto const& it : events)
        out += it.raw;
    return out;
}

// Guards against a stream that is treated as complete without its usage or end event.
TEST(stream_relay, is_complete_only_after_usage_and_end)
{
    stream_relay relay;
    std::string output;
    base::error reason;
    EXPECT_TRUE(relay.forward(token_event(0), output, reason));
    EXPECT_FALSE(relay.forward(end_event(1), output, reason));
    EXPECT_EQ(reason.kind, base::error_kind::invalid_input);
    EXPECT_FALSE(relay.complete());
    EXPECT_TRUE(relay.forward(usage_event(1), output, reason));
    EXPECT_FALSE(relay.complete());
    EXPECT_FALSE(relay.forward(token_event(1), output, reason));
    EXPECT_TRUE(relay.forward(end_event(1), output, reason));
    EXPECT_TRUE(relay.complete());
    EXPECT_EQ(relay.usage(), (chat_usage{9, 1, 0}));
    EXPECT_EQ(output, raw_bytes(response_events(1)));
    EXPECT_EQ(relay.abort({base::error_kind::internal, "late"}), "");
}

// Guards against duplicate tokens, usage or end events after a resume.
TEST(stream_relay, drops_duplicates_of_another_source)
{
    stream_relay relay;
    std::string output;
    base::error reason;
    for (int source = 0; source < 3; ++source)
        for (auto const& it : response_events(4))
            EXPECT_TRUE(relay.forward(it, output, reason));
    EXPECT_EQ(output, raw_bytes(response_events(4)));
}

// Guards against a forwarded response with missing tokens.
TEST(stream_relay, rejects_a_gap_and_continues_from_its_position)
{
    stream_relay relay;
    std::string output;
    base::error reason;
    EXPECT_TRUE(relay.forward(token_event(0), output, reason));
    EXPECT_FALSE(relay.forward(token_event(2), output, reason));
    EXPECT_EQ(reason.message,
              "an event for position 2 arrived at position 1; resume the stream from there");
    EXPECT_FALSE(relay.forward(usage_event(2), output, reason));
    EXPECT_FALSE(relay.forward(usage_event(0), output, reason));
    EXPECT_EQ(relay.position(), 1U);
    EXPECT_TRUE(relay.forward(token_event(1), output, reason));
    EXPECT_EQ(output, token_event(0).raw + token_event(1).raw);
}

// Guards against events that could be duplicated by a resume, and against forwarding an engine's
// error event as a token.
TEST(stream_relay, rejects_events_without_a_position)
{
    stream_relay relay;
    std::string output;
    base::error reason;
    EXPECT_FALSE(relay.forward({std::nullopt, "{\"choices\":[]}", "x"}, output, reason));
    EXPECT_EQ(reason.kind, base::error_kind::invalid_input);
    EXPECT_FALSE(relay.forward({std::nullopt, "not json", "x"}, output, reason));
    EXPECT_EQ(reason.kind, base::error_kind::invalid_input);
    EXPECT_FALSE(relay.forward({std::nullopt, "{\"error\":{}}", "x"}, output, reason));
    EXPECT_EQ(reason.kind, base::error_kind::unavailable);
    EXPECT_FALSE(relay.forward({0, "{\"usage\":{\"prompt_tokens\":-1}}", "x"}, output, reason));
    EXPECT_EQ(output, "");
    EXPECT_EQ(relay.position(), 0U);
}

// Guards against ignoring a usage that is sent with the last token.
TEST(stream_relay, accepts_the_usage_in_a_token_event)
{
    stream_relay relay;
    std::string output;
    base::error reason;
    std::string const data = "{\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":1}}";
    EXPECT_TRUE(relay.forward({0, data, "x"}, output, reason));
    EXPECT_EQ(relay.usage(), (chat_usage{1, 1, 0}));
    EXPECT_EQ(relay.position(), 1U);
    EXPECT_TRUE(relay.forward(end_event(1), output, reason));
}

// Guards against an error at the end of a complete response: the source disconnects between the
// usage and the end marker, and the engine that resumes gives the usage a new id.
TEST(stream_relay, a_usage_with_an_id_is_forwarded_once_after_a_resume)
{
    stream_relay relay;
    std::string output;
    base::error reason;
    auto const usage_event_with_id = [](std::uint64_t index)
    {
        auto out = usage_event(1);
        out.id = index;
        out.position = index;
        return out;
    };
    EXPECT_TRUE(relay.forward(token_event(0), output, reason));
    EXPECT_TRUE(relay.forward(usage_event_with_id(1), output, reason));
    EXPECT_EQ(relay.position(), 2U);
    EXPECT_TRUE(relay.forward(usage_event_with_id(2), output, reason));
    EXPECT_TRUE(relay.forward(end_event(3), output, reason));
    EXPECT_TRUE(relay.complete());
    EXPECT_EQ(output, raw_bytes(response_events(1)));
}

// Guards against an aborted stream that looks to a client like a normal end.
TEST(stream_relay, the_abort_event_reports_the_execution_state)
{
    stream_relay relay;
    EXPECT_EQ(stream_relay(relay).abort({base::error_kind::unavailable, "no engine \xff left"}),
              "event: error\ndata: {\"error\":{\"type\":\"unavailable\",\"code\":\"unavailable\","
              "\"message\":\"no engine \xEF\xBF\xBD left\",\"execution\":\"unknown\"}}\n\n");
    std::string output;
    base::error reason;
    EXPECT_TRUE(relay.forward(token_event(0), output, reason));
    auto const event = relay.abort({base::error_kind::crashed, "gone\n\ndata: [DONE]"});
    EXPECT_EQ(event, "event: error\ndata: {\"error\":{\"type\":\"crashed\",\"code\":\"crashed\","
                     "\"message\":\"gone\\n\\ndata: [DONE]\",\"execution\":\"partial\"}}\n\n");
    EXPECT_TRUE(relay.aborted());
    EXPECT_FALSE(relay.forward(token_event(1), output, reason));
    EXPECT_EQ(reason.kind, base::error_kind::conflict);
    EXPECT_EQ(relay.abort({base::error_kind::internal, ""}), "");
    EXPECT_EQ(output, token_event(0).raw);
}

/// A connection or upstream that sends part of the response.
struct source
{
    std::size_t next = 0;
    std::size_t end = 0;
};

// Guards against duplicate, missing or reordered events when several sources send parts of one
// response concurrently, some of them late, truncated or starting after the position.
TEST(stream_relay, overlapping_and_late_sources_give_each_event_once_and_in_order)
{
    tests::check_property(
        1'000,
        []
        {
            auto const tokens = *rc::gen::inRange<std::uint64_t>(0, 20);
            auto const events = response_events(tokens);
            auto const complete_output = raw_bytes(events);
            stream_relay relay;
            std::string output;
            base::error reason;
            std::vector<source> sources;
            auto const steps = *rc::gen::inRange(0, 120);
            for (int n = 0; n < steps; ++n)
            {
                if (sources.empty() || *rc::gen::inRange(0, 8) == 0)
                {
                    auto const start = *rc::gen::inRange<std::size_t>(0, events.size());
                    sources.push_back(
                        {start, *rc::gen::inRange<std::size_t>(start, events.size() + 1)});
                }
                auto& it = sources[*rc::gen::inRange<std::size_t>(0, sources.size())];
                if (it.next == it.end)
                    continue;
                auto const before = output.size();
                if (!relay.forward(events[it.next], output, reason))
                {
                    RC_ASSERT(output.size() == before);
                    it.next = it.end;
                    continue;
                }
                ++it.next;
                RC_ASSERT(complete_output.starts_with(output));
            }
            RC_ASSERT(relay.complete() == (output == complete_output));
            for (auto const& it : events)
                RC_ASSERT(relay.forward(it, output, reason));
            RC_ASSERT(output == complete_output);
        });
}

// Guards against events lost between the agent's replay buffer and the relay when connections fail
// at any byte and chunks contain any number of events.
TEST(stream_relay, a_response_is_completed_over_new_connections)
{
    tests::check_property(
        500,
        []
        {
            auto const tokens = *rc::gen::inRange<std::uint64_t>(1, 30);
            auto const events = response_events(tokens);
            auto const capacity = *rc::gen::inRange<std::size_t>(1, 2'000);
            replay_buffer buffer(capacity);
            base::error reason;
            for (std::size_t index = 0; index < events.size();)
            {
                replay_chunk chunk{std::min<std::uint64_t>(index, tokens), 0, ""};
                auto const count = *rc::gen::inRange<std::size_t>(1, 4);
                for (std::size_t n = 0; n < count && index < events.size(); ++n)
                    chunk.bytes += events[index++].raw;
                chunk.end = std::min<std::uint64_t>(index, tokens);
                chunk.ends_with_token = index <= tokens;
                RC_ASSERT(buffer.append(chunk, reason));
            }
            stream_relay relay;
            std::string output;
            // The first events were received over an earlier connection.
            auto const forwarded_count = *rc::gen::inRange<std::size_t>(0, events.size());
            for (std::size_t n = 0; n < forwarded_count; ++n)
                RC_ASSERT(relay.forward(events[n], output, reason));
            for (int connection = 0; connection < 40 && !relay.complete(); ++connection)
            {
                auto const chunks = buffer.chunks_from(relay.position(), reason);
                if (!chunks)
                {
                    RC_ASSERT(reason.kind == base::error_kind::not_found);
                    RC_ASSERT(raw_bytes(events).starts_with(output));
                    return;
                }
                std::string bytes;
                for (auto const& it : *chunks)
                    bytes += it.bytes;
                bool const interrupted = connection < 30;
                auto const received = interrupted
                                          ? *rc::gen::inRange<std::size_t>(0, bytes.size() + 1)
                                          : bytes.size();
                event_stream_parser parser({}, chunks->empty() ? 0 : chunks->front().position);
                std::vector<stream_event> parsed;
                RC_ASSERT(parser.feed(bytes.substr(0, received), parsed, reason));
                for (auto const& it : parsed)
                    RC_ASSERT(relay.forward(it, output, reason));
            }
            RC_ASSERT(relay.complete());
            RC_ASSERT(output == raw_bytes(events));
        });
}

} // namespace
} // namespace savorymount::streams
