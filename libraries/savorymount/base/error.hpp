#pragma once

#include <string>
#include <string_view>

namespace savorymount::base
{

/// What went wrong, in the terms that decide how a caller should react.
enum class error_kind
{
    invalid_input,
    unauthorized,
    forbidden,
    not_found,
    conflict,
    rate_limited,
    too_large,
    overloaded,
    unavailable,
    unknown_outcome,
    deadline,
    crashed,
    internal
};

/// The lower-case name of a kind, as used in answers, logs and metrics.
std::string_view to_string(error_kind kind);

/// The last reason for a failure; the message names the remedy.
struct error
{
    error_kind kind = error_kind::internal;
    std::string message;

    bool operator==(error const&) const = default;
};

} // namespace savorymount::base
