#pragma once

#include <string>
#include <string_view>
#include <tuple>

namespace savorymount::membership
{

/// One process of the fleet.
struct instance
{
    std::string id;
    /// Random string per process start; empty if the platform's list names none.
    std::string incarnation;
    std::string role;
    /// `IP:port` of the internal port.
    std::string address;
    std::string data_centre;
    std::string group;
    /// What the list says; `instance_directory` merges it with messages.
    bool leaving = false;

    bool operator==(instance const&) const = default;
};

/// Id and incarnation of a list entry.
struct instance_name
{
    std::string id;
    std::string incarnation;

    bool operator==(instance_name const&) const = default;
    // NOTE: clang-tidy's modernize-use-nullptr takes a defaulted <=> over strings for a null
    // pointer.
    bool operator<(instance_name const& other) const
    {
        return std::tie(id, incarnation) < std::tie(other.id, other.incarnation);
    }
};

/// Splits `agent-1#<incarnation>`; the incarnation is empty without `#`.
instance_name parse_instance_name(std::string_view text);

/// The inverse of `parse_instance_name`.
std::string to_string(instance_name const& name);

} // namespace savorymount::membership
