#pragma once

#include <savorymount/base/time.hpp>
#include <savorymount/routing/prefix_holders.hpp>
#include <savorymount/routing/prompt_parts.hpp>

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace savorymount::routing
{

/// Chained digests of the parts of a prompt, starting from the cache salt; each digest covers its
/// part and all parts before it.
std::vector<std::uint64_t> part_digests(std::string const& salt,
                                        std::vector<prompt_part> const& parts);

/// Tracks which engines probably have which parts of prompts cached, and which parts are in the
/// cache store, as far as this instance knows.
class part_locations
{
public:
    /// Records that a request with this part was sent to the engine. Returns true if the assignment
    /// should be reported to the other instances.
    bool record_assignment(base::time_point now, std::uint64_t digest, std::string const& engine);

    /// Number of leading digests that the engine probably has cached.
    std::size_t cached_prefix_length(base::time_point now,
                                     std::vector<std::uint64_t> const& digests,
                                     std::string const& engine) const;

    /// The engines that probably have leading digests cached.
    prefix_holders find_prefix_holders(base::time_point now,
                                       std::vector<std::uint64_t> const& digests) const;

    /// Treats everything cached on the engine as lost.
    void invalidate_engine(std::string const& engine) { engine_epochs_[engine] += 1; }

    /// Record that the cache store stored or evicted a part, identified by salt and part id.
    void record_stored(std::string const& salt, std::string const& part);
    void record_evicted(std::string const& salt, std::string const& part);
    /// Drops all records of stored parts, for example after a restart of the cache store.
    void clear_stored() { stored_parts_.clear(); }

    /// Returns true if an engine should now write the part with this digest to the store, and
    /// records that. Returns false if a write was started recently, so that the store's link
    /// carries each part only once.
    bool begin_store_write(base::time_point now, std::uint64_t digest);

    bool is_stored(std::string const& salt, std::string const& part) const;

private:
    struct assignment
    {
        std::string engine;
        std::uint64_t recorded_epoch = 0;
        base::time_point assigned_at{};
    };

    std::uint64_t engine_epoch(std::string const& engine) const;
    bool is_valid(base::time_point now, assignment const& it) const;
    bool is_cached(base::time_point now, std::uint64_t digest, std::string const& engine) const;

    std::unordered_map<std::uint64_t, std::vector<assignment>> assignments_;
    /// Digests in the order of their first assignment; the oldest is dropped first.
    std::deque<std::uint64_t> digest_order_;
    std::unordered_map<std::string, std::uint64_t> engine_epochs_;
    std::unordered_set<std::string> stored_parts_;
    std::unordered_map<std::uint64_t, base::time_point> store_writes_;
};

} // namespace savorymount::routing
