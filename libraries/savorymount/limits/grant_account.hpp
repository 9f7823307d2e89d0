#pragma once

#include <savorymount/base/error.hpp>
#include <savorymount/base/time.hpp>
#include <savorymount/limits/limit_timing.hpp>
#include <savorymount/limits/token_grant.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace savorymount::limits
{

/// Ask the owner under `fence` for up to `tokens` tokens, and at least `least`; `least` is 0 if no
/// request needs the tokens yet.
struct ask_for_grant
{
    std::uint64_t request = 0;
    std::uint64_t fence = 0;
    std::uint64_t tokens = 0;
    std::uint64_t least = 0;

    bool operator==(ask_for_grant const&) const = default;
};

/// Report on a grant to the owner under `fence`. The values are totals: sending one twice, or
/// losing one that a later one follows, does no harm.
struct report_use
{
    std::uint64_t fence = 0;
    std::uint64_t grant_id = 0;
    std::uint64_t used = 0;
    std::uint64_t unused = 0;

    bool operator==(report_use const&) const = default;
};

using grant_action = std::variant<ask_for_grant, report_use>;

/// Answer to one attempt to admit a request.
struct admission
{
    enum class verdict
    {
        /// Tokens are reserved under `reservation`.
        admitted,
        /// A grant has been asked for. Try again after `grant_received` or `grant_refused`.
        waiting,
        /// Not within the rate now. `retry_after` says when an attempt can succeed.
        refused,
        /// No owner is known or it does not answer. `retry_after` is a guess.
        unavailable,
        /// Larger than the burst: no retry can succeed.
        too_large
    };

    verdict result = verdict::unavailable;
    std::uint64_t reservation = 0;
    base::duration retry_after{};

    bool operator==(admission const&) const = default;
};

/// Sizes of the grants that an agent draws ahead of need.
struct grant_sizing
{
    /// Largest part of the burst in one grant, unless a single request needs more.
    double burst_fraction = 0.125;
    /// How much of its recent demand an agent draws at once.
    base::duration ahead = std::chrono::milliseconds(1000);
    /// Memory of the demand average.
    base::duration demand_memory = std::chrono::seconds(2);
    /// Reports on the same grant are combined over this time.
    base::duration report_interval = std::chrono::milliseconds(250);
    /// An ask that has no answer after this time counts as lost.
    base::duration ask_timeout = std::chrono::milliseconds(1000);
};

/// One workspace's grants at one agent: admits requests from them and keeps the owner informed.
///
/// After each call, and at each tick, the caller takes `actions(now)` and carries them out.
class grant_account
{
public:
    grant_account(std::uint64_t rate, std::uint64_t burst, limit_timing timing = {},
                  grant_sizing sizing = {});

    /// Takes over the values of a new configuration.
    void configure(std::uint64_t rate, std::uint64_t burst);

    /// The newest fencing token known for the workspace; `reachable` is false while the workspace
    /// has no owner. Grants under older tokens are dropped. Older tokens than known are ignored.
    void owner_known(base::time_point now, std::uint64_t fence, bool reachable);

    /// Reserves the worst case `tokens` of a request. Repeated attempts of the same request after
    /// `waiting` pass `first_attempt` = false, so that they do not count as demand twice.
    admission admit(base::time_point now, std::uint64_t tokens, bool first_attempt = true);

    /// `used` tokens of a running request are certainly used: the prompt from the start, and what
    /// has been generated. The rest of the reservation alone counts against the burst from then on.
    void progress(base::time_point now, std::uint64_t reservation, std::uint64_t used);

    /// Ends a reservation with the `used` tokens (prompt and response, or zero if it did not run).
    void complete(base::time_point now, std::uint64_t reservation, std::uint64_t used);

    /// The owner's answers to `ask_for_grant`. Late answers count from when the ask was made.
    void grant_received(base::time_point now, std::uint64_t request, token_grant const& received);
    void grant_refused(base::time_point now, std::uint64_t request, base::duration retry_after);
    /// The ask got no answer (connection lost, or the receiver is not the owner).
    void grant_failed(base::time_point now, std::uint64_t request);

    /// What to send now.
    std::vector<grant_action> actions(base::time_point now);

    /// When the next tick is due, if anything is open.
    std::optional<base::time_point> next_tick() const;

    /// Tokens that can be admitted now without asking.
    std::uint64_t available(base::time_point now);
    std::uint64_t fence() const { return fence_; }

private:
    struct held
    {
        token_grant issued;
        base::time_point expiry;
        /// Tokens that can still be admitted.
        std::uint64_t free = 0;
        /// Tokens of running requests.
        std::uint64_t running = 0;
        std::uint64_t used = 0;
        std::uint64_t unused = 0;
        bool closed = false;
        std::optional<base::time_point> report_due;
    };

    /// The part of a reservation that comes from one grant.
    struct part
    {
        std::uint64_t key = 0;
        std::uint64_t tokens = 0;
        /// Already counted as used.
        std::uint64_t used = 0;
    };

    struct open_ask
    {
        std::uint64_t request = 0;
        base::time_point asked;
        std::uint64_t tokens = 0;
        std::uint64_t least = 0;
        bool sent = false;
    };

    void advance(base::time_point now);
    void ask_lost(base::time_point now);
    void close(base::time_point now, held& it);
    void report_later(base::time_point now, held& it);
    void close_if_used_up(base::time_point now, held& it);
    void note_demand(base::time_point now, std::uint64_t tokens);
    void ask(base::time_point now, std::uint64_t missing);
    void ask_ahead(base::time_point now);
    std::uint64_t ahead_tokens(base::time_point now) const;
    std::uint64_t free_tokens(base::time_point until) const;
    std::uint64_t reserve(base::time_point now, std::uint64_t tokens);
    std::optional<open_ask> take_ask(std::uint64_t request);

    std::uint64_t rate_;
    std::uint64_t burst_;
    limit_timing timing_;
    grant_sizing sizing_;
    std::uint64_t fence_ = 0;
    bool reachable_ = false;
    /// Tokens asked for by requests, decaying over `demand_memory`.
    double demand_tokens_ = 0;
    base::time_point demand_updated_{};
    /// In order of arrival.
    std::map<std::uint64_t, held> grants_;
    std::uint64_t next_key_ = 1;
    std::unordered_map<std::uint64_t, std::vector<part>> reservations_;
    std::uint64_t next_reservation_ = 1;
    std::optional<open_ask> ask_;
    /// Asks without an answer so far, whose answers may still arrive.
    std::deque<open_ask> late_asks_;
    std::uint64_t next_request_ = 1;
    /// Until `refused_until_` the owner has fewer than `refused_tokens_` left.
    base::time_point refused_until_{};
    std::uint64_t refused_tokens_ = 0;
    base::time_point ahead_refused_until_{};
    base::time_point failed_until_{};
};

} // namespace savorymount::limits
