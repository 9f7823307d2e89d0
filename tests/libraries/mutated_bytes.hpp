#pragma once

#include <savorymount/base/random_source.hpp>

#include <algorithm>
#include <string>
#include <string_view>

namespace savorymount::tests
{

/// Replaces, removes, repeats or inserts bytes.
inline std::string mutated(std::string text, base::random_source& random)
{
    constexpr std::string_view tokens[] = {"{",
                                           "}",
                                           "[",
                                           "]",
                                           "\"",
                                           ":",
                                           ",",
                                           "null",
                                           "-1",
                                           "1e9",
                                           "1e999",
                                           "true",
                                           "\\",
                                           "\xff",
                                           "\0",
                                           "{}",
                                           "[]",
                                           "\\ud800",
                                           "%",
                                           "/",
                                           "sm_",
                                           "0.5",
                                           "99999999999999999999999",
                                           "\"a\":"};
    auto const changes = 1 + random.uniform_below(4);
    for (std::uint64_t i = 0; i < changes; ++i)
    {
        auto const at = random.uniform_below(text.size() + 1);
        auto const length = random.uniform_below(std::min<std::size_t>(text.size() - at, 40) + 1);
        switch (random.uniform_below(4))
        {
        case 0:
            text.erase(at, length);
            break;
        case 1:
            text.insert(at, text.substr(at, length));
            break;
        case 2:
            text.insert(at, tokens[random.uniform_below(std::size(tokens))]);
            break;
        default:
            if (at < text.size())
                text[at] = static_cast<char>(random.uniform_below(256));
        }
    }
    return text;
}

} // namespace savorymount::tests
