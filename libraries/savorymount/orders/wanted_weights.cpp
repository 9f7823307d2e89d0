#include <savorymount/orders/wanted_weights.hpp>

namespace savorymount::orders
{
namespace
{

using namespace std::chrono_literals;

// Operators leave at least this much time between two versions. It dates the versions that were
// named before this instance began to listen.
constexpr base::duration version_spacing = 3s;

} // namespace

void wanted_weights::named(base::time_point now, std::string const& model, std::uint64_t version,
                           base::duration already_known_for)
{
    named_at_[model].try_emplace(version, now - already_known_for);
}

std::uint64_t wanted_weights::newest(std::string const& model) const
{
    auto const it = named_at_.find(model);
    return it == named_at_.end() ? 0 : it->second.rbegin()->first;
}

std::optional<base::time_point> wanted_weights::superseded_since(std::string const& model,
                                                                 std::uint64_t version) const
{
    auto const all = named_at_.find(model);
    if (all == named_at_.end())
        return std::nullopt;
    auto const next = all->second.upper_bound(version);
    if (next == all->second.end())
        return std::nullopt;
    // Versions between the two were named earlier than the one that is known.
    auto const unheard = static_cast<std::int64_t>(next->first - version - 1);
    return next->second - unheard * version_spacing;
}

} // namespace savorymount::orders
