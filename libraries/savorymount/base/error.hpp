#pragma once

#include <string>
#include <string_view>

namespace savorymount::base
{

/// Kinds of errors, distinguished by how the caller should handle them.
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

/// The lower-case name of a kind, as used in responses, logs and metrics.
std::string_view to_string(error_kind kind);

/// The cause of a failure. The message says what to do about it.
struct error
{
    error_kind kind = error_kind::internal;
    std::string message;

    bool operator==(error const&) const = default;
};

/// Whether the other side sent what can't be read, or too much of it.
inline bool is_invalid_input(error const& it)
{
    return it.kind == error_kind::invalid_input || it.kind == error_kind::too_large;
}

} // namespace savorymount::base
