#pragma once

#include <savorymount/base/error.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace savorymount::configuration
{

/// A model that a group's engines should hold.
struct wanted_model
{
    std::string model;
    /// Empty for the model without an adapter.
    std::string adapter;
    std::string version;
    /// Number of engines that should hold it.
    std::uint32_t engines = 0;
    /// Largest response that a request may ask for, in tokens.
    std::uint64_t max_answer_tokens = 0;

    bool operator==(wanted_model const&) const = default;
};

/// Fails with `invalid_input`; `path` names the place in the document.
std::optional<wanted_model> parse_wanted_model(nlohmann::json const& value, std::string const& path,
                                               base::error& reason);

} // namespace savorymount::configuration
