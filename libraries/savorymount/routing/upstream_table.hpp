#pragma once

#include <savorymount/base/time.hpp>
#include <savorymount/membership/upstream_record.hpp>
#include <savorymount/routing/engine_estimate.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace savorymount::routing
{

/// Load that an upstream reported in a response.
struct server_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    /// Duration of work at the moment in percent of the usual one; empty if the upstream does not
    /// tell it.
    std::optional<std::uint32_t> pace_percent;

    bool operator==(server_load const&) const = default;
};

/// Requests at one upstream and the memory that they use.
struct upstream_use
{
    std::uint32_t requests = 0;
    /// Tokens that their prompts and outputs may occupy in the engine's cache.
    double tokens = 0;

    bool operator==(upstream_use const&) const = default;
};

/// State of one upstream as known to this instance.
struct upstream_state
{
    /// Record from the list. Its weight versions are raised to newer ones from responses and
    /// weight-load orders.
    membership::upstream_record record;
    /// Weight versions in the latest record of the platform's list.
    std::map<std::string, std::uint64_t> listed_weights;
    /// The newest weight version of each model that it was ordered to load. The order may have had
    /// no effect, or may still be carried out.
    std::map<std::string, std::uint64_t> ordered_weights;
    /// Until when it is used although its entry has lapsed; empty while it is listed.
    std::optional<base::time_point> unlisted_until;

    /// Requests of this instance without a complete response.
    upstream_use local_use;
    /// Prompt tokens of this instance's requests without a first response event.
    double local_prefill_tokens = 0;
    /// Use last reported by the other instances, by instance.
    std::map<std::string, upstream_use> peer_use;
    /// Sum of `peer_use`.
    upstream_use total_peer_use;

    server_load load;
    base::time_point load_reported_at{};
    engine_estimate estimate;

    /// Requests without any response yet.
    std::uint32_t awaiting_response = 0;
    base::time_point awaiting_response_since{};
    base::time_point last_progress_at{};

    /// No new requests until then, after failures or a rejection.
    base::time_point backoff_until{};
    std::uint32_t consecutive_failures = 0;

    /// This instance may send no request before then, since the upstream named a limit.
    base::time_point limited_until{};

    /// The upstream rejected a request and wants none before then.
    base::time_point unavailable_until{};

    /// The upstream loads new weights until then.
    base::time_point loading_until{};
    /// The upstream is drained before a weight load until then: it should get no new requests.
    base::time_point draining_until{};

    /// Running and waiting requests of all instances.
    double active_requests(base::time_point now) const;
    /// Tokens that the requests of all instances occupy.
    double tokens_in_use() const;
    std::uint64_t weight_version(std::string const& model) const;
    /// Whether it has the version, loads no other one and was ordered to load no newer one.
    bool keeps_weights(base::time_point now, std::string const& model, std::uint64_t version) const;
};

/// Size of one request at an engine, in tokens; zero for services without engines.
struct request_size
{
    /// Prompt tokens that have to be prefilled.
    double prefill_tokens = 0;
    /// Tokens of the whole prompt and the longest possible output.
    double memory_tokens = 0;
    /// Whether the engine reads the whole prompt within a small part of the pause between events
    /// that callers expect.
    bool short_prompt = false;

    bool operator==(request_size const&) const = default;
};

/// An order to load weights that an upstream may still carry out.
struct open_order
{
    std::string upstream;
    std::string model;
    std::uint64_t version = 0;

    bool operator==(open_order const&) const = default;
};

/// All known upstreams, from the platform's list and from the requests of this instance.
class upstream_table
{
public:
    /// An upstream whose entry lapsed in an outage of the list writes it again within two seconds
    /// after the outage, if it runs. The outage may have lasted for up to 0.9 s, the timeout of a
    /// read, after the last failed read was sent.
    static constexpr base::duration relisting_time = std::chrono::milliseconds(2900);

    /// Applies an upstream's record from the list. Returns true if the upstream restarted under the
    /// same id.
    bool apply_listing(base::time_point now, membership::upstream_record record);

    /// Handles the removal of an upstream from the list. `unreadable_at` is set if the entry went
    /// in an outage, and is the last time at which the list was found to be unreadable.
    void remove_listing(base::time_point now, std::string const& id,
                        std::optional<base::time_point> unreadable_at);

