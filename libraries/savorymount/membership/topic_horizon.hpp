#pragma once

#include <savorymount/base/time.hpp>

#include <optional>

namespace savorymount::membership
{

/// A read of the records that follow those already known.
struct topic_read
{
    base::time_point sent_at{};
    base::time_point handled_at{};
    /// How long the store holds the read open while there are no new records.
    base::duration poll_timeout{};
    bool has_records = false;
    /// Whether no further record followed those that were returned.
    bool reached_end = true;

    /// The time until which every record is among those returned or before them; empty if more
    /// records follow.
    std::optional<base::time_point> complete_until() const;

    bool operator==(topic_read const&) const = default;
};

/// The time until which every record that was appended to a topic is known. A record that appears
/// later cannot have been appended before it.
class topic_horizon
{
public:
    void snapshot_read(base::time_point began_at) { raise(began_at); }
    void records_read(topic_read const& read);
    /// Another instance passed on what it read; it knew every record `age` before it sent the
    /// message, which arrived not before `arrived_at`.
    void update_received(base::time_point arrived_at, base::duration age)
    {
        raise(arrived_at - age);
    }

    /// A read that was sent at `sent_at` failed, or was given up, at `at`.
    void read_failed(base::time_point sent_at, base::time_point at)
    {
        failed_read_sent_at_ = sent_at;
        failed_at_ = at;
    }

    /// Whether reads have failed and none has been complete since. What a record shows now may have
    /// happened while nothing could be read.
    bool reads_outage() const
    {
        return failed_at_ && complete_until_.value_or(base::time_point::min()) < *failed_at_;
    }

    /// The last time at which the topic was found to be unreadable: when the last of the failed
    /// reads was sent. Empty if `reads_outage` does not hold.
    std::optional<base::time_point> unreadable_at() const
    {
        return reads_outage() ? failed_read_sent_at_ : std::nullopt;
    }

    /// Empty until something was read.
    std::optional<base::time_point> complete_until() const { return complete_until_; }

private:
    void raise(base::time_point until);

    std::optional<base::time_point> complete_until_;
    std::optional<base::time_point> failed_at_;
    std::optional<base::time_point> failed_read_sent_at_;
};

} // namespace savorymount::membership
