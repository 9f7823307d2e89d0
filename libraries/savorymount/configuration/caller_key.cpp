#include <savorymount/base/digest.hpp>
#include <savorymount/configuration/caller_key.hpp>
#include <savorymount/configuration/schema.hpp>

#include <algorithm>

namespace savorymount::configuration
{
namespace
{

constexpr std::string_view prefix = "sm_";
constexpr std::size_t id_bytes = 8;
constexpr std::size_t secret_bytes = 32;
constexpr std::size_t salt_bytes = 16;
constexpr std::size_t min_secret_length = 16;
constexpr std::size_t max_secret_length = 128;

bool is_secret(std::string_view text)
{
    return text.size() >= min_secret_length && text.size() <= max_secret_length &&
           std::all_of(text.begin(), text.end(),
                       [](char it) {
                           return (it >= 'a' && it <= 'z') || (it >= 'A' && it <= 'Z') ||
                                  (it >= '0' && it <= '9');
                       });
}

std::string hex(std::string_view bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string out;
    for (char const it : bytes)
    {
        auto const byte = static_cast<unsigned char>(it);
        out.push_back(digits[byte >> 4]);
        out.push_back(digits[byte & 0xf]);
    }
    return out;
}

} // namespace

std::optional<caller_key> parse_caller_key(std::string_view text)
{
    if (!text.starts_with(prefix))
        return std::nullopt;
    text.remove_prefix(prefix.size());
    auto const end = text.find('_');
    if (end == std::string_view::npos)
        return std::nullopt;
    auto const id = text.substr(0, end);
    auto const secret = text.substr(end + 1);
    if (!is_valid_text(*key_schema().find("id"), id) || !is_secret(secret))
        return std::nullopt;
    return caller_key{std::string(id), std::string(secret)};
}

std::string to_string(caller_key const& key)
{
    return std::string(prefix) + key.id + "_" + key.secret;
}

caller_key generate_caller_key(random_bytes const& random)
{
    auto id = hex(random(id_bytes));
    auto secret = hex(random(secret_bytes));
    return {std::move(id), std::move(secret)};
}

key_record make_key_record(caller_key const& key, random_bytes const& random)
{
    auto salt = hex(random(salt_bytes));
    auto digest = key_digest(salt, key.secret);
    return {key.id, std::move(salt), std::move(digest)};
}

std::string key_digest(std::string const& salt, std::string const& secret)
{
    return base::sha256_hex(salt + secret);
}

} // namespace savorymount::configuration
