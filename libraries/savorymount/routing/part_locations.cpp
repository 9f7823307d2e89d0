#include <savorymount/base/digest.hpp>
#include <savorymount/routing/part_locations.hpp>

#include <algorithm>

namespace savorymount::routing
{
namespace
{

using namespace std::chrono_literals;

// Engines drop the least recently used parts; what was not used for this long is probably gone.
constexpr base::duration sighting_lifetime = 12s;
// A part that the store does not tell of after this long was not taken.
constexpr base::duration store_retry = 2500ms;
// Part of the lifetime after which a sighting is told again.
constexpr base::duration telling_interval = 4s;
constexpr std::size_t most_digests = 20'000;
constexpr std::size_t most_stored_parts = 200'000;

std::string store_key(std::string const& salt, std::string const& part)
{
    return salt + '/' + part;
}

} // namespace

std::vector<std::uint64_t> part_digests(std::string const& salt,
                                        std::vector<prompt_part> const& parts)
{
    std::vector<std::uint64_t> out;
    auto digest = base::chain_digest(0, salt);
    for (auto const& it : parts)
    {
        digest = base::chain_digest(digest, it.id);
        out.push_back(digest);
    }
    return out;
}

bool part_locations::read_by(base::time_point now, std::uint64_t digest, std::string const& engine)
{
    auto const [it, added] = sightings_.try_emplace(digest);
    if (added)
        order_.push_back(digest);
    auto& all = it->second;
    bool known = false;
    for (auto const& old : all)
        known =
            known || (old.engine == engine && valid(now, old) && now - old.at < telling_interval);
    std::erase_if(all,
                  [&](sighting const& old) { return old.engine == engine || !valid(now, old); });
    all.push_back({engine, epoch_of(engine), now});
    while (order_.size() > most_digests)
    {
        sightings_.erase(order_.front());
        order_.pop_front();
    }
    return !known;
}

std::size_t part_locations::held_by(base::time_point now, std::vector<std::uint64_t> const& digests,
                                    std::string const& engine) const
{
    std::size_t n = 0;
    while (n < digests.size() && holds(now, digests[n], engine))
        ++n;
    return n;
}

std::optional<part_holder> part_locations::longest_holder(base::time_point now,
                                                          std::vector<std::uint64_t> const& digests,
                                                          std::string const& except) const
{
    std::optional<part_holder> best;
    auto const first = digests.empty() ? sightings_.end() : sightings_.find(digests[0]);
    if (first == sightings_.end())
        return best;
    for (auto const& it : first->second)
    {
        if (it.engine == except)
            continue;
        auto const held = held_by(now, digests, it.engine);
        if (held > 0 && (!best || held >= best->parts))
            best = part_holder{it.engine, held, now - it.at};
    }
    return best;
}

void part_locations::stored(std::string const& salt, std::string const& part)
{
    if (stored_.size() >= most_stored_parts)
        stored_.clear();
    stored_.insert(store_key(salt, part));
}

void part_locations::dropped(std::string const& salt, std::string const& part)
{
    stored_.erase(store_key(salt, part));
}

bool part_locations::send_to_store(base::time_point now, std::uint64_t digest)
{
    if (sent_to_store_.size() >= most_digests)
        sent_to_store_.clear();
    auto const [it, added] = sent_to_store_.try_emplace(digest, now);
    if (!added && now - it->second < store_retry)
        return false;
    it->second = now;
    return true;
}

bool part_locations::in_store(std::string const& salt, std::string const& part) const
{
    return stored_.contains(store_key(salt, part));
}

std::uint64_t part_locations::epoch_of(std::string const& engine) const
{
    auto const it = epochs_.find(engine);
    return it == epochs_.end() ? 0 : it->second;
}

bool part_locations::valid(base::time_point now, sighting const& it) const
{
    return it.epoch == epoch_of(it.engine) && now - it.at < sighting_lifetime;
}

bool part_locations::holds(base::time_point now, std::uint64_t digest,
                           std::string const& engine) const
{
    auto const it = sightings_.find(digest);
    if (it == sightings_.end())
        return false;
    return std::any_of(it->second.begin(), it->second.end(),
                       [&](sighting const& one)
                       { return one.engine == engine && valid(now, one); });
}

} // namespace savorymount::routing
