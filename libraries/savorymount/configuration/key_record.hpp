#pragma once

#include <savorymount/base/error.hpp>

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>

namespace savorymount::configuration
{

/// What is stored of a caller's key: never the secret itself.
struct key_record
{
    /// 4 to 32 lower-case letters and digits, unique over all workspaces.
    std::string id;
    /// 16 to 64 hexadecimal digits.
    std::string salt;
    /// SHA-256 of salt + secret, 64 hexadecimal digits.
    std::string digest;

    bool operator==(key_record const&) const = default;
};

/// Fails with `invalid_input`; `path` names the place in the document.
std::optional<key_record> parse_key_record(nlohmann::json const& value, std::string const& path,
                                           base::error& reason);

/// The document form of `key`.
nlohmann::json to_json(key_record const& key);

} // namespace savorymount::configuration
