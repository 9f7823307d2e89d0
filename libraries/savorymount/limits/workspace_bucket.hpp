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

/// Token bucket of one workspace at the agent that owns it.
///
/// `level() + outstanding() + reclaimable() <= burst` always holds; refill stops at that bound.
class workspace_bucket
{
public:
    enum class start_level
    {
        empty,
        full
    };

    /// `rate` in tokens per second, `burst` in tokens, `fencing_token` of the lease under which the
    /// bucket grants.
    workspace_bucket(base::time_point now, std::uint64_t fencing_token, std::uint64_t rate,
                     std::uint64_t burst, start_level start, limit_timing timing = {});

    /// Grants up to `tokens` tokens, and at least `min_tokens`, which is 0 for a prefetch. Tokens
    /// beyond `min_tokens` come only from the level above a quarter of the burst. Returns nothing
    /// if fewer than `min_tokens` or no tokens can be granted; `retry_after` then says when to
    /// retry, and is zero if a retry never succeeds (`min_tokens` above the burst).
    std::optional<token_grant> grant(base::time_point now, std::uint64_t tokens,
                                     std::uint64_t min_tokens, base::duration& retry_after);

    /// Applies a usage report on a grant. `used` and `unused` are totals since the grant was
    /// issued, so repeated or reordered reports do no harm. Unused tokens return to the level, also
    /// after the grant has expired, as long as they are reclaimable. Usage above the grant's tokens
    /// is debited from the level, which may become negative. Returns false for an unknown id.
    bool apply_usage_report(base::time_point now, std::uint64_t grant_id, std::uint64_t used,
                            std::uint64_t unused);

    /// Applies a new configuration. Tokens above a smaller burst are dropped.
    void configure(base::time_point now, std::uint64_t rate, std::uint64_t burst);

    /// Time until `tokens` tokens are available if nothing else is granted; nothing if never (above
    /// the burst).
    std::optional<base::duration> time_until_available(base::time_point now, std::uint64_t tokens);

    /// True when no agent can admit requests from a grant of this bucket any more.
    bool all_grants_expired(base::time_point now);

    /// Available tokens; negative after usage above a grant.
    std::int64_t level(base::time_point now);
    /// Tokens in grants from which agents may still admit requests.
    std::uint64_t outstanding(base::time_point now);
    /// Tokens of expired grants whose usage has not been reported yet. Refill replaces them.
    std::uint64_t reclaimable(base::time_point now);
    std::uint64_t burst() const { return burst_; }
    std::uint64_t rate() const { return rate_; }
    std::uint64_t fencing_token() const { return fencing_token_; }

private:
    struct issued_grant
    {
        std::uint64_t tokens = 0;
        /// Reported totals.
        std::uint64_t used = 0;
        std::uint64_t unused = 0;
        /// Tokens that are neither reported nor replaced.
        std::uint64_t unaccounted = 0;
        /// Tokens that refill has replaced. They count as used.
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
    /// In millionths of a token, so that refill over microseconds does not round.
    std::int64_t level_micro_ = 0;
    std::uint64_t outstanding_ = 0;
    std::uint64_t reclaimable_ = 0;
    base::time_point updated_at_;
    std::uint64_t next_id_ = 1;
    std::unordered_map<std::uint64_t, issued_grant> grants_;
    /// Grant ids in order of expiry; ids of completely reported grants are removed at the front.
    std::deque<std::uint64_t> unexpired_ids_;
    std::deque<std::uint64_t> expired_ids_;
};

} // namespace savorymount::limits
