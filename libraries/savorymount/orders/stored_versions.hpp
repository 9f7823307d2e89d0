#pragma once

#include <savorymount/base/time.hpp>
#include <savorymount/orders/desired_weights.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace savorymount::orders
{

/// The newest weight version of a model, for the system's own records.
struct version_record
{
    std::string model;
    std::uint64_t version = 0;

    bool operator==(version_record const&) const = default;
};

/// Decides which weight versions this instance writes to the system's own records, where they
/// outlast all processes. The leader writes a version at once, the others if it does not.
class stored_versions
{
public:
    /// The records show these versions.
    void on_read(std::map<std::string, std::uint64_t> stored) { stored_ = std::move(stored); }

    /// The next version to write; empty if the records show all that are known.
    std::optional<version_record> next_append(base::time_point now, desired_weights const& desired,
                                              bool is_leader);
    void on_append_accepted(version_record const& record);

    /// Whether the version outlasts all processes, so that engines may load it.
    bool is_recorded(std::string const& model, std::uint64_t version) const;

private:
    std::map<std::string, std::uint64_t> stored_;
    /// Since when the newest version of a model is known and not among the records.
    std::map<std::string, base::time_point> missing_since_;
};

} // namespace savorymount::orders