    /// Removes the upstreams that were not listed again in time.
    void expire(base::time_point now);

    upstream_state* find(std::string const& id);
    upstream_state const* find(std::string const& id) const;
    /// Upstreams of a service that may get new requests, in the order of their ids.
    std::vector<upstream_state*> candidates(base::time_point now, std::string const& service);

    void request_sent(base::time_point now, std::string const& id, request_size const& size);
    /// Records that the first part of a response arrived.
    void response_started(base::time_point now, std::string const& id, request_size const& size);
    /// Records that another part of a response arrived.
    void response_progressed(base::time_point now, std::string const& id);
    /// Records the pause between two events of one stream.
    void event_gap_observed(base::time_point now, std::string const& id, base::duration gap);
    /// Records that a request ended. `had_response` tells whether `response_started` was called for
    /// it.
    void request_finished(std::string const& id, bool had_response, request_size const& size);

    /// Records that a connection failed or was lost.
    void connection_failed(base::time_point now, std::string const& id);
    /// The upstream said in a response that it leaves. Its process gets no new request any more,
    /// whatever the list says.
    void set_leaving(base::time_point now, std::string const& id);
    /// The upstream rejected a request and wants none before `until`, whatever it answers to
    /// earlier requests.
    void set_unavailable(std::string const& id, base::time_point until);
    /// Whether the upstream may get a request now that was placed before. True for one that is not
    /// listed any more.
    bool accepts_requests(base::time_point now, std::string const& id) const;

    /// Records that the upstream rejected a request without running it, and extends its backoff to
    /// at least `retry_after`.
    void request_rejected(base::time_point now, std::string const& id, base::duration retry_after);
    void load_reported(base::time_point now, std::string const& id, server_load const& load);
    void weights_observed(std::string const& id, std::string const& model, std::uint64_t version);
    /// The upstream was ordered to load the version; the outcome is not known.
    void load_ordered(std::string const& id, std::string const& model, std::uint64_t version);
    /// The newest order to each upstream and model that it is not known to have carried out.
    std::vector<open_order> open_orders() const;
    /// Records that the upstream rejected a request because it does not have `version`. Falls back
    /// to the version in the list.
    void weights_rejected(std::string const& id, std::string const& model, std::uint64_t version);
    /// `until` is `time_point::max()` if other instances use the whole limit of the upstream.
    void set_limited(std::string const& id, base::time_point until);
    /// The first time at which an upstream of the service that is limited or wants no request takes
    /// one of this instance; empty if there is no such upstream now.
    std::optional<base::time_point> limited_until(base::time_point now,
                                                  std::string const& service) const;
    /// Whether an upstream of the service with this software version is listed.
    bool serves_version(std::string const& service, std::string const& software_version) const;
    void set_loading(std::string const& id, base::time_point until);
    void set_draining(std::string const& id, base::time_point until);
    void set_peer_use(std::string const& peer, std::map<std::string, upstream_use> const& use);
    /// This instance's use of each upstream, for the other instances.
    std::map<std::string, upstream_use> local_use() const;

    /// Recent share of requests with short prompts among the requests of this instance that run.
    double short_request_share() const { return short_request_share_; }

    std::size_t size() const { return states_.size(); }
    std::map<std::string, upstream_state> const& all() const { return states_; }

private:
    void change_peer_use(std::string const& id, std::string const& peer, upstream_use const& use);

    /// What a process said of itself; it holds also when the list loses its entry for a while.
    struct process_notice
    {
        bool leaving = false;
        base::time_point unavailable_until{};
        base::time_point forgotten_at{};
    };

    process_notice& notice_of(upstream_state const& state, base::time_point keep_until);
    void apply_notice(upstream_state& state) const;

    void record_request_mix();

    std::map<std::string, upstream_state> states_;
    std::uint32_t prompts_ = 0;
    std::uint32_t short_prompts_ = 0;
    double short_request_share_ = 0;
    /// By name of the process.
    std::map<std::string, process_notice> notices_;
    /// The upstreams that each peer reported to use.
    std::map<std::string, std::vector<std::string>> used_by_peer_;
};

/// Whether requests wait for a response and the upstream has sent nothing for too long.
bool is_stalled(base::time_point now, upstream_state const& state);

} // namespace savorymount::routing
