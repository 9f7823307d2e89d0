#include <savorymount/streams/event_splitter.hpp>

#include <charconv>
#include <utility>

namespace savorymount::streams
{
namespace
{

std::optional<std::uint64_t> parse_id(std::string_view line)
{
    constexpr std::string_view field = "id:";
    if (!line.starts_with(field))
        return std::nullopt;
    line.remove_prefix(field.size());
    if (line.starts_with(' '))
        line.remove_prefix(1);
    std::uint64_t value = 0;
    auto const* const end = line.data() + line.size();
    auto const [it, ec] = std::from_chars(line.data(), end, value);
    if (ec != std::errc() || it != end)
        return std::nullopt;
    return value;
}

} // namespace

void event_splitter::feed(std::string_view bytes, std::vector<raw_event>& events)
{
    pending_ += bytes;
    while (scan_position_ < pending_.size())
    {
        if (pending_[scan_position_++] == '\n')
            handle_line_end(events);
    }
}

void event_splitter::handle_line_end(std::vector<raw_event>& events)
{
    std::string_view line(pending_.data() + line_start_, scan_position_ - line_start_ - 1);
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    line_start_ = scan_position_;
    if (!line.empty())
    {
        if (auto const id = parse_id(line))
            id_ = id;
        return;
    }
    events.push_back({pending_.substr(0, scan_position_), std::exchange(id_, std::nullopt)});
    pending_.erase(0, scan_position_);
    scan_position_ = 0;
    line_start_ = 0;
}

} // namespace savorymount::streams
