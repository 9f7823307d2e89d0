#pragma once

#include <savorymount/configuration/configuration.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace savorymount::configuration
{

/// The workspace that a presented key belongs to.
struct authenticated_key
{
    std::string workspace;
    std::string key_id;

    bool operator==(authenticated_key const&) const = default;
};

/// Checks presented keys against one configuration.
class key_table
{
public:
    explicit key_table(std::shared_ptr<configuration const> current);

    /// Nothing if the key is malformed, unknown or withdrawn, or its secret is wrong. The time of
    /// the comparison does not depend on the secret.
    std::optional<authenticated_key> authenticate(std::string_view presented) const;

private:
    std::shared_ptr<configuration const> current_;
};

} // namespace savorymount::configuration
