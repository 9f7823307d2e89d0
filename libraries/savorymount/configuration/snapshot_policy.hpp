#pragma once

#include <savorymount/base/time.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace savorymount::configuration
{

/// Decides when this instance appends a snapshot. The newest snapshot may become a quarter of the
/// retention old; then the instance of rank 0 writes, and rank r waits r further intervals.
class snapshot_policy
{
public:
    /// `retention` is how long the log keeps a record.
    snapshot_policy(std::string instance, base::duration retention);

    /// A snapshot record was seen in the log (or the log had none at `now`).
    void on_snapshot_seen(base::time_point now, base::duration age);

    /// `live` are the ids of the live instances of the list; `subject` is the version to be
    /// written, so that the duty moves between instances.
    bool should_append(base::time_point now, std::uint64_t version,
                       std::vector<std::string> const& live) const;

    /// Age at which a snapshot is due.
    base::duration interval() const { return retention_ / 4; }

private:
    std::string instance_;
    base::duration retention_;
    std::optional<base::time_point> newest_;
};

/// Position of `instance` in the rendezvous order of `live` for `subject`; `live.size()` if absent.
std::size_t rendezvous_rank(std::string const& instance, std::uint64_t subject,
                            std::vector<std::string> const& live);

} // namespace savorymount::configuration
