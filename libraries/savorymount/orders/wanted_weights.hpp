#pragma once

#include <savorymount/base/time.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace savorymount::orders
{

/// The newest weight version that operators named for each model, and since when it is known.
class wanted_weights
{
public:
    struct entry
    {
        std::uint64_t version = 0;
        base::time_point known_since{};

        bool operator==(entry const&) const = default;
    };

    /// Notes that operators named `version`. Older versions change nothing. `already_known_for`
    /// is how long it may have been in force before this instance heard of it.
    void named(base::time_point now, std::string const& model, std::uint64_t version,
               base::duration already_known_for = base::duration::zero())
    {
        auto& it = entries_[model];
        if (version > it.version)
            it = {version, now - already_known_for};
    }

    /// Version 0 when none was named.
    entry of(std::string const& model) const
    {
        auto const it = entries_.find(model);
        return it == entries_.end() ? entry{} : it->second;
    }

    std::map<std::string, entry> const& all() const { return entries_; }

private:
    std::map<std::string, entry> entries_;
};

} // namespace savorymount::orders
