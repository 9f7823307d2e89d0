#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace savorymount::tests
{

/// A record of the store holds at most this many bytes.
constexpr std::size_t max_record_bytes = 262'144;

inline std::string repeated(std::string const& text, std::size_t count)
{
    std::string out;
    for (std::size_t i = 0; i < count; ++i)
        out += text;
    return out;
}

/// JSON values of a wrong type, size or depth.
inline std::vector<std::string> odd_values()
{
    constexpr std::size_t depth = 100'000;
    constexpr std::size_t object_depth = 40'000;
    std::vector<std::string> out{"null", "true", "[]", "{}", "[[]]", R"("")", R"("text")"};
    for (char const* const it :
         {"0", "-1", "1.5", "-0.0", "1e300", "-1e300", "1e999", "-1e999", "65536", "4294967296",
          "9007199254740993", "9223372036854775808", "18446744073709551615", "18446744073709551616",
          "-9223372036854775809"})
        out.emplace_back(it);
    for (char const* const it :
         {"10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:99999", "10.0.0.1:-1", "10.0.0.1:", ":80",
          "10.0.0.256:80", "10.0.0.1:80:80", R"(10.0.0.1\u0000:80)", R"(a\u0000b)",
          R"(a\r\nX-Tenant: other)", "\xff\xfe", R"(\ud800)"})
        out.push_back('"' + std::string(it) + '"');
    out.push_back(std::string(400, '9'));
    out.push_back('"' + std::string(200'000, 'a') + '"');
    out.push_back('[' + repeated("0,", 60'000) + "0]");
    out.push_back(repeated("[", depth) + repeated("]", depth));
    out.push_back(repeated(R"({"a":)", object_depth) + "1" + repeated("}", object_depth));
    return out;
}

/// The value without the one at the path.
inline nlohmann::json without(nlohmann::json value, nlohmann::json::json_pointer const& path)
{
    auto& parent = value.at(path.parent_pointer());
    if (parent.is_array())
        parent.erase(std::stoul(path.back()));
    else
        parent.erase(path.back());
    return value;
}

/// Entries that another writer may leave in place of a sound one: each value of the sound entry
/// left out or replaced by each odd value, and whole texts of another kind.
inline std::vector<std::string> odd_entries(std::string const& sound)
{
    using nlohmann::json;
    std::vector<std::string> out = odd_values();
    out.push_back(repeated("[", max_record_bytes));
    out.push_back(repeated(R"({"a":)", max_record_bytes / 5));
    out.push_back(std::string(max_record_bytes, '\0'));
    out.push_back(sound.substr(0, sound.size() / 2));
    out.push_back(sound + sound);
    auto const flat = json::parse(sound).flatten();
    std::string const marker = "\"value that is replaced\"";
    for (auto const& [path, value] : flat.items())
    {
        for (auto at = json::json_pointer(path); !at.empty(); at = at.parent_pointer())
            out.push_back(without(json::parse(sound), at).dump());
        auto changed = json::parse(sound);
        for (auto at = json::json_pointer(path); !at.empty(); at = at.parent_pointer())
        {
            changed[at] = json::parse(marker);
            auto const text = changed.dump();
            auto const position = text.find(marker);
            for (auto const& it : odd_values())
                out.push_back(std::string(text).replace(position, marker.size(), it));
        }
    }
    return out;
}

/// The text in base64.
inline std::string to_base64(std::string const& bytes)
{
    constexpr char const* digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3)
    {
        unsigned group = 0;
        for (std::size_t n = 0; n < 3; ++n)
            group =
                group << 8 | (i + n < bytes.size() ? static_cast<unsigned char>(bytes[i + n]) : 0U);
        for (std::size_t n = 0; n < 4; ++n)
            out += i + n > bytes.size() ? '=' : digits[group >> (18 - 6 * n) & 63U];
    }
    return out;
}

} // namespace savorymount::tests
