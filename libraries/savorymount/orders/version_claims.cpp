#include <savorymount/orders/version_claims.hpp>

#include <algorithm>

namespace savorymount::orders
{

std::optional<std::uint64_t> version_claims::add(std::string const& model,
                                                 std::string const& process, std::uint64_t version,
                                                 std::uint64_t newest_known)
{
    if (version <= newest_known)
        return std::nullopt;
    auto& claims = versions_[model];
    std::erase_if(claims, [newest_known](auto const& it) { return it.second <= newest_known; });
    auto& own = claims[process];
    own = std::max(own, version);
    // An engine has every version up to its newest one, so the second highest is that of two.
    std::uint64_t highest = 0;
    std::uint64_t second_highest = 0;
    for (auto const& [name, claimed] : claims)
    {
        second_highest = std::max(second_highest, std::min(highest, claimed));
        highest = std::max(highest, claimed);
    }
    if (second_highest == 0)
        return std::nullopt;
    std::erase_if(claims, [second_highest](auto const& it) { return it.second <= second_highest; });
    return second_highest;
}

} // namespace savorymount::orders
