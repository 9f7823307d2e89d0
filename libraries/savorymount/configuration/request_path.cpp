#include <savorymount/configuration/request_path.hpp>

#include <algorithm>

namespace savorymount::configuration
{
namespace
{

int hex_value(char digit)
{
    if (digit >= '0' && digit <= '9')
        return digit - '0';
    if (digit >= 'a' && digit <= 'f')
        return digit - 'a' + 10;
    if (digit >= 'A' && digit <= 'F')
        return digit - 'A' + 10;
    return -1;
}

bool is_control(char it)
{
    auto const byte = static_cast<unsigned char>(it);
    return byte < 0x20 || byte == 0x7f;
}

} // namespace

std::optional<std::string> percent_decoded(std::string_view text)
{
    std::string out;
    out.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (text[i] != '%')
        {
            out.push_back(text[i]);
            continue;
        }
        if (i + 2 >= text.size())
            return std::nullopt;
        int const high = hex_value(text[i + 1]);
        int const low = hex_value(text[i + 2]);
        if (high < 0 || low < 0)
            return std::nullopt;
        out.push_back(static_cast<char>(high * 16 + low));
        i += 2;
    }
    return out;
}

std::optional<std::string> normalized_path(std::string_view target)
{
    auto const decoded = percent_decoded(target.substr(0, target.find_first_of("?#")));
    if (!decoded || !decoded->starts_with('/'))
        return std::nullopt;
    if (std::any_of(decoded->begin(), decoded->end(), is_control))
        return std::nullopt;
    std::string out;
    out.reserve(decoded->size());
    std::size_t start = 0;
    while (start < decoded->size())
    {
        // Some servers read a backslash as a slash, so it must not hide a `..` segment.
        auto const end = std::min(decoded->find_first_of("/\\", start), decoded->size());
        auto const segment = std::string_view(*decoded).substr(start, end - start);
        if (segment == "." || segment == "..")
            return std::nullopt;
        if (!segment.empty())
            out.append("/").append(segment);
        start = end + 1;
    }
    return out;
}

} // namespace savorymount::configuration
