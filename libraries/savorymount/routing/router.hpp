#pragma once

#include <savorymount/base/random_source.hpp>
#include <savorymount/routing/cache_hints.hpp>
#include <savorymount/routing/placement_prefixes.hpp>
#include <savorymount/routing/prefix_work.hpp>
#include <savorymount/routing/route_request.hpp>
#include <savorymount/routing/upstream_load.hpp>
#include <savorymount/routing/upstream_work.hpp>

#include <array>
#include <optional>
#include <string_view>
#include <vector>

namespace savorymount::routing
{

struct router_options
{
    cache_hints_options hints;
    /// Age of a load report when it arrives.
    base::duration report_lag = std::chrono::milliseconds(200);
    /// Time to prefill one prompt token.
    std::chrono::nanoseconds prefill_time_per_token{100'000};
    /// Time by which each open request delays a new one.
    base::duration queue_delay_per_request = std::chrono::milliseconds(2);
    double bytes_per_token = 4.0;
    /// Cost of choosing an upstream that got twice the mean work of this router instance, as a
    /// multiple of the prefill time of the prompt.
    double overload_penalty = 2.0;
    /// Weight of prefill time relative to waiting time: prefilling a block again also delays later
    /// requests and evicts other blocks.
    double prefill_weight = 3.0;
    /// Age at which half of the hinted blocks are expected to be evicted.
    base::duration hint_half_life = std::chrono::seconds(20);
    /// Assumed cache hit rate of a prefix on the upstreams where it is placed, without a hint.
    double assumed_placement_hit_rate = 0.9;
    /// Ratio of the share of engines that a prefix is placed on to its share of the work.
    double placement_headroom = 1;
    /// Half-life of work in that share.
    base::duration work_half_life = std::chrono::seconds(30);
    /// Maximum number of upstreams that `choose` returns.
    std::size_t max_ranked_upstreams = 4;
};

/// Ranks upstreams by expected time to the first token: the prefill time of blocks that are
/// probably not cached plus the expected wait. Considers a bounded number of candidates.
class router
{
public:
    router(router_options const& options, base::random_source& random);

    ranked_upstreams choose(base::time_point now, route_request const& request,
                            candidate_set const& upstreams);

    /// Records that the request was sent to an upstream returned by `choose`.
    void sent(base::time_point now, route_request const& request, ranked_upstream const& choice);

    /// Records that the first token arrived or that the request ended without one. Call once per
    /// sent request.
    void prefill_finished(base::time_point now, ranked_upstream const& choice);

    /// Records that the request ended; call `prefill_finished` first. `process_id` identifies the
    /// engine process and is empty when unknown. `held_blocks` is the number of leading blocks that
    /// the engine has cached now, `cached_blocks` the number that was cached when prefill started;
    /// each is empty when unknown.
    void finished(base::time_point now, route_request const& request, ranked_upstream const& choice,
                  std::string_view process_id, std::optional<std::size_t> held_blocks,
                  std::optional<std::size_t> cached_blocks = std::nullopt);

    /// Records a load report. `process_id` identifies the engine process and is empty for upstreams
    /// without an engine.
    void load_reported(base::time_point now, upstream_id upstream, std::string_view process_id,
                       load_report const& load);

    /// Drops all hints, load and work of an upstream.
    void remove_upstream(base::time_point now, upstream_id upstream);

    cache_hints const& hints() const { return hints_; }
    upstream_load const& load() const { return load_; }

    /// Memory used by hints, load and work counters; candidate pools belong to the caller and are
    /// not included.
    std::size_t memory_bytes() const;

private:
    /// A candidate for the current request.
    struct scored_candidate
    {
        upstream_id upstream = 0;
        /// Expected number of leading bytes that are cached there.
        double cached_bytes = 0;
        /// Number of leading blocks that `cached_bytes` was computed from.
        std::size_t cached_blocks = 0;
        std::size_t hinted_blocks = 0;
        /// Position in the placement order; breaks ties between equal costs.
        std::size_t rank = 0;
        base::duration cost{0};
    };

    scored_candidate* add_candidate(candidate_set const& upstreams, route_request const& request,
                                    upstream_id upstream);
    void add_placed_candidates(base::time_point now, route_request const& request,
                               candidate_set const& upstreams);
    void add_sampled_candidates(route_request const& request, candidate_set const& upstreams);
    void apply_hints(base::time_point now, route_request const& request,
                     candidate_set const& upstreams);
    void apply_block_hints(base::time_point now, route_request const& request,
                           candidate_set const& upstreams, std::size_t block);
    std::size_t placement_size(base::time_point now, std::uint64_t digest, bool longest,
                               std::size_t pool_size) const;
    void compute_costs(base::time_point now, std::size_t pool_size);
    void update_busy_share(base::time_point now, std::size_t busy);
    double expected_cached_bytes(prompt_prefix const& prefix, scored_candidate const& it) const;
    void update_placement_hit_rates(prompt_prefix const& prefix, ranked_upstream const& choice,
                                    std::size_t cached);

    router_options options_;
    base::random_source& random_;
    cache_hints hints_;
    upstream_load load_;
    prefix_work prefix_work_;
    upstream_work upstream_work_;
    /// Observed cache hit rate of each placement prefix on upstreams without a hint for it.
    std::array<double, max_placement_prefixes> placement_hit_rates_;
    /// Recent share of upstreams with open requests. Scales the overload penalty, which is not
    /// needed when most upstreams are idle.
    double busy_share_ = 0;
    base::time_point busy_share_updated_at_{};
    // Buffers used within one call of `choose`, kept to avoid allocations.
    std::vector<scored_candidate> candidates_;
    std::vector<upstream_id> placed_members_;
    std::vector<load_estimate> loads_;
    std::vector<upstream_id> excluded_;
    std::vector<double> block_end_bytes_;
};

} // namespace savorymount::routing
