#include <savorymount/runtime/http_header.hpp>

#include <algorithm>

namespace savorymount::runtime
{
namespace
{

char lower(char letter)
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

} // namespace

bool equal_header_names(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char a, char b) { return lower(a) == lower(b); });
}

std::optional<std::string> find_header(http_headers const& headers, std::string_view name)
{
    for (auto const& it : headers)
    {
        if (equal_header_names(it.name, name))
            return it.value;
    }
    return std::nullopt;
}

} // namespace savorymount::runtime
