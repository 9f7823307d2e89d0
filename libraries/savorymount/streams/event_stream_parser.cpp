#include <savorymount/streams/event_stream_parser.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace savorymount::streams
{
namespace
{

constexpr std::string_view byte_order_mark = "\xEF\xBB\xBF";

} // namespace

bool event_stream_parser::feed(std::string_view bytes, std::vector<stream_event>& events,
                               base::error& reason)
{
    while (!bytes.empty() && !error_)
    {
        // A carriage return ends a line. A line feed that follows it is part of the same line end
        // and may arrive with the next call.
        if (std::exchange(skip_line_feed_, false) && bytes.front() == '\n')
        {
            bytes.remove_prefix(1);
            continue;
        }
        auto const length = bytes.find_first_of("\r\n");
        if (!append_line_part(bytes.substr(0, length)) || length == std::string_view::npos)
            break;
        skip_line_feed_ = bytes[length] == '\r';
        bytes.remove_prefix(length + 1);
        handle_line_end(events);
    }
    if (!error_)
        return true;
    reason = *error_;
    return false;
}

bool event_stream_parser::finish(base::error& reason) const
{
    if (error_)
    {
        reason = *error_;
        return false;
    }
    if (line_.empty() && !has_field_)
        return true;
    reason = {base::error_kind::invalid_input,
              "the event stream ended within an event; resume it after the last complete event"};
    return false;
}

bool event_stream_parser::append_line_part(std::string_view part)
{
    auto const remaining_event_bytes =
        limits_.event_bytes - std::min(raw_lines_.size(), limits_.event_bytes);
    auto const size = line_.size() + part.size();
    if (limits_.line_bytes <= remaining_event_bytes && size > limits_.line_bytes)
        return fail(base::error_kind::too_large,
                    "a line of the event stream is longer than " +
                        std::to_string(limits_.line_bytes) +
                        " bytes; check that the upstream sends an event stream");
    if (size > remaining_event_bytes)
        return fail(base::error_kind::too_large,
                    "an event of the stream is larger than " + std::to_string(limits_.event_bytes) +
                        " bytes; check that the upstream ends its events with an empty line");
    line_ += part;
    return true;
}

void event_stream_parser::handle_line_end(std::vector<stream_event>& events)
{
    if (std::exchange(first_line_, false) && line_.starts_with(byte_order_mark))
        line_.erase(0, byte_order_mark.size());
    if (line_.empty())
    {
        handle_event_end(events);
        return;
    }
    std::string_view const line = line_;
    auto const colon = line.find(':');
    if (colon != 0)
    {
        auto value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
        if (value.starts_with(' '))
            value.remove_prefix(1);
        if (!handle_field(line.substr(0, colon), value))
            return;
    }
    raw_lines_ += line_;
    raw_lines_ += '\n';
    line_.clear();
}

bool event_stream_parser::handle_field(std::string_view name, std::string_view value)
{
    has_field_ = true;
    if (name == "id")
        return handle_id(value);
    if (name != "data")
        return true;
    if (has_data_)
        event_.data += '\n';
    event_.data += value;
    has_data_ = true;
    return true;
}

bool event_stream_parser::handle_id(std::string_view value)
{
    std::uint64_t index = 0;
    auto const end = value.data() + value.size();
    auto const [it, ec] = std::from_chars(value.data(), end, index);
    if (ec != std::errc() || it != end || index == UINT64_MAX)
        return fail(base::error_kind::invalid_input,
                    "an event id is not a token index; the upstream must number its tokens");
    if (event_.id)
        return fail(base::error_kind::invalid_input,
                    "an event has two ids; the upstream must send one token per event");
    event_.id = index;
    return true;
}

void event_stream_parser::handle_event_end(std::vector<stream_event>& events)
{
    if (has_data_)
    {
        event_.raw = raw_lines_ + '\n';
        event_.position = event_.id.value_or(position_);
        position_ = event_.id ? *event_.id + 1 : position_;
        events.push_back(std::move(event_));
    }
    event_ = {};
    raw_lines_.clear();
    has_data_ = false;
    has_field_ = false;
}

bool event_stream_parser::fail(base::error_kind kind, std::string message)
{
    error_ = base::error{kind, std::move(message)};
    line_.clear();
    raw_lines_.clear();
    return false;
}

} // namespace savorymount::streams
