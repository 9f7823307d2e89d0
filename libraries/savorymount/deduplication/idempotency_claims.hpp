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
    /// Winners held, of at most `max_winner_bytes` each.
    std::size_t max_winners = 100'000;
};

/// Upper bound of the memory that one winner takes with a request id of up to 64 bytes.
inline constexpr std::size_t max_winner_bytes = 320;

enum class claim_action
{
    /// No claim is known for the key: append one, call `record_append`, then ask
    /// `decide_after_append`.
    append,
    /// The claim has not been read back yet: ask again after the next read.
    wait,
    /// Run the request here now, under the id `request` (which may be that of an earlier request
    /// with the key that was given up). Given once per claim, unless `withdraw` is called.
    run_here,
    /// Another request with the key has the right to run: send this one to `agent`, which attaches
    /// it to `request`. At that agent itself: attach to `request` in its outcome store, and answer
    /// `unknown` if the store no longer has it.
    attach,
    /// The key was used for a request with another digest.
    refuse_conflict,
    /// Another request won and its agent is gone.
    refuse_unknown,
    /// The log is unavailable, has not been read back over the window, or the claim took too long;
    /// this request has not run and will not.
    refuse_not_run
};

/// What to do with a request, and the winning claim's names where there is a winner.
struct claim_decision
{
    claim_action action = claim_action::refuse_not_run;
    std::string request_id;
    std::string agent;
    std::string incarnation;

    bool operator==(claim_decision const&) const = default;
};

/// One agent process's fold of the log's claim records. Every reader reaches the same winner per
/// workspace and key: the claim with the lowest offset, until the log's own time (the largest
/// `time_ms` read) has passed the winner's time by the window; the first claim after that wins
/// anew.
///
/// Only the process that the winner names may run a request with the key, and this object allows it
/// once. It does so only for claims that were appended after the log had been read to its end (so
/// that no earlier claim can be missing) and less than half a window ago (so that no other reader
/// can have seen the claim expire).
///
/// Above `count` winners the oldest is dropped. Until its window has passed, keys without a known
/// winner are refused as not run. A longer window applies to the claims that are still held.
class idempotency_claims
{
public:
    /// Says whether that incarnation of the agent is live, see `instance_directory::is_live`.
    using liveness_check =
        std::function<bool(std::string const& agent, std::string const& incarnation)>;

    /// `agent` and `incarnation` name the own process.
    idempotency_claims(claim_limits limits, std::string agent, std::string incarnation,
                       liveness_check is_live);

    /// Applies one log record. Records of other kinds are passed too, with no claims: their time
    /// moves the window. Reading starts at the oldest record that the log has. Offsets below
    /// `next_offset` are ignored.
    void apply(std::uint64_t offset, std::int64_t time_ms, std::vector<claim> const& claims,
               base::time_point now);

    /// Tells that everything up to the log's end was applied; `next` is the offset after it.
    void on_log_end_reached(std::uint64_t next);

    /// Tells that the log dropped records before they were read. Claims appended before the end is
    /// reached again are refused.
    void on_records_lost() { complete_from_.reset(); }

    /// Tells whether the log answers.
    void set_log_available(bool available) { log_available_ = available; }

    /// Verdict on a new request: `append`, or what a known winner says. The latter is answered
    /// without the log.
    claim_decision decide_before_append(std::string_view workspace, std::string_view key,
                                        std::string_view digest, base::time_point now);

    /// Tells that an append of the claim is about to be sent. Required, and before the sending:
    /// without it the claim never allows a run.
    void record_append(claim const& own, base::time_point now);

    /// Verdict on a request whose claim was sent to the log, acknowledged or not. Never `append`.
    claim_decision decide_after_append(claim const& own, base::time_point now);

    /// Takes back a `run_here` of the claim with that request id, because nothing reached the
    /// upstream.
    void withdraw(std::string_view workspace, std::string_view key, std::string_view request);

    /// Changes the window when a configuration comes into force.
    void set_window(base::duration window) { limits_.window = window; }

    /// Winners held.
    std::size_t size() const { return winners_.size(); }

    /// Offset of the first record that has not been applied.
    std::uint64_t next_offset() const { return next_offset_; }

private:
    using hashed_key = std::array<std::uint64_t, 2>;
    struct key_hash
    {
        std::size_t operator()(hashed_key const& it) const { return it[0]; }
    };
    /// Processes that winners name, with the number of these winners.
    using winner_count_map = std::map<std::pair<std::string, std::string>, std::size_t>;
    struct winner
    {
        std::uint64_t offset = 0;
        std::int64_t time_ms = 0;
        /// When the own process sent the claim; none for claims of others, and for own claims that
        /// may have missed an earlier one.
        std::optional<base::time_point> sent_at;
        /// Bounds the winner's age from below while an idle log has no newer time to offer.
        base::time_point read_at;
        winner_count_map::iterator process;
        std::uint64_t request_digest = 0;
        std::string request_id;
        bool run_allowed = false;
    };
    using winner_map = std::unordered_map<hashed_key, winner, key_hash>;

    static hashed_key hash_key(std::string_view workspace, std::string_view key);
    void apply_claim(std::uint64_t offset, claim const& it, base::time_point now);
    claim_decision decide_by_winner(winner& it, std::string_view digest, base::time_point now);
    claim_decision decide_as_winner(winner& it, base::time_point now);
    bool may_miss_claims() const;
    bool is_recent(base::time_point sent_at, base::time_point now) const;
    void remove_expired();
    void drop_oldest();
    void remove_old_appends(base::time_point now);
    std::int64_t window_ms() const;

    claim_limits limits_;
    std::pair<std::string, std::string> self_;
    liveness_check is_live_;
    bool log_available_ = true;
    std::uint64_t next_offset_ = 0;
    /// Offset from which on no earlier claim can be missing; none until the end was reached.
    std::optional<std::uint64_t> complete_from_;
    std::int64_t log_time_ms_ = 0;
    /// Log time until which a dropped winner would still count.
    std::int64_t dropped_until_ms_ = 0;
    winner_count_map winner_counts_;
    winner_map winners_;
    std::deque<hashed_key> winner_order_;
    /// Own claims that have not been read back, by request id.
    std::unordered_map<std::string, base::time_point> pending_appends_;
    std::deque<std::pair<base::time_point, std::string>> pending_append_order_;
};

} // namespace savorymount::deduplication
