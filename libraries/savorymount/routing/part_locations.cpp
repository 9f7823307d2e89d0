#include <savorymount/base/digest.hpp>
#include <savorymount/routing/part_locations.hpp>

#include <algorithm>
#include <string_view>
#include <utility>

namespace savorymount::routing
{
namespace
{

using namespace std::chrono_literals;

// Engines evict the least recently used parts; a part not used for this long is probably evicted.
constexpr base::duration assignment_lifetime = 12s;
// If the store has not reported a part by then, the write failed.
constexpr base::duration store_write_retry_interval = 2500ms;
// Shorter than the lifetime, so that an assignment is reported again before it expires at other
// instances.
constexpr base::duration report_interval = 4s;
constexpr std::size_t max_digests = 20'000;
constexpr std::size_t max_stored_parts = 200'000;

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

bool part_locations::record_assignment(base::time_point now, std::uint64_t digest,
                                       std::string const& engine)
{
    auto const [it, added] = assignments_.try_emplace(digest);
    if (added)
        digest_order_.push_back(digest);
    auto& holders = it->second;
    bool recently_reported = false;
    for (auto const& old : holders)
        recently_reported = recently_reported || (old.engine == engine && is_valid(now, old) &&
                                                  now - old.assigned_at < report_interval);
    std::erase_if(holders, [&](assignment const& old)
                  { return old.engine == engine || !is_valid(now, old); });
    holders.push_back({engine, engine_epoch(engine), now});
    while (digest_order_.size() > max_digests)
    {
        assignments_.erase(digest_order_.front());
        digest_order_.pop_front();
    }
    return !recently_reported;
}

std::size_t part_locations::cached_prefix_length(base::time_point now,
                                                 std::vector<std::uint64_t> const& digests,
                                                 std::string const& engine) const
{
    std::size_t n = 0;
    while (n < digests.size() && is_cached(now, digests[n], engine))
        ++n;
    return n;
}

prefix_holders part_locations::find_prefix_holders(base::time_point now,
                                                   std::vector<std::uint64_t> const& digests) const
{
    std::vector<prefix_holder> out;
    std::unordered_map<std::string_view, std::size_t> position_of;
    for (std::size_t n = 0; n < digests.size(); ++n)
    {
        auto const found = assignments_.find(digests[n]);
        if (found == assignments_.end())
            break;
        for (auto const& it : found->second)
        {
            if (!is_valid(now, it))
                continue;
            if (n == 0)
            {
                position_of.emplace(it.engine, out.size());
                out.push_back({it.engine, 1, now - it.assigned_at});
                continue;
            }
            auto const known = position_of.find(it.engine);
            if (known != position_of.end() && out[known->second].cached_parts == n)
                ++out[known->second].cached_parts;
        }
    }
    return prefix_holders(std::move(out));
}

void part_locations::record_stored(std::string const& salt, std::string const& part)
{
    if (stored_parts_.size() >= max_stored_parts)
        stored_parts_.clear();
    stored_parts_.insert(store_key(salt, part));
}

void part_locations::record_evicted(std::string const& salt, std::string const& part)
{
    stored_parts_.erase(store_key(salt, part));
}

bool part_locations::begin_store_write(base::time_point now, std::uint64_t digest)
{
    if (store_writes_.size() >= max_digests)
        store_writes_.clear();
    auto const [it, added] = store_writes_.try_emplace(digest, now);
    if (!added && now - it->second < store_write_retry_interval)
        return false;
    it->second = now;
    return true;
}

bool part_locations::is_stored(std::string const& salt, std::string const& part) const
{
    return stored_parts_.contains(store_key(salt, part));
}

std::uint64_t part_locations::engine_epoch(std::string const& engine) const
{
    auto const it = engine_epochs_.find(engine);
    return it == engine_epochs_.end() ? 0 : it->second;
}

bool part_locations::is_valid(base::time_point now, assignment const& it) const
{
    return it.recorded_epoch == engine_epoch(it.engine) &&
           now - it.assigned_at < assignment_lifetime;
}

bool part_locations::is_cached(base::time_point now, std::uint64_t digest,
                               std::string const& engine) const
{
    auto const it = assignments_.find(digest);
    if (it == assignments_.end())
        return false;
    return std::any_of(it->second.begin(), it->second.end(),
                       [&](assignment const& candidate)
                       { return candidate.engine == engine && is_valid(now, candidate); });
}

} // namespace savorymount::routing
