#pragma once

#include <savorymount/base/time.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace savorymount::orders
{

/// A record of the leader lease in the platform's log.
struct leader_lease_record
{
    std::string holder;
    std::string incarnation;
    /// Increases with each new holder. Every order carries it, so that engines reject the orders of
    /// an earlier holder.
    std::uint64_t fencing_token = 0;
    /// Whether the holder released the lease before it expired.
    bool released = false;
    /// Time between the holder's last action and the release.
    base::duration idle_before_release{};

    bool operator==(leader_lease_record const&) const = default;
};

/// A lease record with its offset in the log.
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

/// The era of a log that never came back from an older copy.
inline constexpr std::uint64_t first_log_era = 1;

struct leader_lease_options
{
    std::string instance;
    std::string incarnation;
    base::duration lease_duration = std::chrono::milliseconds(3000);
    base::duration renewal_interval = std::chrono::milliseconds(1000);
    /// A holder stops this long before the lease expires, and a successor starts this long after.
    base::duration safety_margin = std::chrono::milliseconds(250);
};

/// Elects the leader that may send orders, by conditional appends to one partition of the
/// platform's log. Log events and metrics call this role the `duty`.
///
/// The holder measures its lease from before it sent the append that the log accepted; other
/// instances measure it from when they saw the record. A successor therefore starts only after the
/// previous holder has stopped, however long messages between them are delayed. All times must come
/// from a clock that keeps running while the instance is suspended.
///
/// The log may come back from an older copy, which begins a new era: its newest records are gone
/// and their offsets are given out again. The holder goes on until its lease expires and records it
/// again; all others wait for a whole lease, whatever the copy says. Fencing tokens of a later era
/// are larger.
class leader_lease
{
public:
    explicit leader_lease(leader_lease_options options) : options_(std::move(options)) {}

    /// Handles a read of the log up to `log_end`. `newest` is the newest lease record, if any;
    /// records of other kinds may follow it.
    void on_log_read(base::time_point now, std::optional<lease_log_entry> const& newest,
                     std::uint64_t log_end, std::uint64_t era = first_log_era);

    /// Handles the announcement of another instance that it holds the lease by the accepted record
    /// at `offset`. If a later read finds this record to be the newest, its lease counts from
    /// `now`.
    void on_leader_announced(base::time_point now, std::uint64_t offset,
                             std::uint64_t era = first_log_era);

    /// The record to append now, if any. The caller must report the result by one of the
    /// `on_append_*` functions.
    std::optional<conditional_lease_append> next_append(base::time_point now);

    /// The log accepted the append; the partition now ends at `log_end`.
    void on_append_accepted(base::time_point now, std::uint64_t log_end);
    /// The log rejected the append because another record came first. No orders may be sent until
    /// the log has been read again.
    void on_append_rejected();
    /// The log accepted another record of this instance at `expected_end`; it now ends at
    /// `log_end`.
    void on_other_append_accepted(std::uint64_t expected_end, std::uint64_t log_end);
    /// There was no response to the append. The next read of the log shows whether it was accepted.
    void on_append_outcome_unknown();

    /// Records that the holder sends an order.
    void record_action(base::time_point now) { last_action_at_ = now; }

    /// The fencing token, if this process holds the lease at `now`.
    std::optional<std::uint64_t> fencing_token(base::time_point now) const;

    /// The record that releases the lease, if this process holds it.
    std::optional<conditional_lease_append> release(base::time_point now);

    /// The offset of the record by which this process holds the lease at `now`.
    std::optional<std::uint64_t> held_record_offset(base::time_point now) const
    {
        return fencing_token(now) ? newest_offset_ : std::nullopt;
    }

    std::optional<leader_lease_record> const& newest() const { return newest_; }
    /// The era of the log that was read last.
    std::uint64_t era() const { return era_; }

private:
    void begin_era(base::time_point now, std::uint64_t era);
    /// The lease of an earlier era may still be in force, without a record of it.
    bool may_be_held_without_record(base::time_point now) const;
    bool is_own(leader_lease_record const& record) const;

    leader_lease_options options_;
    std::optional<leader_lease_record> newest_;
    std::optional<std::uint64_t> newest_offset_;
    std::optional<std::uint64_t> log_end_;
    std::uint64_t era_ = first_log_era;
    /// When a later era than the first was seen; empty in the first one.
    std::optional<base::time_point> era_seen_at_;
    /// When the newest record was first read or announced.
    base::time_point newest_seen_at_{};
    /// The newest record that another instance announced, and when it was first announced.
    std::optional<std::uint64_t> announced_offset_;
    std::uint64_t announced_era_ = first_log_era;
    base::time_point announced_at_{};
    /// The append that is in flight, and when it was sent.
    std::optional<conditional_lease_append> pending_;
    base::time_point pending_append_sent_at_{};
    /// When the earliest append with an unknown outcome was sent.
    std::optional<base::time_point> unknown_append_sent_at_;
    /// Start of this process's lease: when the accepted append was sent.
    std::optional<base::time_point> held_since_;
    std::uint64_t held_token_ = 0;
    std::optional<base::time_point> last_action_at_;
};

} // namespace savorymount::orders
