#pragma once

#include <savorymount/base/time.hpp>
#include <savorymount/limits/limit_timing.hpp>
#include <savorymount/limits/token_grant.hpp>

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

namespace savorymount::limits
{

/// Token bucket of one workspace, kept by the workspace's bucket owner.
///
/// `level() + outstanding() + reclaimable() <= burst` holds at all times; refill stops at that
/// bound.
class workspace_bucket
{
public:
    enum class start_level
    {
        empty,
        full
    };

    /// `rate` in tokens per second, `burst` in tokens, `fence` of the lease under which it grants.
    workspace_bucket(base::time_point now, std::uint64_t fencing_token, std::uint64_t rate,
                     std::uint64_t burst, start_level start, limit_timing timing = {});

    /// Hands out up to `tokens` tokens, and at least `least`, which may be 0 for an ask ahead of
    /// need. Tokens beyond `least` come only from the level above a quarter of the burst.
    /// Empty if fewer than `least` or none can be handed out; `retry_after` then says when to ask
    /// again, and is zero if asking never helps (`least` above burst).
    std::optional<token_grant> grant(base::time_point now, std::uint64_t tokens,
                                     std::uint64_t min_tokens, base::duration& retry_after);

    /// Reports on a grant. `used` and `unused` are totals since the grant was handed out, so that
    /// repeated or reordered reports are harmless. Unused tokens return to the level, also after
    /// the grant's expiry while they are still reclaimable. Use above the grant's tokens is debited
    /// from the level, which may become negative. An unknown id is ignored and returns false.
    bool apply_usage_report(base::time_point now, std::uint64_t grant_id, std::uint64_t used,
                            std::uint64_t unused);

    /// Takes over the values of a new configuration. Tokens above a smaller burst are dropped.
    void configure(base::time_point now, std::uint64_t rate, std::uint64_t burst);

    /// When `tokens` tokens will be there if nothing else is granted; empty if never (above burst).
    std::optional<base::duration> time_until_available(base::time_point now, std::uint64_t tokens);

    /// True when no agent can admit from a grant of this bucket any more.
    bool all_grants_expired(base::time_point now);

    /// Tokens; negative after a use above the reservation.
    std::int64_t level(base::time_point now);
    /// Tokens in grants that agents may still admit from.
    std::uint64_t outstanding(base::time_point now);
    /// Tokens of expired grants whose use has not been reported yet. Refill replaces them.
    std::uint64_t reclaimable(base::time_point now);
    std::uint64_t burst() const { return burst_; }
    std::uint64_t rate() const { return rate_; }
    std::uint64_t fencing_token() const { return fencing_token_; }

private:
    struct issued_grant
    {
        std::uint64_t tokens = 0;
        /// Totals as reported.
        std::uint64_t used = 0;
        std::uint64_t unused = 0;
        /// Tokens whose use is neither reported nor assumed.
        std::uint64_t unaccounted = 0;
        /// Tokens that refill has replaced: they count as used.
        std::uint64_t replaced = 0;
        base::time_point expiry;
        bool expired = false;
    };

    void advance(base::time_point now);
    void refill(base::time_point until);
    void enforce_burst();
    void expire(std::uint64_t grant_id);
    void replace_reclaimable(std::uint64_t tokens);
    void erase_oldest_expired();
    void mark_accounted(issued_grant& it, std::uint64_t tokens);
    std::int64_t whole_tokens() const;

    limit_timing timing_;
    std::uint64_t fencing_token_;
    std::uint64_t rate_;
    std::uint64_t burst_;
    /// In millionths of a token, so that refill over microseconds loses nothing.
    std::int64_t level_micro_ = 0;
    std::uint64_t outstanding_ = 0;
    std::uint64_t reclaimable_ = 0;
    base::time_point updated_;
    std::uint64_t next_id_ = 1;
    std::unordered_map<std::uint64_t, issued_grant> grants_;
    /// Ids in order of expiry; settled grants are dropped when they reach the front.
    std::deque<std::uint64_t> unexpired_ids_;
    std::deque<std::uint64_t> expired_ids_;
};

} // namespace savorymount::limits
