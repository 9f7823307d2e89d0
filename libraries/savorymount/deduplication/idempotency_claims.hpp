#pragma once

#include <savorymount/base/time.hpp>
#include <savorymount/deduplication/claim.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace savorymount::deduplication
{

struct claim_limits
{
    /// `idempotency_window_seconds` of the configuration; shorter than the log's retention.
    base::duration window = std::chrono::hours(1);
    /// Winners held; at most `claim_entry_bytes` each.
    std::size_t count = 200'000;
};

/// Upper bound of the memory that one winner takes with identifiers of up to 64 bytes.
inline constexpr std::size_t claim_entry_bytes = 512;

enum class claim_action
{
    /// No claim is known for the key: append one, then ask `after_append`.
    append,
    /// The own claim has not been read back yet: ask again after the next read.
    wait,
    /// The own claim won and this incarnation has to run the request.
    run_here,
    /// Another request won: attach to `request` at `agent`.
    attach,
    /// Another request won and its agent is gone, or the claim has been dropped.
    refuse_unknown,
    /// The log is unavailable, or has not been read back over the window; nothing ran.
    refuse_not_run
};

/// What to do with a request, and the winning claim's names where there is a winner.
struct claim_verdict
{
    claim_action action = claim_action::refuse_not_run;
    std::string request;
    std::string agent;
    std::string incarnation;

    bool operator==(claim_verdict const&) const = default;
};

/// Fold of the log's claim records. Every reader reaches the same winner per workspace and key: the
/// claim with the lowest offset, until the log's own time (the largest `time_ms` read) has passed
/// the winner's time by the window. The first claim after that wins anew.
///
/// An agent runs a request only on `run_here`, and only after `outcome_store::begin` started it.
/// A request that the agent has given up on must not be asked for again.
class idempotency_claims
{
public:
    /// Says whether that incarnation of the agent is live, see `instance_directory::is_live`.
    using liveness = std::function<bool(std::string const& agent, std::string const& incarnation)>;

    idempotency_claims(claim_limits limits, liveness is_live)
        : limits_(limits), is_live_(std::move(is_live))
    {
    }

    /// Applies one log record. Records of other kinds are passed too, with no claims: their time
    /// moves the window. Offsets at or below one already applied are ignored. A jump over offsets
    /// that the log has dropped is reported with `lose_records` first.
    void apply(std::uint64_t offset, std::int64_t time_ms, std::vector<claim> const& claims,
               base::time_point now);

    /// Tells that everything up to the log's end was applied; `next` is the offset after the last
    /// record.
    void reach_end(std::uint64_t next);

    /// Tells that records were dropped by the log before they were read. Claims appended before the
    /// end is reached again are refused.
    void lose_records();

    /// Tells whether the log answers.
    void set_log_available(bool available) { log_available_ = available; }

    /// Verdict before an append: `append`, `attach`, `refuse_unknown` or `refuse_not_run`. A known
    /// winner is answered without the log.
    claim_verdict before_append(std::string const& workspace, std::string const& key,
                                base::time_point now) const;

    /// Verdict for a request whose claim was sent to the log at `appended_at`, acknowledged or not.
    claim_verdict after_append(claim const& own, base::time_point appended_at,
                               base::time_point now) const;

    /// Changes the window when a configuration comes into force.
    void set_window(base::duration window) { limits_.window = window; }

    std::size_t size() const { return winners_.size(); }
    std::uint64_t next_offset() const { return next_offset_; }

private:
    struct winner
    {
        std::uint64_t offset = 0;
        std::int64_t time_ms = 0;
        base::time_point read_at;
        /// False if an earlier claim may have been missed or dropped.
        bool certain = false;
        std::string request;
        std::string agent;
        std::string incarnation;
    };

    claim_verdict follow(winner const& it) const;
    void expire();
    void drop_oldest();

    claim_limits limits_;
    liveness is_live_;
    bool log_available_ = true;
    std::uint64_t next_offset_ = 0;
    /// Offset from which on no earlier claim can be missing; none until the end was reached.
    std::optional<std::uint64_t> certain_from_;
    std::int64_t log_time_ms_ = 0;
    /// Log time until which a dropped winner would still count.
    std::int64_t dropped_until_ms_ = 0;
    std::unordered_map<std::string, winner> winners_;
    std::deque<std::pair<std::uint64_t, std::string>> order_;
};

} // namespace savorymount::deduplication
