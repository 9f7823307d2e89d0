#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace savorymount::base
{

/// Digest of `bytes` chained to `parent` (64-bit xxHash3). Not for secrets.
std::uint64_t chain_digest(std::uint64_t parent, std::string_view bytes);

/// SHA-256 of `bytes` as 64 lower-case hexadecimal digits.
std::string sha256_hex(std::string_view bytes);

/// HMAC-SHA-256 of `bytes` under `secret` as 64 lower-case hexadecimal digits.
std::string hmac_sha256_hex(std::string_view secret, std::string_view bytes);

/// Compares two strings in constant time: the duration depends only on their lengths.
bool equal_in_constant_time(std::string_view left, std::string_view right);

/// `value` as 16 lower-case hexadecimal digits.
std::string to_hex(std::uint64_t value);

} // namespace savorymount::base
