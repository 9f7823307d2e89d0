#pragma once

#include <savorymount/base/time.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace savorymount::configuration
{

/// Decides when this instance appends a snapshot. A snapshot is due when the newest one in the log
/// is a quarter of the retention old; an instance of rank r writes r further intervals later, in
/// case all instances before it have failed.
class snapshot_policy
{
public:
    /// `retention` is how long the log keeps a record.
    snapshot_policy(std::string instance, base::duration retention);

    /// A snapshot that was appended `age` ago was read from the log.
    void on_snapshot_seen(base::time_point now, base::duration age);

    /// A record that was appended `age` ago was read from the log. While the log holds no snapshot,
    /// the age of its oldest record counts; without any record a snapshot is due at once at rank 0.
    void on_record(base::time_point now, base::duration age);

    /// This instance has just sent a snapshot. No further one is due until a sixteenth of the
    /// retention has passed, so that a lost or slow append is repeated but not in a loop.
    void on_append(base::time_point now);

    /// `live` are the ids of the list's live instances; `version` is the version to be written and
    /// seeds the ranks, so that the duty moves between instances.
    bool should_append(base::time_point now, std::uint64_t version,
                       std::vector<std::string> const& live) const;

    /// Age at which a snapshot is due.
    base::duration interval() const { return retention_ / 4; }

private:
    std::string instance_;
    base::duration retention_;
    std::optional<base::time_point> newest_snapshot_;
    std::optional<base::time_point> oldest_record_;
    std::optional<base::time_point> last_append_;
};

/// Position of `instance` in the rendezvous order of `live` for `seed`. An instance that is not in
/// `live`, because the list lags or was never read, comes behind all of them.
std::size_t rendezvous_rank(std::string const& instance, std::uint64_t seed,
                            std::vector<std::string> const& live);

} // namespace savorymount::configuration
