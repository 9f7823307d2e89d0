#pragma once

#include <savorymount/base/time.hpp>
#include <savorymount/routing/upstream_id.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace savorymount::routing
{

struct cache_hints_options
{
    /// Number of digests that are remembered, rounded up to a power of two.
    std::size_t max_digests = std::size_t{1} << 18;
    /// Age at which a hint is forgotten.
    base::duration max_age = std::chrono::seconds(30);
};

/// One upstream that probably holds a block.
struct cache_hint
{
    upstream_id upstream = 0;
    base::duration age{0};

    bool operator==(cache_hint const&) const = default;
};

/// Which upstreams probably hold which blocks, learned from outcomes. Bounded in memory; forgets
/// the oldest first, and everything about an upstream whose engine process changed. A hint may be
/// wrong.
class cache_hints
{
public:
    static constexpr std::size_t max_upstreams_per_digest = 8;

    /// The hints of one digest, newest first.
    struct hint_list
    {
        std::array<cache_hint, max_upstreams_per_digest> hints;
        std::size_t size = 0;

        cache_hint const* begin() const { return hints.data(); }
        cache_hint const* end() const { return hints.data() + size; }
    };

    explicit cache_hints(cache_hints_options const& options);

    /// Records that `upstream` holds these blocks.
    void add(base::time_point now, std::span<std::uint64_t const> digests, upstream_id upstream);

    /// Records that `upstream` doesn't hold these blocks.
    void remove(std::span<std::uint64_t const> digests, upstream_id upstream);

    /// Notes the process id of the engine behind `upstream`. On a new one, drops its hints and
    /// returns true. The id of the process before the current one is ignored, since reports may
    /// arrive late.
    bool update_engine_process(base::time_point now, upstream_id upstream,
                               std::string_view process_id);

    /// Drops everything known about an upstream, for example when its handle is released.
    void remove_upstream(base::time_point now, upstream_id upstream);

    /// The upstreams that probably hold the block.
    hint_list find(base::time_point now, std::uint64_t digest) const;

    /// Number of digests with at least one slot in use, including outdated ones.
    std::size_t size() const { return used_entries_; }

    /// Memory held by the table and the state per upstream.
    std::size_t memory_bytes() const;

private:
    static constexpr std::size_t ways_per_set = 8;

    struct slot
    {
        upstream_id upstream = 0;
        /// Low bits of the time of learning in milliseconds; zero marks a free slot.
        std::uint32_t timestamp_ms = 0;
    };
    struct digest_entry
    {
        std::uint64_t digest = 0;
        std::array<slot, max_upstreams_per_digest> slots;
    };
    struct engine_state
    {
        std::uint64_t current_process = 0;
        std::uint64_t previous_process = 0;
        /// Hints learned before this time are outdated, in milliseconds.
        std::int64_t valid_since_ms = 0;
    };

    std::optional<std::int64_t> hint_age_ms(std::int64_t now_ms, slot const& it) const;
    digest_entry* find_entry(std::uint64_t digest);
    digest_entry const* find_entry(std::uint64_t digest) const;
    digest_entry& find_or_insert_entry(std::uint64_t digest);
    engine_state& engine_state_of(upstream_id upstream);

    std::vector<digest_entry> entries_;
    std::vector<engine_state> engines_;
    std::int64_t max_age_ms_;
    std::size_t used_entries_ = 0;
};

} // namespace savorymount::routing
