#include <savorymount/orders/desired_weights.hpp>

#include <algorithm>

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
    auto const [it, added] = published_at_[model].try_emplace(version, not_before);
    it->second = std::min(it->second, not_before);
}

std::uint64_t desired_weights::newest_version(std::string const& model) const
{
    auto const it = published_at_.find(model);
    return it == published_at_.end() ? 0 : it->second.rbegin()->first;
}

std::map<std::string, std::uint64_t> desired_weights::newest_versions() const
{
    std::map<std::string, std::uint64_t> out;
    for (auto const& [model, versions] : published_at_)
        out[model] = versions.rbegin()->first;
    return out;
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
    // The record of an older version may appear after that of a newer one, which supersedes as
    // well.
    auto const earliest = std::min_element(next, all->second.end(),
                                           [](auto const& left, auto const& right)
                                           { return left.second < right.second; });
    // Every version that is newer than a known one was published after the read that showed the
    // latter, so this bounds those between the two as well.
    if (next != all->second.begin())
        return earliest->second;
    // The versions between the two were published before `next`.
    auto const unseen_versions = static_cast<std::int64_t>(next->first - version - 1);
    return std::min(earliest->second, next->second - unseen_versions * min_version_interval);
}

} // namespace savorymount::orders
