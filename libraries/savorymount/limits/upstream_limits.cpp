#include <savorymount/base/digest.hpp>
#include <savorymount/limits/upstream_limits.hpp>

#include <algorithm>
#include <cmath>

namespace savorymount::limits
{
namespace
{

// Instances that share a limit below one request a second. Each further request a second of the
// limit is shared by one more.
constexpr std::size_t min_sharing_instances = 3;

} // namespace

double share_of_limit(std::string const& upstream, double limit, std::string const& instance,
                      std::vector<std::string> const& instances)
{
    if (std::find(instances.begin(), instances.end(), instance) == instances.end())
        return 0;
    auto const count = static_cast<double>(instances.size());
    auto const sharing = std::min(std::floor(limit) + min_sharing_instances, count);
    if (sharing == count)
        return limit / count;
    auto const digest = base::chain_digest(0, upstream);
    auto const own_score = base::chain_digest(digest, instance);
    auto const ahead = std::count_if(instances.begin(), instances.end(),
                                     [&](std::string const& it)
                                     { return base::chain_digest(digest, it) > own_score; });
    return static_cast<double>(ahead) < sharing ? limit / sharing : 0;
}

void upstream_limits::record_response(base::time_point now, base::time_point sent_at,
                                      std::string const& upstream, std::optional<double> limit)
{
    if (limit)
    {
        name_limit(now, now, upstream, *limit);
        entries_.at(upstream).last_observation = {now, now, limit};
        return;
    }
    auto const known = entries_.find(upstream);
    if (known == entries_.end())
        return;
    // Responses overtake each other: only one to a request that was sent after the limit was named
    // shows that it is not named any more.
    end_limit(sent_at, upstream);
    if (!known->second.in_force())
        known->second.last_observation = {now, sent_at, std::nullopt};
}

void upstream_limits::apply_notice(base::time_point now, base::time_point learned_at,
                                   upstream_limit_notice const& notice)
{
    if (notice.limit)
        name_limit(now, learned_at, notice.upstream, *notice.limit);
    else
        end_limit(learned_at, notice.upstream);
}

void upstream_limits::name_limit(base::time_point now, base::time_point named_at,
                                 std::string const& upstream, double limit)
{
    auto const [position, added] = entries_.try_emplace(upstream);
    auto& it = position->second;
    if (!added && named_at <= it.named_at)
        return;
    bool const begins = added || !it.in_force();
    bool const changes = begins || it.limit != limit;
    it.limit = limit;
    it.named_at = named_at;
    if (!it.in_force())
        return;
    if (begins)
        it.last_sent_at = it.previously_sent_at = now;
    if (!changes)
        return;
    update_share(upstream, it);
    notify(upstream, limit);
}

void upstream_limits::end_limit(base::time_point ended_at, std::string const& upstream)
{
    auto const known = entries_.find(upstream);
    if (known == entries_.end())
        return;
    auto& it = known->second;
    bool const was_in_force = it.in_force();
    it.ended_at = std::max(it.ended_at.value_or(ended_at), ended_at);
    if (was_in_force && !it.in_force())
        notify(upstream, std::nullopt);
}

void upstream_limits::record_sent(base::time_point now, std::string const& upstream)
{
    auto const it = entries_.find(upstream);
    if (it == entries_.end())
        return;
    it->second.previously_sent_at = std::exchange(it->second.last_sent_at, now);
}

void upstream_limits::withdraw_sent(std::string const& upstream)
{
    auto const it = entries_.find(upstream);
    if (it != entries_.end())
        it->second.last_sent_at = it->second.previously_sent_at;
}

void upstream_limits::set_instances(std::vector<std::string> instances)
{
    instances_ = std::move(instances);
    for (auto& [upstream, it] : entries_)
        update_share(upstream, it);
}

void upstream_limits::process_resumed(base::time_point now)
{
    for (auto& [upstream, it] : entries_)
        it.last_sent_at = it.previously_sent_at = now;
}

void upstream_limits::remove_expired(
    base::time_point now, std::function<bool(std::string const& upstream)> const& is_listed)
{
    std::erase_if(entries_,
                  [&](auto const& it)
                  {
                      auto const& [upstream, known] = it;
                      bool const of_interest = known.in_force() && is_listed(upstream);
                      auto const newest =
                          std::max(known.named_at, known.ended_at.value_or(known.named_at));
                      return !of_interest && now - newest > options_.ended_memory;
                  });
}

std::optional<double> upstream_limits::limit_of(std::string const& upstream) const
{
    auto const it = entries_.find(upstream);
    bool const limited = it != entries_.end() && it->second.in_force();
    return limited ? std::optional(it->second.limit) : std::nullopt;
}

std::optional<base::time_point> upstream_limits::next_request_at(std::string const& upstream) const
{
    auto const known = entries_.find(upstream);
    if (known == entries_.end() || !known->second.in_force())
        return std::nullopt;
    auto const& it = known->second;
    if (it.share <= 0)
        return base::time_point::max();
    auto const interval = std::chrono::duration<double>(1 / it.share);
    return it.last_sent_at + std::chrono::ceil<base::duration>(interval);
}

std::vector<std::string> upstream_limits::upstreams() const
{
    std::vector<std::string> out;
    for (auto const& [upstream, it] : entries_)
        out.push_back(upstream);
    return out;
}

std::vector<std::pair<base::duration, upstream_limit_notice>>
upstream_limits::reportable_notices(base::time_point now, std::size_t max_count) const
{
    std::vector<std::pair<base::duration, upstream_limit_notice>> out;
    for (auto const& [upstream, it] : entries_)
    {
        auto const& seen = it.last_observation;
        if (seen && now - seen->observed_at <= options_.report_time)
            out.push_back({now - seen->valid_at, {upstream, seen->limit}});
    }
    std::sort(out.begin(), out.end(),
              [](auto const& a, auto const& b) { return a.first < b.first; });
    if (out.size() > max_count)
        out.resize(max_count);
    return out;
}

void upstream_limits::update_share(std::string const& upstream, entry& it) const
{
    it.share =
        share_of_limit(upstream, std::max(it.limit, options_.min_rate), instance_, instances_);
}

void upstream_limits::notify(std::string const& upstream, std::optional<double> limit) const
{
    if (changed_)
        changed_(upstream, limit);
}

} // namespace savorymount::limits
