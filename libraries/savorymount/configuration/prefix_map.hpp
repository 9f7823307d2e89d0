#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace savorymount::configuration
{

/// Values by host and path prefix. Finds the longest prefix of a path in a time that grows with the
/// length of the path and the logarithm of the number of prefixes.
template <typename Value>
class prefix_map
{
public:
    using values_by_prefix = std::map<std::string, Value, std::less<>>;

    /// Adds a value unless the host has one for the prefix. Returns whether it was added.
    bool try_emplace(std::string_view host, std::string_view prefix, Value value)
    {
        return values_of(host).try_emplace(std::string(prefix), std::move(value)).second;
    }

    /// The value of exactly this prefix, or null.
    Value* find_prefix(std::string_view host, std::string_view prefix)
    {
        auto const found = hosts_.find(host);
        if (found == hosts_.end())
            return nullptr;
        auto const it = found->second.find(prefix);
        return it == found->second.end() ? nullptr : &it->second;
    }

    /// The value of the longest prefix of `path`, or null.
    Value const* find(std::string_view host, std::string_view path) const
    {
        auto const found = hosts_.find(host);
        return found == hosts_.end() ? nullptr : find_longest(found->second, path);
    }

    std::map<std::string, values_by_prefix, std::less<>> const& hosts() const { return hosts_; }
    std::map<std::string, values_by_prefix, std::less<>>& hosts() { return hosts_; }

    /// Removes the values for which `predicate` holds.
    template <typename Predicate>
    void erase_if(Predicate predicate)
    {
        for (auto& [host, values] : hosts_)
            std::erase_if(values, [&](auto const& it) { return predicate(it.second); });
        std::erase_if(hosts_, [](auto const& it) { return it.second.empty(); });
    }

private:
    values_by_prefix& values_of(std::string_view host)
    {
        auto const found = hosts_.find(host);
        return found == hosts_.end() ? hosts_[std::string(host)] : found->second;
    }

    static Value const* find_longest(values_by_prefix const& values, std::string_view path)
    {
        for (;;)
        {
            auto it = values.upper_bound(path);
            if (it == values.begin())
                return nullptr;
            --it;
            if (path.starts_with(it->first))
                return &it->second;
            // Each prefix of the path sorts up to this one, so it is a prefix of this one, too.
            auto const end =
                std::mismatch(path.begin(), path.end(), it->first.begin(), it->first.end());
            path = path.substr(0, static_cast<std::size_t>(end.first - path.begin()));
        }
    }

    std::map<std::string, values_by_prefix, std::less<>> hosts_;
};

} // namespace savorymount::configuration
