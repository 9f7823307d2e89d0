#include <savorymount/base/digest.hpp>
#include <savorymount/configuration/snapshot_policy.hpp>

#include <algorithm>
#include <utility>

namespace savorymount::configuration
{

snapshot_policy::snapshot_policy(std::string instance, base::duration retention)
    : instance_(std::move(instance)), retention_(retention)
{
}

void snapshot_policy::on_snapshot_seen(base::time_point now, base::duration age)
{
    auto const written = now - age;
    newest_snapshot_ = newest_snapshot_ ? std::max(*newest_snapshot_, written) : written;
}

void snapshot_policy::on_record(base::time_point now, base::duration age)
{
    auto const written = now - age;
    oldest_record_ = oldest_record_ ? std::min(*oldest_record_, written) : written;
}

void snapshot_policy::on_append(base::time_point now)
{
    last_append_ = now;
}

bool snapshot_policy::should_append(base::time_point now, std::uint64_t version,
                                    std::vector<std::string> const& live) const
{
    if (last_append_ && now < *last_append_ + interval() / 4)
        return false;
    auto const rank = rendezvous_rank(instance_, version, live);
    auto const since = newest_snapshot_ ? newest_snapshot_ : oldest_record_;
    if (!since)
        return rank == 0;
    auto const intervals = static_cast<base::duration::rep>(rank + 1);
    return now >= *since + interval() * intervals;
}

std::size_t rendezvous_rank(std::string const& instance, std::uint64_t seed,
                            std::vector<std::string> const& live)
{
    if (std::find(live.begin(), live.end(), instance) == live.end())
        return live.size() + 1;
    // Equal digests are ordered by name, so that no two instances share a rank.
    auto const place = [seed](std::string const& it)
    {
        return std::pair<std::uint64_t, std::string const&>(base::chain_digest(seed, it), it);
    };
    auto const own = place(instance);
    return static_cast<std::size_t>(std::count_if(
        live.begin(), live.end(), [&](std::string const& it) { return place(it) > own; }));
}

} // namespace savorymount::configuration
