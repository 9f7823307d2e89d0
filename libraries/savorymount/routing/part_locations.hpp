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
struct part_holder
{
    std::string engine;
    std::size_t parts = 0;
    /// Time since the engine last used the first of them, as far as is known.
    base::duration unused_for{};

    bool operator==(part_holder const&) const = default;
};

/// Where the parts of prompts were read or kept, as far as this instance knows.
class part_locations
{
public:
    /// An engine read a part or was sent one to read. True if the other instances should hear of
    /// it, since they may not know.
    bool read_by(base::time_point now, std::uint64_t digest, std::string const& engine);

    /// Number of leading digests that the engine probably holds.
    std::size_t held_by(base::time_point now, std::vector<std::uint64_t> const& digests,
                        std::string const& engine) const;

    /// The engine other than `except` that probably holds the most leading digests, one of the
    /// latest to be used among equals. Empty when none holds the first.
    std::optional<part_holder> longest_holder(base::time_point now,
                                              std::vector<std::uint64_t> const& digests,
                                              std::string const& except) const;

    /// An engine dropped all it held.
    void forget_engine(std::string const& engine) { epochs_[engine] += 1; }

    /// The cache store keeps or dropped a part, named by salt and part id.
    void stored(std::string const& salt, std::string const& part);
    void dropped(std::string const& salt, std::string const& part);
    /// The cache store restarted empty.
    void store_emptied() { stored_.clear(); }

    /// Notes that an engine was told to send the part with this digest to the store. False if one
    /// was told so shortly before: the store's link carries each part once.
    bool send_to_store(base::time_point now, std::uint64_t digest);

    bool in_store(std::string const& salt, std::string const& part) const;

private:
    struct sighting
    {
        std::string engine;
        std::uint64_t epoch = 0;
        base::time_point at{};
    };

    std::uint64_t epoch_of(std::string const& engine) const;
    bool valid(base::time_point now, sighting const& it) const;
    bool holds(base::time_point now, std::uint64_t digest, std::string const& engine) const;

    std::unordered_map<std::uint64_t, std::vector<sighting>> sightings_;
    /// Digests in the order of their first sightings; the oldest is dropped first.
    std::deque<std::uint64_t> order_;
    std::unordered_map<std::string, std::uint64_t> epochs_;
    std::unordered_set<std::string> stored_;
    std::unordered_map<std::uint64_t, base::time_point> sent_to_store_;
};

} // namespace savorymount::routing
