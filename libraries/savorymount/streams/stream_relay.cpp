#include <savorymount/streams/stream_relay.hpp>

#include <nlohmann/json.hpp>

namespace savorymount::streams
{
namespace
{

constexpr std::string_view end_marker = "[DONE]";

bool fail(base::error& reason, base::error_kind kind, std::string message)
{
    reason = {kind, std::move(message)};
    return false;
}

bool is_error_event(stream_event const& event)
{
    if (event.data.find("\"error\"") == std::string::npos)
        return false;
    auto const document = nlohmann::json::parse(event.data, nullptr, false);
    return document.is_object() && document.contains("error");
}

} // namespace

bool stream_relay::forward(stream_event const& event, std::string& output, base::error& reason)
{
    if (aborted_)
        return fail(reason, base::error_kind::conflict,
                    "the stream was already aborted; close this source");
    if (is_duplicate(event))
        return true;
    // The end marker needs no position check: after the usage it ends the response of any source.
    if (event.data != end_marker && event.position != position_)
        return fail(reason, base::error_kind::invalid_input,
                    "an event for position " + std::to_string(event.position) +
                        " arrived at position " + std::to_string(position_) +
                        "; resume the stream from there");
    bool const accepted = event.data == end_marker ? forward_end(reason)
                          : event.id               ? forward_token(event, reason)
                                                   : forward_usage(event, reason);
    if (accepted)
        output += event.raw;
    return accepted;
}

bool stream_relay::is_duplicate(stream_event const& event) const
{
    if (event.data == end_marker)
        return complete_;
    if (event.id && *event.id < position_)
        return true;
    // A source that resumes at the end of the response repeats the usage at its own position.
    base::error ignored;
    return usage_ && parse_event_usage(event.data, ignored);
}

bool stream_relay::forward_token(stream_event const& event, base::error& reason)
{
    if (usage_)
        return fail(reason, base::error_kind::invalid_input,
                    "a token follows the usage; the upstream must send the usage last");
    usage_ = parse_event_usage(event.data, reason);
    if (!usage_ && reason.kind != base::error_kind::not_found)
        return false;
    ++position_;
    return true;
}

bool stream_relay::forward_usage(stream_event const& event, base::error& reason)
{
    if (is_error_event(event))
        return fail(reason, base::error_kind::unavailable,
                    "the upstream ended the stream with an error; resume it at another upstream");
    auto const usage = parse_event_usage(event.data, reason);
    if (usage)
    {
        usage_ = usage;
        return true;
    }
    return fail(reason, base::error_kind::invalid_input,
                "an event has neither a token index nor a valid usage; the upstream must number "
                "its tokens");
}

bool stream_relay::forward_end(base::error& reason)
{
    if (!usage_)
        return fail(reason, base::error_kind::invalid_input,
                    "the stream ended before its usage; resume it from token " +
                        std::to_string(position_));
    complete_ = true;
    return true;
}

std::string stream_relay::abort(base::error const& cause)
{
    if (complete_ || aborted_)
        return {};
    aborted_ = true;
    auto const kind = base::to_string(cause.kind);
    nlohmann::ordered_json const body = {{"error",
                                          {{"type", kind},
                                           {"code", kind},
                                           {"message", cause.message},
                                           {"execution", position_ > 0 ? "partial" : "unknown"}}}};
    // Invalid UTF-8 in the message is replaced, because the event must be valid JSON.
    return "event: error\ndata: " +
           body.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace) + "\n\n";
}

} // namespace savorymount::streams
