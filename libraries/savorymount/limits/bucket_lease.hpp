#pragma once

#include <savorymount/base/time.hpp>
#include <savorymount/limits/agent_list.hpp>
#include <savorymount/limits/lease_directory.hpp>
#include <savorymount/limits/lease_record.hpp>
#include <savorymount/limits/limit_timing.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace savorymount::limits
{

/// Append this record to the log under the id; repeat the append with the same id while the
/// answer is lost. Report the end through `append_ended`.
struct append_lease
{
    std::string id;
    lease_record record;

    bool operator==(append_lease const&) const = default;
};

/// Create the bucket and grant from it under `fence`.
struct start_granting
{
    std::uint64_t fencing_token = 0;
    /// True for the first owner ever: the bucket starts full. Otherwise it starts empty.
    bool full = false;

    bool operator==(start_granting const&) const = default;
};

/// Grant nothing more under `fence`. `resumable` says that `start_granting` may follow with the
/// same fence: keep the bucket until then.
struct stop_granting
{
    std::uint64_t fencing_token = 0;
    bool resumable = false;

    bool operator==(stop_granting const&) const = default;
};

/// Continue to grant from the kept bucket under `fence`.
struct resume_granting
{
    std::uint64_t fencing_token = 0;

    bool operator==(resume_granting const&) const = default;
};

using lease_action = std::variant<append_lease, start_granting, stop_granting, resume_granting>;

/// One agent's part in the ownership of one workspace's bucket: decides when to append a lease
/// record, when to start and when to stop granting.
///
/// The caller asks `may_grant(now)` with a fresh clock reading before each grant.
class bucket_lease
{
public:
    /// `renewal` is a quarter of the log's retention: the holder appends its lease again after this
    /// time, and without the log the list alone confirms it for at most twice this time.
    /// `retry` is the time between appends whose fate is unknown or that were refused.
    bucket_lease(std::string workspace, std::string agent, std::string incarnation,
                 limit_timing timing = {}, base::duration renewal_interval = std::chrono::hours(6),
                 base::duration retry_delay = std::chrono::seconds(1));

    /// Lease records have been folded into `directory`, but perhaps not up to the log's end.
    std::vector<lease_action> on_log_records(base::time_point now,
                                             lease_directory const& directory);

    /// A log read sent at `sent` reached the log's end, and all its records are in `directory`.
    std::vector<lease_action> on_log_read(base::time_point now, base::time_point sent,
                                          lease_directory const& directory);

    /// A list read sent at `sent` returned `list`.
    std::vector<lease_action> on_list_read(base::time_point now, base::time_point sent,
                                           agent_list const& list);

    /// The append is known to be done (`appended`) or has failed or has an unknown fate. Only the
    /// log decides whether the record was accepted.
    std::vector<lease_action> on_append_finished(base::time_point now, std::string const& id,
                                                 bool appended);

    std::vector<lease_action> tick(base::time_point now);

    /// The process is leaving: stop granting. The release is appended once `grants_ended` is
    /// reported.
    std::vector<lease_action> leave(base::time_point now);
    std::vector<lease_action> on_grants_expired(base::time_point now);

    /// True while this agent may hand out grants. Check before each grant with the current time.
    bool may_grant(base::time_point now) const;

    /// The fencing token of this agent's lease; 0 if it holds none.
    std::uint64_t fencing_token() const { return fencing_token_; }

    /// True when nothing is left to do before the process ends.
    bool released() const;

private:
    enum class phase
    {
        /// Another agent holds the lease, or nobody does.
        not_holding,
        /// The lease is this agent's, but grants of an earlier owner may be alive.
        waiting,
        /// Grants are handed out.
        granting,
        /// The lease is this agent's, but nothing confirmed it within `hold`.
        unconfirmed
    };

    void update_from_log(base::time_point now, lease_directory const& directory,
                         std::vector<lease_action>& out);
    void become_holder(base::time_point now);
    void lose_lease(std::vector<lease_action>& out);
    void update_list_confirmation(base::time_point now, base::time_point sent,
                                  agent_list const& list);
    void update_holder_absence(base::time_point now, agent_list const& list,
                               bool reads_too_far_apart);
    void update_phase(base::time_point now, std::vector<lease_action>& out);
    void append_if_needed(base::time_point now, std::vector<lease_action>& out);
    std::optional<lease_record> next_record(base::time_point now) const;
    bool is_confirmed(base::time_point now) const;
    bool holder_absent_long_enough() const;
    std::string own_list_entry_id() const { return agent_ + "#" + incarnation_; }

    std::string workspace_;
    std::string agent_;
    std::string incarnation_;
    limit_timing timing_;
    base::duration renewal_interval_;
    base::duration retry_delay_;

    phase phase_ = phase::not_holding;
    /// Of this agent's lease; 0 while it holds none.
    std::uint64_t fencing_token_ = 0;
    bool start_full_ = false;
    base::time_point granting_starts_at_{};
    std::uint64_t renewed_offset_ = 0;
    base::time_point renewed_at_{};

    std::optional<workspace_lease> newest_lease_;
    /// When the newest read that reached the log's end was sent.
    std::optional<base::time_point> log_read_sent_;
    std::optional<base::time_point> list_read_sent_;
    std::optional<base::time_point> list_confirmation_sent_;
    /// When the list last lacked this agent, until a later log read.
    std::optional<base::time_point> missing_from_list_at_;

    bool is_preferred_owner_ = false;
    /// The foreign holder that the list lacks, and since which read without a gap.
    std::string absent_holder_id_;
    base::time_point holder_absent_since_{};

    bool appending_ = false;
    std::string append_id_;
    std::uint64_t append_count_ = 0;
    base::time_point next_append_at_{};

    bool leaving_ = false;
    bool grants_expired_ = false;
};

} // namespace savorymount::limits
