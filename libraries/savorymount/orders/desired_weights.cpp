#include <savorymount/orders/desired_weights.hpp>

namespace savorymount::orders
{
namespace
{

using namespace std::chrono_literals;

// Operators leave at least this much time between two versions. Used to estimate the publication
// time of versions that this instance has not seen.
constexpr base::duration min_version_interval = 3s;

} // namespace

void desired_weights::add_version(std::string const& model, std::uint64_t version,
                                  base::time_point not_before)
{
    published_at_[model].try_emplace(version, not_before);
}

std::uint64_t desired_weights::newest_version(std::string const& model) const
{
    auto const it = published_at_.find(model);
    return it == published_at_.end() ? 0 : it->second.rbegin()->first;
}

std::optional<base::time_point> desired_weights::superseded_since(std::string const& model,
                                                                  std::uint64_t version) const
{
    auto const all = published_at_.find(model);
    if (all == published_at_.end())
        return std::nullopt;
    auto const next = all->second.upper_bound(version);
    if (next == all->second.end())
        return std::nullopt;
    // Every version that is newer than a known one was published after the read that showed the
    // latter, so `next` bounds those between the two as well.
    if (next != all->second.begin())
        return next->second;
    // The versions between the two were published before `next`.
    auto const unseen_versions = static_cast<std::int64_t>(next->first - version - 1);
    return next->second - unseen_versions * min_version_interval;
}

} // namespace savorymount::orders
