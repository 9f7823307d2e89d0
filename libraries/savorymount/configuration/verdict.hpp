#pragma once

#include <string>

namespace savorymount::configuration
{

/// What a record from the log means for the configuration.
enum class verdict_kind
{
    /// A change that is now in force.
    accepted,
    /// A change that is not in force: wrong base or invalid documents.
    rejected,
    /// A record without effect: duplicate, late snapshot, corrupt or oversized.
    ignored,
    /// A change whose base is not known yet; it is judged once a snapshot or a peer fills the gap.
    deferred,
    /// A snapshot that brought a newer version into force, or closed a gap.
    snapshot_used,
    /// A lease, claim, crash, slot or another record that other modules read.
    not_configuration
};

struct verdict
{
    verdict_kind kind = verdict_kind::ignored;
    /// Empty for `accepted` and `not_configuration`.
    std::string reason;

    bool operator==(verdict const&) const = default;
};

} // namespace savorymount::configuration
