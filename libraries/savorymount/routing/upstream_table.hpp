#pragma once

#include <savorymount/base/time.hpp>
#include <savorymount/membership/upstream_record.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace savorymount::routing
{

/// Load that an upstream reported with an answer.
struct server_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;

    bool operator==(server_load const&) const = default;
};

/// What requests take up at one upstream.
struct upstream_use
{
    std::uint32_t requests = 0;
    /// Tokens that their prompts and answers may take up in the engine's memory.
    double tokens = 0;

    bool operator==(upstream_use const&) const = default;
};

/// What this instance believes of one upstream.
struct upstream_state
{
    /// Its weight versions are raised by what answers and orders tell.
    membership::upstream_record record;
    /// Weight versions as the list last named them.
    std::map<std::string, std::uint64_t> listed_weights;
    /// When its entry vanished from the list without a shutdown; empty while it is listed.
    std::optional<base::time_point> unlisted_at;

    /// Requests of this instance that have no complete answer.
    upstream_use local_use;
    /// Prompt tokens of this instance's requests that have no first event.
    double local_prefill_tokens = 0;
    /// What the other instances last told of, by instance.
    std::map<std::string, upstream_use> peer_use;

    server_load load;
    base::time_point load_reported_at{};

    /// Requests without any answer, and when the upstream last sent something.
    std::uint32_t unanswered = 0;
    base::time_point unanswered_since{};
    base::time_point last_progress_at{};

    /// No new request until then, after failures in a row.
    base::time_point backoff_until{};
    std::uint32_t consecutive_failures = 0;

    /// New weights are being loaded until then.
    base::time_point loading_until{};
    /// It should finish its requests and get no new ones until then.
    base::time_point draining_until{};

    /// Requests of all instances that run or wait here.
    double active_requests(base::time_point now) const;
    /// Tokens that the requests of all instances take up here.
    double tokens_in_use() const;
    std::uint64_t weight_version(std::string const& model) const;
};

/// Size of one request at an engine, in tokens; zero for plain services.
struct request_size
{
    /// Prompt tokens that have to be read.
    double prefill_tokens = 0;
    /// Tokens of the whole prompt and the longest answer.
    double memory_tokens = 0;

    bool operator==(request_size const&) const = default;
};

/// All known upstreams, from the platform's list and from this instance's own evidence.
class upstream_table
{
public:
    /// An entry that vanished while the list could not be read is kept for this long after its
    /// return, since its owner may be alive.
    static constexpr base::duration unlisted_grace = std::chrono::milliseconds(2000);

    /// The list names an upstream. True if another incarnation had its id before.
    bool apply_listing(base::time_point now, membership::upstream_record record);

    /// The list no longer names an upstream. `list_was_unavailable` tells that the list could not
    /// be read shortly before.
    void remove_listing(base::time_point now, std::string const& id, bool list_was_unavailable);

    /// Drops entries whose grace has ended.
    void expire(base::time_point now);

    upstream_state* find(std::string const& id);
    upstream_state const* find(std::string const& id) const;
    /// Upstreams of a service that may get new work, in the order of their ids.
    std::vector<upstream_state*> candidates(base::time_point now, std::string const& service);

    void dispatched(base::time_point now, std::string const& id, request_size const& size);
    /// The first part of an answer arrived.
    void answered(base::time_point now, std::string const& id, request_size const& size);
    /// More of an answer arrived.
    void progressed(base::time_point now, std::string const& id);
    /// A request ended, whether `answered` was called for it or not.
    void finished(std::string const& id, bool was_answered, request_size const& size);

    /// A connection failed or broke.
    void failed(base::time_point now, std::string const& id);
    /// The upstream refused a request as not run.
    void rejected(base::time_point now, std::string const& id, base::duration pause);
    void load_reported(base::time_point now, std::string const& id, server_load const& load);
    void weights_observed(std::string const& id, std::string const& model, std::uint64_t version);
    /// The upstream refused `version` as not its own: the list's word goes until more is known.
    void weights_rejected(std::string const& id, std::string const& model, std::uint64_t version);
    void set_loading(std::string const& id, base::time_point until);
    void set_draining(std::string const& id, base::time_point until);
    void set_peer_use(std::string const& peer, std::map<std::string, upstream_use> const& use);
    /// This instance's use of each upstream, for the other instances.
    std::map<std::string, upstream_use> local_use() const;

    std::size_t size() const { return states_.size(); }
    std::map<std::string, upstream_state> const& all() const { return states_; }

private:
    std::map<std::string, upstream_state> states_;
};

/// Whether requests have waited for this upstream's first byte for suspiciously long.
bool is_stalled(base::time_point now, upstream_state const& state);

} // namespace savorymount::routing
