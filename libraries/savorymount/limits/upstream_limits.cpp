#include <savorymount/limits/upstream_limits.hpp>

namespace savorymount::limits
{

void upstream_limits::record_response(base::time_point now, base::time_point sent_at,
                                      std::string const& upstream, std::optional<double> limit)
{
    auto const known = entries_.find(upstream);
    if (limit)
    {
        bool const changes = known == entries_.end() || known->second.limit != *limit;
        entries_[upstream] = {*limit, now};
        if (changes)
            notify(upstream, limit);
        return;
    }
    // Responses overtake each other: only one to a request that was sent after the limit was named
    // shows that it is not named any more.
    if (known == entries_.end() || sent_at <= known->second.named_at)
        return;
    entries_.erase(known);
    notify(upstream, std::nullopt);
}

std::optional<double> upstream_limits::limit_of(std::string const& upstream) const
{
    auto const it = entries_.find(upstream);
    return it == entries_.end() ? std::nullopt : std::optional(it->second.limit);
}

void upstream_limits::notify(std::string const& upstream, std::optional<double> limit) const
{
    if (changed_)
        changed_(upstream, limit);
}

} // namespace savorymount::limits
