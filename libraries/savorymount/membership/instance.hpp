#pragma once

#include <string>
#include <string_view>
#include <tuple>

namespace savorymount::membership
{

/// One process of the deployment, as the platform's list shows it.
struct instance
{
    std::string id;
    /// Random string that each process start generates; empty if the platform's list has none.
    std::string incarnation;
    std::string role;
    /// `IP:port` of the internal port.
    std::string address;
    std::string data_centre;
    /// Group of instances among which requests are balanced.
    std::string group;
    /// True if the process is shutting down, according to the list; `instance_directory` combines
    /// it with what messages report.
    bool leaving = false;

    bool operator==(instance const&) const = default;
};

/// Id and incarnation of a list entry.
struct instance_name
{
    std::string id;
    std::string incarnation;

    bool operator==(instance_name const&) const = default;
    // NOTE: Not a defaulted <=>, because clang-tidy's modernize-use-nullptr reports a false
    // positive for it with strings.
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
