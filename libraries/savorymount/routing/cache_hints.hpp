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
    /// Capacity of the table in digests, rounded up to a power of two.
    std::size_t max_digests = std::size_t{1} << 18;
    /// Age at which a hint expires.
    base::duration max_age = std::chrono::seconds(30);
};

/// An upstream that probably has a block cached.
struct cache_hint
{
    upstream_id upstream = 0;
    base::duration age{0};

    bool operator==(cache_hint const&) const = default;
};

/// Records which upstreams probably have which blocks cached, based on request outcomes. The table
/// has a fixed size and evicts the oldest entry of a set first. All hints for an upstream are
/// dropped when its engine process changes. A hint may be wrong.
class cache_hints
{
public:
    static constexpr std::size_t max_upstreams_per_digest = 8;

    /// The hints for one digest, newest first.
    struct hint_list
    {
        std::array<cache_hint, max_upstreams_per_digest> hints;
        std::size_t size = 0;

        cache_hint const* begin() const { return hints.data(); }
        cache_hint const* end() const { return hints.data() + size; }
    };

    explicit cache_hints(cache_hints_options const& options);

    /// Records that `upstream` has these blocks cached.
    void add(base::time_point now, std::span<std::uint64_t const> digests, upstream_id upstream);

    /// Records that `upstream` doesn't have these blocks cached.
    void remove(std::span<std::uint64_t const> digests, upstream_id upstream);

    /// Records the process id of the engine behind `upstream`. If the process is new, drops the
    /// hints for the upstream and returns true. The id of the previous process is ignored, since
    /// reports may arrive late.
    bool update_engine_process(base::time_point now, upstream_id upstream,
                               std::string_view process_id);

    /// Drops all hints and the process id of an upstream, for example when its handle is released.
    void remove_upstream(base::time_point now, upstream_id upstream);

    /// Returns the upstreams that probably have the block cached.
    hint_list find(base::time_point now, std::uint64_t digest) const;

    /// Number of digests with at least one hint, including expired hints.
    std::size_t size() const { return used_entries_; }

    /// Memory used by the table and the state per upstream.
    std::size_t memory_bytes() const;

private:
    static constexpr std::size_t ways_per_set = 8;

    struct slot
    {
        upstream_id upstream = 0;
        /// Low 32 bits of the time when the hint was added, in milliseconds; zero marks a free
        /// slot.
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
        /// Hints added before this time are invalid.
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
