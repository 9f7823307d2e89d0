#include "utilities/savorymountctl/log_file.hpp"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <filesystem>
#include <fstream>

namespace savorymount::control
{
namespace
{

std::optional<std::chrono::system_clock::time_point> parse_time(std::string const& text)
{
    std::tm parts{};
    int milliseconds = 0;
    int const read =
        std::sscanf(text.c_str(), "%d-%d-%dT%d:%d:%d.%d", &parts.tm_year, &parts.tm_mon,
                    &parts.tm_mday, &parts.tm_hour, &parts.tm_min, &parts.tm_sec, &milliseconds);
    if (read != 7)
        return std::nullopt;
    parts.tm_year -= 1900;
    parts.tm_mon -= 1;
    return std::chrono::system_clock::from_time_t(timegm(&parts)) +
           std::chrono::milliseconds(milliseconds);
}

/// Takes one `key=value` from the front of `text`, whose value may be quoted.
std::optional<line_field> take_field(std::string_view& text)
{
    text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
    auto const equals = text.find('=');
    if (equals == std::string_view::npos)
        return std::nullopt;
    line_field out{std::string(text.substr(0, equals)), ""};
    text.remove_prefix(equals + 1);
    if (!text.starts_with('"'))
    {
        auto const end = std::min(text.find(' '), text.size());
        out.value = text.substr(0, end);
        text.remove_prefix(end);
        return out;
    }
    std::size_t i = 1;
    while (i < text.size() && text[i] != '"')
    {
        if (text[i] == '\\' && i + 1 < text.size())
            ++i;
        out.value += text[i++];
    }
    text.remove_prefix(std::min(i + 1, text.size()));
    return out;
}

} // namespace

std::string_view logged_line::value(std::string_view key) const
{
    for (auto const& it : fields)
    {
        if (it.key == key)
            return it.value;
    }
    return {};
}

std::optional<logged_line> parse_log_line(std::string_view text, std::string const& file)
{
    auto const start = text.find("time=");
    if (start == std::string_view::npos)
        return std::nullopt;
    text.remove_prefix(start);
    logged_line out;
    out.file = file;
    while (auto field = take_field(text))
    {
        if (!out.name.empty())
            out.fields.push_back(std::move(*field));
        else if (field->key == "time")
            out.time_text = field->value;
        else if (field->key == "name")
            out.name = field->value;
    }
    auto const time = parse_time(out.time_text);
    if (!time || out.name.empty())
        return std::nullopt;
    out.time = *time;
    return out;
}

std::optional<std::vector<logged_line>> read_log_file(std::string const& path, base::error& reason)
{
    std::ifstream in(path);
    if (!in)
    {
        reason = {base::error_kind::not_found,
                  "the log " + path + " can't be read; check its path"};
        return std::nullopt;
    }
    auto const name = std::filesystem::path(path).filename().string();
    std::vector<logged_line> out;
    for (std::string text; std::getline(in, text);)
    {
        if (auto line = parse_log_line(text, name))
            out.push_back(std::move(*line));
    }
    return out;
}

} // namespace savorymount::control
