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
struct request_grant
{
    std::uint64_t request_id = 0;
    std::uint64_t fencing_token = 0;
    std::uint64_t tokens = 0;
    std::uint64_t min_tokens = 0;

    bool operator==(request_grant const&) const = default;
};

/// Report on a grant to the owner under `fence`. The values are totals: sending one twice, or
/// losing one that a later one follows, does no harm.
struct report_usage
{
    std::uint64_t fencing_token = 0;
    std::uint64_t grant_id = 0;
    std::uint64_t used = 0;
    std::uint64_t unused = 0;

    bool operator==(report_usage const&) const = default;
};

using grant_action = std::variant<request_grant, report_usage>;

/// Answer to one attempt to admit a request.
struct admission
{
    enum class decision
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

    decision result = decision::unavailable;
    std::uint64_t reservation = 0;
    base::duration retry_after{};

    bool operator==(admission const&) const = default;
};

/// Sizes of the grants that an agent draws ahead of need.
struct grant_sizing
{
    /// Largest part of the burst in one grant, unless a single request needs more.
    double max_burst_fraction = 0.125;
    /// How much of its recent demand an agent draws at once.
    base::duration prefetch_interval = std::chrono::milliseconds(1000);
    /// Memory of the demand average.
    base::duration demand_time_constant = std::chrono::seconds(2);
    /// Reports on the same grant are combined over this time.
    base::duration report_interval = std::chrono::milliseconds(250);
    /// An ask that has no answer after this time counts as lost.
    base::duration request_timeout = std::chrono::milliseconds(1000);
};

/// One workspace's grants at one agent: admits requests from them and keeps the owner informed.
///
/// After each call, and at each tick, the caller takes `actions(now)` and carries them out.
class grant_pool
{
public:
    grant_pool(std::uint64_t rate, std::uint64_t burst, limit_timing timing = {},
               grant_sizing sizing = {});

    /// Takes over the values of a new configuration.
    void configure(std::uint64_t rate, std::uint64_t burst);

    /// The newest fencing token known for the workspace; `reachable` is false while the workspace
    /// has no owner. Grants under older tokens are dropped. Older tokens than known are ignored.
    void on_owner_changed(base::time_point now, std::uint64_t fencing_token, bool reachable);

    /// Reserves the worst case `tokens` of a request. Repeated attempts of the same request after
    /// `waiting` pass `first_attempt` = false, so that they do not count as demand twice.
    admission admit(base::time_point now, std::uint64_t tokens, bool first_attempt = true);

    /// `used` tokens of a running request are certainly used: the prompt from the start, and what
    /// has been generated. The rest of the reservation alone counts against the burst from then on.
    void record_progress(base::time_point now, std::uint64_t reservation, std::uint64_t used);

    /// Ends a reservation with the `used` tokens (prompt and response, or zero if it did not run).
    void complete(base::time_point now, std::uint64_t reservation, std::uint64_t used);

    /// The owner's answers to `request_grant`. Late answers count from when the ask was made.
    void on_grant_received(base::time_point now, std::uint64_t request_id,
                           token_grant const& received);
    void on_grant_refused(base::time_point now, std::uint64_t request_id,
                          base::duration retry_after);
    /// The ask got no answer (connection lost, or the receiver is not the owner).
    void on_grant_failed(base::time_point now, std::uint64_t request_id);

    /// What to send now.
    std::vector<grant_action> take_actions(base::time_point now);

    /// When the next tick is due, if anything is open.
    std::optional<base::time_point> next_tick() const;

    /// Tokens that can be admitted now without asking.
    std::uint64_t available(base::time_point now);
    std::uint64_t fencing_token() const { return fencing_token_; }

private:
    struct held_grant
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
    struct reservation_part
    {
        std::uint64_t key = 0;
        std::uint64_t tokens = 0;
        /// Already counted as used.
        std::uint64_t used = 0;
    };

    struct pending_request
    {
        std::uint64_t request_id = 0;
        base::time_point requested_at;
        std::uint64_t tokens = 0;
        std::uint64_t min_tokens = 0;
        bool sent = false;
    };

    void advance(base::time_point now);
    void fail_request(base::time_point now);
    void close(base::time_point now, held_grant& it);
    void schedule_report(base::time_point now, held_grant& it);
    void close_if_used_up(base::time_point now, held_grant& it);
    void record_demand(base::time_point now, std::uint64_t tokens);
    void request_tokens(base::time_point now, std::uint64_t missing);
    void prefetch(base::time_point now);
    std::uint64_t prefetch_tokens(base::time_point now) const;
    std::uint64_t free_tokens(base::time_point until) const;
    std::uint64_t reserve(base::time_point now, std::uint64_t tokens);
    std::optional<pending_request> remove_request(std::uint64_t request_id);

    std::uint64_t rate_;
    std::uint64_t burst_;
    limit_timing timing_;
    grant_sizing sizing_;
    std::uint64_t fencing_token_ = 0;
    bool reachable_ = false;
    /// Tokens asked for by requests, decaying over `demand_memory`.
    double demand_tokens_ = 0;
    base::time_point demand_updated_{};
    /// In order of arrival.
    std::map<std::uint64_t, held_grant> grants_;
    std::uint64_t next_key_ = 1;
    std::unordered_map<std::uint64_t, std::vector<reservation_part>> reservations_;
    std::uint64_t next_reservation_ = 1;
    std::optional<pending_request> pending_;
    /// Asks without an answer so far, whose answers may still arrive.
    std::deque<pending_request> late_requests_;
    std::uint64_t next_request_id_ = 1;
    /// Until `refused_until_` the owner has fewer than `refused_tokens_` left.
    base::time_point refused_until_{};
    std::uint64_t refused_tokens_ = 0;
    base::time_point prefetch_refused_until_{};
    base::time_point failed_until_{};
};

} // namespace savorymount::limits
