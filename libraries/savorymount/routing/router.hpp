#pragma once

#include <savorymount/base/random_source.hpp>
#include <savorymount/routing/cache_hints.hpp>
#include <savorymount/routing/placement.hpp>
#include <savorymount/routing/prefix_work.hpp>
#include <savorymount/routing/route_request.hpp>
#include <savorymount/routing/upstream_load.hpp>
#include <savorymount/routing/upstream_share.hpp>

#include <array>
#include <optional>
#include <string_view>
#include <vector>

namespace savorymount::routing
{

struct router_options
{
    cache_hints_options hints;
    /// Lag of load reports when they arrive.
    base::duration report_lag = std::chrono::milliseconds(200);
    /// Time to compute one prompt token.
    std::chrono::nanoseconds prefill_per_token{100'000};
    /// Time by which each open request delays a new one.
    base::duration delay_per_request = std::chrono::milliseconds(2);
    double bytes_per_token = 4.0;
    /// Cost of an upstream that gets twice its share of this entry's work, in prefills of the
    /// prompt.
    double balance = 2.0;
    /// Weight of prefill against wait: computing a block again also delays later requests and
    /// evicts other blocks.
    double prefill_weight = 3.0;
    /// Age at which half of the hinted blocks are expected to be evicted.
    base::duration hint_half_life = std::chrono::seconds(20);
    /// Expected share of a prefix that the upstreams of its placement hold without a hint.
    double placed_confidence = 0.9;
    /// Engines that a prefix is placed on, relative to its share of the work.
    double placement_headroom = 1;
    /// Age at which work counts half towards that share.
    base::duration work_half_life = std::chrono::seconds(30);
    /// Length of a ranked choice.
    std::size_t ranked = 4;
};

/// Chooses the upstream with the least expected time to the first token: prefill of the blocks that
/// are probably not cached there plus expected wait. Looks at a bounded number of candidates.
class router
{
public:
    router(router_options const& options, base::random_source& random);

    ranked_choice choose(base::time_point now, route_request const& request,
                         candidates const& upstreams);

    /// The request was sent to an upstream of its choice.
    void sent(base::time_point now, route_request const& request, ranked_upstream const& choice);

    /// The first token arrived, or the request ended without one. Call once per sent request.
    void started(base::time_point now, ranked_upstream const& choice);

    /// The request ended; call `started` before. `engine` is the engine's process id, empty when
    /// unknown. `held_blocks` is the number of leading blocks that the engine holds now, and
    /// `cached_blocks` of those that were cached when prefill started; each empty when unknown.
    void finished(base::time_point now, route_request const& request, ranked_upstream const& choice,
                  std::string_view engine, std::optional<std::size_t> held_blocks,
                  std::optional<std::size_t> cached_blocks = std::nullopt);

    /// A load report with the engine's process id, which may be empty for plain services.
    void load_reported(base::time_point now, upstream_id upstream, std::string_view engine,
                       load_report const& load);

    /// Drops everything known about an upstream.
    void forget(base::time_point now, upstream_id upstream);

    cache_hints const& hints() const { return hints_; }
    upstream_load const& load() const { return load_; }

    /// Memory of hints and load state; pools are counted by their owner.
    std::size_t memory_bytes() const;

private:
    /// An upstream under consideration for the current request.
    struct considered
    {
        upstream_id upstream = 0;
        /// Expected number of leading bytes that are cached there.
        double cached_bytes = 0;
        /// Leading blocks behind `cached_bytes`.
        std::size_t blocks = 0;
        std::size_t hinted_blocks = 0;
        /// Position in the order of preference.
        std::size_t rank = 0;
        base::duration cost{0};
    };

    considered* consider(candidates const& upstreams, route_request const& request,
                         upstream_id upstream);
    void place(base::time_point now, route_request const& request, candidates const& upstreams);
    void sample(route_request const& request, candidates const& upstreams);
    void apply_hints(base::time_point now, route_request const& request,
                     candidates const& upstreams);
    void apply_hints_of_block(base::time_point now, route_request const& request,
                              candidates const& upstreams, std::size_t block);
    std::size_t wanted_members(base::time_point now, std::uint64_t digest, bool last,
                               std::size_t pool_size) const;
    void price(base::time_point now, std::size_t pool_size);
    void note_busy(base::time_point now, std::size_t busy);
    double expected_bytes(prompt_prefix const& prefix, considered const& it) const;
    void calibrate(prompt_prefix const& prefix, ranked_upstream const& choice, std::size_t cached);

    router_options options_;
    base::random_source& random_;
    cache_hints hints_;
    upstream_load load_;
    prefix_work work_;
    upstream_share shares_;
    /// Observed share of requests that found a level cached where it was placed without a hint.
    std::array<double, placement_levels> placed_hits_;
    /// Recent share of upstreams with open requests. An idle fleet needs no balance.
    double busy_share_ = 0;
    base::time_point busy_at_{};
    // Scratch space of one decision, kept to avoid allocations.
    std::vector<considered> considered_;
    std::vector<upstream_id> scope_;
    std::vector<load_estimate> loads_;
    std::vector<upstream_id> rejected_;
    std::vector<double> ends_;
};

} // namespace savorymount::routing
