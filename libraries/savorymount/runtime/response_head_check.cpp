#include <savorymount/runtime/response_head_check.hpp>
#include <savorymount/runtime/response_rules.hpp>

#include <charconv>
#include <utility>

namespace savorymount::runtime
{
namespace
{

constexpr std::size_t version_length = std::string_view("HTTP/1.1 ").size();
constexpr std::size_t status_digits = 3;

bool is_blank(char it)
{
    return it == ' ' || it == '\t';
}

} // namespace

std::size_t response_head_check::feed(std::string_view bytes, std::string& fault)
{
    std::size_t n = 0;
    while (!finished_ && n < bytes.size())
    {
        auto const end = bytes.find('\n', n);
        line_.append(bytes.substr(n, end - n));
        if (end == std::string_view::npos)
            return bytes.size();
        n = end + 1;
        if (line_.ends_with('\r'))
            line_.pop_back();
        fault = check_line(line_);
        if (!fault.empty())
            return n;
        line_.clear();
    }
    return n;
}

void response_head_check::reset()
{
    std::exchange(line_, {});
    in_status_line_ = true;
    interim_ = false;
    finished_ = false;
}

std::string response_head_check::check_line(std::string_view line)
{
    if (in_status_line_)
        return check_status_line(line);
    if (line.empty())
    {
        finished_ = !interim_;
        in_status_line_ = true;
        return {};
    }
    // NOTE: A folded line can't be told from a field whose name begins with a blank.
    if (is_blank(line.front()))
        return "a line of the head begins with a blank";
    return is_field_line(line) ? std::string() : "a line of the head is no header field";
}

std::string response_head_check::check_status_line(std::string_view line)
{
    in_status_line_ = false;
    bool const is_known_version = line.starts_with("HTTP/1.1 ") || line.starts_with("HTTP/1.0 ");
    if (!is_known_version)
        return "it does not begin with the status line of an HTTP/1.1 response";
    line.remove_prefix(version_length);
    auto const digits = line.substr(0, status_digits);
    int status = 0;
    auto const [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), status);
    bool const is_number =
        ec == std::errc() && end == digits.data() + status_digits && line.front() != '-';
    bool const ends_there = line.size() <= status_digits || line[status_digits] == ' ';
    interim_ = is_interim_status(status);
    if (!is_number || !ends_there || !(interim_ || is_final_status(status)))
        return "its status is none of a response";
    return is_field_value(line) ? std::string() : "its status line has a control byte";
}

} // namespace savorymount::runtime
