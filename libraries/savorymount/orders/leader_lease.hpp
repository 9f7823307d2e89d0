#pragma once

#include <savorymount/base/time.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace savorymount::orders
{

/// The newest record of a duty in the platform's log.
struct leader_lease_record
{
    std::string holder;
    std::string incarnation;
    /// Grows with each new holder; orders carry it.
    std::uint64_t fencing_token = 0;
    /// Whether the holder gave the duty up in good order.
    bool released = false;
    /// How long before its release the holder had acted for the last time.
    base::duration idle_before_release{};

    bool operator==(leader_lease_record const&) const = default;
};

/// A lease record with its place in the log.
struct lease_log_entry
{
    leader_lease_record record;
    std::uint64_t offset = 0;

    bool operator==(lease_log_entry const&) const = default;
};

/// A record to append on the condition that the log still ends at `expected_end`.
struct conditional_lease_append
{
    leader_lease_record record;
    std::uint64_t expected_end = 0;

    bool operator==(conditional_lease_append const&) const = default;
};

struct leader_lease_options
{
    std::string instance;
    std::string incarnation;
    base::duration lease_duration = std::chrono::milliseconds(3000);
    base::duration renewal_interval = std::chrono::milliseconds(1000);
    /// How long before its end a holder stops, and how long after it a successor starts.
    base::duration safety_margin = std::chrono::milliseconds(250);
};

/// Decides who holds a duty, by conditional appends to one partition of the platform's log.
///
/// A holder counts its time from before it sent the append that the log accepted; the others count
/// from when they saw the record. So a successor starts after the old holder has stopped, whatever
/// happened to the messages between them. All times come from a clock that goes on while the
/// instance is suspended.
class leader_lease
{
public:
    explicit leader_lease(leader_lease_options options) : options_(std::move(options)) {}

    /// The log was read up to `end`. `newest` is the newest record of the duty, if there is one;
    /// other records may follow it.
    void on_log_read(base::time_point now, std::optional<lease_log_entry> const& newest,
                     std::uint64_t log_end);

    /// Another instance told that it holds the duty by the record at `offset`, which the log has
    /// taken. A later read that finds this record newest counts its time from now on.
    void on_leader_announced(base::time_point now, std::uint64_t offset);

    /// What to append now, if anything. The caller reports how it ended.
    std::optional<conditional_lease_append> next_append(base::time_point now);

    /// The log accepted the append; the partition ends at `end`.
    void on_append_accepted(base::time_point now, std::uint64_t log_end);
    /// The log refused the append, since others appended first. Nothing may be ordered until it
    /// was read again.
    void on_append_rejected();
    /// It is unknown whether the log took the append. Reading the log tells.
    void on_append_outcome_unknown();

    /// The holder acts on its duty.
    void record_action(base::time_point now) { last_action_at_ = now; }

    /// The fencing token, if this process holds the duty at `now`.
    std::optional<std::uint64_t> fencing_token(base::time_point now) const;

    /// A record that gives the duty up, if this process holds it.
    std::optional<conditional_lease_append> release(base::time_point now);

    /// The offset of the record by which this process holds the duty at `now`.
    std::optional<std::uint64_t> held_record_offset(base::time_point now) const
    {
        return fencing_token(now) ? newest_offset_ : std::nullopt;
    }

    std::optional<leader_lease_record> const& newest() const { return newest_; }

private:
    bool is_own(leader_lease_record const& record) const;

    leader_lease_options options_;
    std::optional<leader_lease_record> newest_;
    std::optional<std::uint64_t> newest_offset_;
    std::optional<std::uint64_t> log_end_;
    /// When the newest record was first seen, or first told of.
    base::time_point newest_seen_at_{};
    /// The newest record that another instance told of, and when it did first.
    std::optional<std::uint64_t> announced_offset_;
    base::time_point announced_at_{};
    /// The append that has no answer yet, and when it was sent.
    std::optional<conditional_lease_append> pending_;
    base::time_point pending_append_sent_at_{};
    /// When the earliest append was sent whose end is unknown.
    std::optional<base::time_point> unknown_append_sent_at_;
    /// The holder's own time, counted from before the accepted append was sent.
    std::optional<base::time_point> held_since_;
    std::uint64_t held_token_ = 0;
    std::optional<base::time_point> last_action_at_;
};

} // namespace savorymount::orders
