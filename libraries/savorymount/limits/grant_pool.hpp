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

/// Request a grant of up to `tokens` tokens, and at least `min_tokens`, from the owner under
/// `fencing_token`. `min_tokens` is 0 if no request needs the tokens yet.
struct request_grant
{
    std::uint64_t request_id = 0;
    std::uint64_t fencing_token = 0;
    std::uint64_t tokens = 0;
    std::uint64_t min_tokens = 0;

    bool operator==(request_grant const&) const = default;
};

/// Report the usage of a grant to the owner under `fencing_token`. The values are totals, so a
/// repeated report, or a lost one that is followed by another, does no harm.
struct report_usage
{
    std::uint64_t fencing_token = 0;
    std::uint64_t grant_id = 0;
    std::uint64_t used = 0;
    std::uint64_t unused = 0;

    bool operator==(report_usage const&) const = default;
};

using grant_action = std::variant<request_grant, report_usage>;

/// Result of one attempt to admit a request.
struct admission
{
    enum class decision
    {
        /// Tokens are reserved under `reservation`.
        admitted,
        /// A grant is requested. Retry after `on_grant_received` or `on_grant_refused`.
        waiting,
        /// Over the rate. `retry_after` says when an attempt can succeed.
        refused,
        /// No owner is known, or it does not respond. `retry_after` is an estimate.
        unavailable,
        /// Larger than the burst: no retry can succeed.
        too_large
    };

    decision result = decision::unavailable;
    std::uint64_t reservation = 0;
    base::duration retry_after{};

    bool operator==(admission const&) const = default;
};

/// How an agent sizes the grants that it prefetches.
struct grant_sizing
{
    /// Maximum fraction of the burst in one grant, unless a single request needs more.
    double max_burst_fraction = 0.125;
    /// How much demand is prefetched, as the time for which it lasts.
    base::duration prefetch_interval = std::chrono::milliseconds(1000);
    /// Time constant of the exponentially decaying demand average.
    base::duration demand_time_constant = std::chrono::seconds(2);
    /// Reports on the same grant are combined over this time.
    base::duration report_interval = std::chrono::milliseconds(250);
    /// A grant request without a response after this time counts as failed.
    base::duration request_timeout = std::chrono::milliseconds(1000);
};

/// The token grants that one agent holds for a workspace: admits requests from them and reports
/// usage to the owner.
///
/// After each call, and at each tick, the caller takes `take_actions(now)` and performs them.
class grant_pool
{
public:
    grant_pool(std::uint64_t rate, std::uint64_t burst, limit_timing timing = {},
               grant_sizing sizing = {});

    /// Applies a new configuration.
    void configure(std::uint64_t rate, std::uint64_t burst);

    /// Sets the newest fencing token of the workspace; `reachable` is false while the workspace has
    /// no reachable owner. Grants under older tokens are dropped. A token older than the known one
    /// is ignored.
    void on_owner_changed(base::time_point now, std::uint64_t fencing_token, bool reachable);

    /// Reserves the maximum usage `tokens` of a request. Retries of the same request after
    /// `waiting` pass `first_attempt` = false, so that its demand counts once.
    admission admit(base::time_point now, std::uint64_t tokens, bool first_attempt = true);

    /// Records that a running request has used `used` tokens so far: the prompt from the start, and
    /// what was generated. Only the rest of its reservation counts against the burst from then on.
    void record_progress(base::time_point now, std::uint64_t reservation, std::uint64_t used);

    /// Ends a reservation. `used` is prompt and response, or zero if the request did not run.
    void complete(base::time_point now, std::uint64_t reservation, std::uint64_t used);

    /// Responses of the owner to `request_grant`. The lifetime of a grant counts from its request,
    /// so a late response leaves less of it.
    void on_grant_received(base::time_point now, std::uint64_t request_id,
                           token_grant const& received);
    void on_grant_refused(base::time_point now, std::uint64_t request_id,
                          base::duration retry_after);
    /// The request failed: the connection was lost, or the receiver is not the owner.
    void on_grant_failed(base::time_point now, std::uint64_t request_id);

    /// The messages to send now; each is returned once.
    std::vector<grant_action> take_actions(base::time_point now);

    /// When the next tick is due, if any.
    std::optional<base::time_point> next_tick() const;

    /// Tokens that can be admitted now without requesting a grant.
    std::uint64_t available(base::time_point now);
    std::uint64_t fencing_token() const { return fencing_token_; }

private:
    struct held_grant
    {
        token_grant issued;
        base::time_point expiry;
        /// Tokens from which requests can be admitted.
        std::uint64_t free = 0;
        /// Reserved tokens of running requests.
        std::uint64_t running = 0;
        std::uint64_t used = 0;
        std::uint64_t unused = 0;
        bool closed = false;
        std::optional<base::time_point> report_due;
    };

    /// The part of a reservation that comes from one grant.
    struct reservation_part
    {
        std::uint64_t grant_key = 0;
        std::uint64_t tokens = 0;
        /// Already recorded as used.
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
    void request_tokens(base::time_point now, std::uint64_t missing_tokens);
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
    /// Tokens of admission attempts, decaying over `demand_time_constant`.
    double demand_tokens_ = 0;
    base::time_point demand_updated_{};
    /// In order of arrival.
    std::map<std::uint64_t, held_grant> grants_;
    std::uint64_t next_grant_key_ = 1;
    std::unordered_map<std::uint64_t, std::vector<reservation_part>> reservations_;
    std::uint64_t next_reservation_ = 1;
    std::optional<pending_request> pending_request_;
    /// Requests that timed out or failed, whose responses may still arrive.
    std::deque<pending_request> late_requests_;
    std::uint64_t next_request_id_ = 1;
    /// Until `refused_until_` the owner has fewer than `refused_tokens_` tokens available.
    base::time_point refused_until_{};
    std::uint64_t refused_tokens_ = 0;
    base::time_point prefetch_refused_until_{};
    base::time_point unavailable_until_{};
};

} // namespace savorymount::limits
