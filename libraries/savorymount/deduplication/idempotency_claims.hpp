#pragma once

#include <savorymount/base/time.hpp>
#include <savorymount/deduplication/claim.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace savorymount::deduplication
{

struct claim_limits
{
    /// `idempotency_window_seconds` of the configuration; shorter than the log's retention.
    base::duration window = std::chrono::hours(1);
    /// Maximum number of winners kept, of at most `max_winner_bytes` each.
    std::size_t max_winners = 100'000;
};

/// Maximum memory of one winner with a request id of up to 64 bytes.
inline constexpr std::size_t max_winner_bytes = 320;

enum class claim_action
{
    /// No claim is known for the key: append one, call `record_append`, then ask
    /// `decide_after_append`.
    append,
    /// The claim has not been read from the log yet: ask again after the next read.
    wait,
    /// Run the request on this agent now, under the id `request_id`, which may belong to an
    /// earlier, abandoned request with the same key. Returned once per claim, unless `withdraw` is
    /// called.
    run_here,
    /// Another request with the key won: forward this one to `agent`, which attaches it to
    /// `request_id`. On that agent itself: attach to `request_id` in its outcome store, and report
    /// `unknown` if the store no longer has it.
    attach,
    /// The key was used for a request with a different digest.
    refuse_conflict,
    /// Another request won, and its agent is no longer live.
    refuse_unknown,
    /// The log is unavailable or has not been read over the whole window, or the claim took too
    /// long. This request has not run and will not run.
    refuse_not_run
};

/// What to do with a request, and the fields of the winning claim if there is one.
struct claim_decision
{
    claim_action action = claim_action::refuse_not_run;
    std::string request_id;
    std::string agent;
    std::string incarnation;

    bool operator==(claim_decision const&) const = default;
};

/// One agent process's state of the claim records in the log. All readers determine the same winner
/// per workspace and key: the claim with the lowest offset. It expires when the time of the log
/// (the largest `time_ms` read) exceeds the winner's time by the window; then the next claim wins.
///
/// Only the process named by the winner may run a request with the key, and this class allows that
/// once. It requires that the claim was appended after the log had been read to its end (so that no
/// earlier claim can be missing) and less than half a window ago (so that no other reader can have
/// seen the claim expire).
///
/// Above `max_winners` the oldest winner is evicted. Until its window has passed, keys without a
/// known winner are refused as not run. A longer window applies to the winners that are still kept.
class idempotency_claims
{
public:
    /// Returns whether that incarnation of the agent is live, see `instance_directory::is_live`.
    using liveness_check =
        std::function<bool(std::string const& agent, std::string const& incarnation)>;

    /// `agent` and `incarnation` identify this process.
    idempotency_claims(claim_limits limits, std::string agent, std::string incarnation,
                       liveness_check is_live);

    /// Applies one log record. Records of other kinds must be passed too, without claims: their
    /// time advances the window. Reading starts at the oldest record in the log. Offsets below
    /// `next_offset` are ignored.
    void apply(std::uint64_t offset, std::int64_t time_ms, std::vector<claim> const& claims,
               base::time_point now);

    /// All records up to the end of the log were applied; `next_offset` follows it.
    void on_log_end_reached(std::uint64_t next_offset);

    /// The log deleted records before they were read. Claims that are appended before the end is
    /// reached again are refused.
    void on_records_lost() { complete_from_.reset(); }

    /// Sets whether the log is available.
    void set_log_available(bool available) { log_available_ = available; }

    /// Decides on a new request: `append`, or the decision that follows from a known winner, which
    /// needs no access to the log.
    claim_decision decide_before_append(std::string_view workspace, std::string_view key_digest,
                                        std::string_view request_digest, base::time_point now);

    /// Records that an append of the claim is about to be sent. Must be called before sending:
    /// otherwise the claim never allows a run.
    void record_append(claim const& own, base::time_point now);

    /// Decides on a request whose claim was sent to the log, whether acknowledged or not. Never
    /// returns `append`.
    claim_decision decide_after_append(claim const& own, base::time_point now);

    /// Reverts the `run_here` of the claim with that request id, because nothing reached the
    /// upstream.
    void withdraw(std::string_view workspace, std::string_view key_digest,
                  std::string_view request_id);

    /// Sets the window when a new configuration takes effect.
    void set_window(base::duration window) { limits_.window = window; }

    /// Number of winners kept.
    std::size_t size() const { return winners_.size(); }

    /// Offset of the next record to apply.
    std::uint64_t next_offset() const { return next_offset_; }

private:
    using hashed_key = std::array<std::uint64_t, 2>;
    struct key_hasher
    {
        std::size_t operator()(hashed_key const& it) const { return it[0]; }
    };
    /// Processes named by winners (agent and incarnation), with the number of their winners.
    using winner_count_map = std::map<std::pair<std::string, std::string>, std::size_t>;
    struct winner
    {
        std::uint64_t offset = 0;
        std::int64_t time_ms = 0;
        /// When this process sent the claim; empty for claims of other processes, and for own
        /// claims before which another claim may have been missed.
        std::optional<base::time_point> sent_at;
        /// Gives a lower bound of the winner's age while the log has no newer records.
        base::time_point read_at;
        winner_count_map::iterator process;
        std::uint64_t request_digest = 0;
        std::string request_id;
        bool run_allowed = false;
    };
    using winner_map = std::unordered_map<hashed_key, winner, key_hasher>;

    static hashed_key hash_key(std::string_view workspace, std::string_view key_digest);
    void apply_claim(std::uint64_t offset, claim const& it, base::time_point now);
    claim_decision decide_by_winner(winner& it, std::string_view request_digest,
                                    base::time_point now);
    claim_decision decide_as_winner(winner& it, base::time_point now);
    bool may_miss_claims() const;
    bool is_recent(base::time_point sent_at, base::time_point now) const;
    void remove_expired();
    void evict_oldest();
    void remove_old_appends(base::time_point now);
    std::int64_t window_ms() const;

    claim_limits limits_;
    std::pair<std::string, std::string> local_process_;
    liveness_check is_live_;
    bool log_available_ = true;
    std::uint64_t next_offset_ = 0;
    /// First offset from which no earlier claim can be missing; empty until the end was reached.
    std::optional<std::uint64_t> complete_from_;
    std::int64_t log_time_ms_ = 0;
    /// Log time at which the last evicted winner would have expired.
    std::int64_t evicted_until_ms_ = 0;
    winner_count_map winner_counts_;
    winner_map winners_;
    std::deque<hashed_key> winner_order_;
    /// Send times of own claims that have not been read from the log yet, by request id.
    std::unordered_map<std::string, base::time_point> pending_appends_;
    std::deque<std::pair<base::time_point, std::string>> pending_append_order_;
};

} // namespace savorymount::deduplication
