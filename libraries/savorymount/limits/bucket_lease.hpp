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

/// Append `record` to the log under `id`, and retry with the same id while the response is lost.
/// The caller reports the result to `on_append_finished`.
struct append_lease
{
    std::string id;
    lease_record record;

    bool operator==(append_lease const&) const = default;
};

/// Create the bucket and grant from it under `fencing_token`.
struct start_granting
{
    std::uint64_t fencing_token = 0;
    /// True for the first owner ever, whose bucket starts full; later ones start empty.
    bool full = false;

    bool operator==(start_granting const&) const = default;
};

/// Stop granting under `fencing_token`. If `resumable` is true, `resume_granting` may follow with
/// the same token, so the caller keeps the bucket.
struct stop_granting
{
    std::uint64_t fencing_token = 0;
    bool resumable = false;

    bool operator==(stop_granting const&) const = default;
};

/// Continue to grant from the kept bucket under `fencing_token`.
struct resume_granting
{
    std::uint64_t fencing_token = 0;

    bool operator==(resume_granting const&) const = default;
};

using lease_action = std::variant<append_lease, start_granting, stop_granting, resume_granting>;

/// One agent's state in the lease protocol of one workspace's bucket: decides when to append a
/// lease record and when to start and stop granting. The agent that holds the lease becomes the
/// bucket's owner once it may grant.
///
/// The caller checks `may_grant(now)` with a fresh clock reading before each grant.
class bucket_lease
{
public:
    /// The holder appends its lease again after `renewal_interval`, a quarter of the log's
    /// retention. Without the log, the list alone confirms the lease for at most twice that time.
    /// `retry_delay` is the time until the next attempt after an append that failed or whose result
    /// is unknown.
    bucket_lease(std::string workspace, std::string agent, std::string incarnation,
                 limit_timing timing = {}, base::duration renewal_interval = std::chrono::hours(6),
                 base::duration retry_delay = std::chrono::seconds(1));

    /// Lease records were applied to `directory`, but perhaps not up to the end of the log.
    std::vector<lease_action> on_log_records(base::time_point now,
                                             lease_directory const& directory);

    /// A log read sent at `sent` reached the end of the log, and all its records were applied to
    /// `directory`.
    std::vector<lease_action> on_log_read(base::time_point now, base::time_point sent,
                                          lease_directory const& directory);

    /// A list read sent at `sent` returned `list`.
    std::vector<lease_action> on_list_read(base::time_point now, base::time_point sent,
                                           agent_list const& list);

    /// The append succeeded (`appended`), failed, or its result is unknown. Whether the record was
    /// accepted shows only when it is read from the log.
    std::vector<lease_action> on_append_finished(base::time_point now, std::string const& id,
                                                 bool appended);

    std::vector<lease_action> tick(base::time_point now);

    /// Stops granting because the process shuts down. The release is appended after
    /// `on_grants_expired`.
    std::vector<lease_action> leave(base::time_point now);
    std::vector<lease_action> on_grants_expired(base::time_point now);

    /// True while this agent may grant tokens. The caller checks it before each grant with the
    /// current time.
    bool may_grant(base::time_point now) const;

    /// The fencing token of this agent's lease; 0 if it holds none.
    std::uint64_t fencing_token() const { return fencing_token_; }

    /// True when this agent holds no lease and no append is pending.
    bool released() const;

private:
    enum class phase
    {
        /// Another agent holds the lease, or no agent does.
        not_holding,
        /// This agent holds the lease, but grants of an earlier owner may not have expired.
        waiting,
        /// This agent holds the lease and grants tokens.
        granting,
        /// This agent holds the lease, but neither log nor list confirmed it within
        /// `confirmation_lifetime`.
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
    std::string local_list_entry_id() const { return agent_ + "#" + incarnation_; }

    std::string workspace_;
    std::string agent_;
    std::string incarnation_;
    limit_timing timing_;
    base::duration renewal_interval_;
    base::duration retry_delay_;

    phase phase_ = phase::not_holding;
    /// Token of this agent's lease; 0 while it holds none.
    std::uint64_t fencing_token_ = 0;
    bool start_full_ = false;
    base::time_point granting_starts_at_{};
    std::uint64_t renewed_offset_ = 0;
    base::time_point renewed_at_{};

    std::optional<workspace_lease> newest_lease_;
    /// When the newest log read that reached the end of the log was sent.
    std::optional<base::time_point> log_read_sent_;
    std::optional<base::time_point> list_read_sent_;
    std::optional<base::time_point> list_confirmation_sent_;
    /// When this agent was last missing from the list; reset by a log read sent later.
    std::optional<base::time_point> missing_from_list_at_;

    bool is_preferred_owner_ = false;
    /// The other agent that holds the lease but is missing from the list, and the first of the
    /// consecutive list reads without it.
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
