#pragma once

#include <savorymount/base/time.hpp>
#include <savorymount/routing/prompt_parts.hpp>

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace savorymount::routing
{

/// Digests of the parts of a prompt under one cache salt; each covers all parts before it.
std::vector<std::uint64_t> part_digests(std::string const& salt,
                                        std::vector<prompt_part> const& parts);

/// An engine and the number of leading parts that it holds.
struct prefix_holder
{
    std::string engine;
    std::size_t held_parts = 0;
    /// Time since the engine last used the first of them, as far as is known.
    base::duration unused_for{};

    bool operator==(prefix_holder const&) const = default;
};

/// Where the parts of prompts were read or kept, as far as this instance knows.
class part_locations
{
public:
    /// An engine read a part or was sent one to read. True if the other instances should hear of
    /// it, since they may not know.
    bool record_assignment(base::time_point now, std::uint64_t digest, std::string const& engine);

    /// Number of leading digests that the engine probably holds.
    std::size_t cached_prefix_length(base::time_point now,
                                     std::vector<std::uint64_t> const& digests,
                                     std::string const& engine) const;

    /// The engine other than `excluded_engine` that probably holds the most leading digests, one of
    /// the latest to be used among equals. Empty when none holds the first.
    std::optional<prefix_holder> longest_prefix_holder(base::time_point now,
                                                       std::vector<std::uint64_t> const& digests,
                                                       std::string const& excluded_engine) const;

    /// An engine dropped all it held.
    void invalidate_engine(std::string const& engine) { engine_epochs_[engine] += 1; }

    /// The cache store keeps or dropped a part, named by salt and part id.
    void record_stored(std::string const& salt, std::string const& part);
    void record_evicted(std::string const& salt, std::string const& part);
    /// The cache store restarted empty.
    void clear_stored() { stored_parts_.clear(); }

    /// Notes that an engine was told to send the part with this digest to the store. False if one
    /// was told so shortly before: the store's link carries each part once.
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
    /// Digests in the order of their first sightings; the oldest is dropped first.
    std::deque<std::uint64_t> digest_order_;
    std::unordered_map<std::string, std::uint64_t> engine_epochs_;
    std::unordered_set<std::string> stored_parts_;
    std::unordered_map<std::uint64_t, base::time_point> store_writes_;
};

} // namespace savorymount::routing
