#pragma once

#include <savorymount/base/error.hpp>
#include <savorymount/configuration/key_record.hpp>

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace savorymount::configuration
{

/// Returns `size` unpredictable bytes.
using random_bytes = std::function<std::string(std::size_t size)>;

/// A key as the caller presents it: `sm_<id>_<secret>`.
struct caller_key
{
    std::string id;
    std::string secret;

    bool operator==(caller_key const&) const = default;
};

/// Splits a presented key; nothing if `text` does not have the form of a key.
std::optional<caller_key> parse_caller_key(std::string_view text);

/// The text that the caller presents.
std::string to_string(caller_key const& key);

/// A new key with an id of 64 random bits and a secret of 256.
caller_key generate_caller_key(random_bytes const& random);

/// What is stored of `key`, with a fresh salt.
key_record make_key_record(caller_key const& key, random_bytes const& random);

/// SHA-256 of salt + secret in hexadecimal digits.
std::string key_digest(std::string const& salt, std::string const& secret);

} // namespace savorymount::configuration
