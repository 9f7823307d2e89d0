#include <savorymount/runtime/chunked_body_check.hpp>
#include <savorymount/runtime/response_rules.hpp>

#include <algorithm>
#include <charconv>

namespace savorymount::runtime
{
namespace
{

constexpr int hexadecimal = 16;
// A size and its extensions. The reader of messages bounds trailers, as it does heads.
constexpr std::size_t max_size_line_bytes = std::size_t{4} * 1024;

} // namespace

std::string chunked_body_check::feed(std::string_view bytes)
{
    while (part_ != part::finished && !bytes.empty())
    {
        if (part_ == part::data)
        {
            auto const n = std::min<std::uint64_t>(data_left_, bytes.size());
            bytes.remove_prefix(static_cast<std::size_t>(n));
            data_left_ -= n;
            part_ = data_left_ == 0 ? part::data_end : part::data;
            continue;
        }
        bool const is_whole = take_line(bytes);
        if (part_ != part::trailer && line_.size() > max_size_line_bytes)
            return "a line of its chunks is too long";
        if (!is_whole)
            return {};
        if (auto fault = check_line(); !fault.empty())
            return fault;
        line_.clear();
    }
    return {};
}

bool chunked_body_check::take_line(std::string_view& bytes)
{
    auto const end = bytes.find('\n');
    line_.append(bytes.substr(0, end));
    bytes.remove_prefix(end == std::string_view::npos ? bytes.size() : end + 1);
    return end != std::string_view::npos;
}

std::string chunked_body_check::check_line()
{
    if (!line_.ends_with('\r'))
        return "a line of its chunks does not end with CR and LF";
    line_.pop_back();
    switch (part_)
    {
    case part::size_line:
        return check_size_line();
    case part::data_end:
        part_ = part::size_line;
        return line_.empty() ? std::string() : "a chunk is longer than its size";
    default:
        break;
    }
    if (line_.empty())
        part_ = part::finished;
    return line_.empty() || is_field_line(line_) ? std::string() : "a trailer is no field";
}

std::string chunked_body_check::check_size_line()
{
    auto const* const end_of_line = line_.data() + line_.size();
    auto const [end, ec] = std::from_chars(line_.data(), end_of_line, data_left_, hexadecimal);
    bool const has_size = ec == std::errc() && line_.front() != '-';
    bool const ends_there = end == end_of_line || *end == ';' || *end == ' ' || *end == '\t';
    if (!has_size || !ends_there || !is_field_value(line_))
        return "the size of a chunk can't be read";
    part_ = data_left_ == 0 ? part::trailer : part::data;
    return {};
}

} // namespace savorymount::runtime
