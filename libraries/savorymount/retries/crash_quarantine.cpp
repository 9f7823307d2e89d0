#include <savorymount/retries/crash_quarantine.hpp>

#include <algorithm>

namespace savorymount::retries
{

bool is_crash(crash_evidence const& evidence)
{
    bool const new_engine = !evidence.engine_before.empty() && !evidence.engine_after.empty() &&
                            evidence.engine_before != evidence.engine_after;
    return evidence.connection_lost && (new_engine || evidence.health_check_failed);
}

crash_quarantine::crash_quarantine(crash_quarantine_options const& options) : options_(options) {}

void crash_quarantine::expire(base::time_point now)
{
    while (!order_.empty())
    {
        auto const& [digest, sequence] = order_.front();
        auto const it = records_.find(digest);
        bool const current = it != records_.end() && it->second.sequence == sequence;
        bool const expired = current && now - it->second.last_at >= options_.quarantine;
        if (current && !expired && records_.size() <= options_.digests)
            return;
        if (current)
            records_.erase(it);
        order_.pop_front();
    }
}

void crash_quarantine::crashed(base::time_point now, std::string const& request_digest,
                               std::string const& engine)
{
    expire(now);
    auto const [it, added] = records_.try_emplace(request_digest);
    record& known = it->second;
    bool const outdated = !added && now - known.last_at >= options_.quarantine;
    if (added || outdated)
    {
        known = {engine, false, now, next_sequence_++};
        order_.emplace_back(request_digest, known.sequence);
        expire(now);
        return;
    }
    // The agent's outcome and the record in the log describe the same crash.
    if (known.quarantined || known.first_engine == engine)
        return;
    known.quarantined = true;
    known.last_at = now;
}

std::optional<base::duration> crash_quarantine::refused_for(base::time_point now,
                                                            std::string const& request_digest) const
{
    auto const it = records_.find(request_digest);
    if (it == records_.end() || !it->second.quarantined)
        return std::nullopt;
    base::duration const left = it->second.last_at + options_.quarantine - now;
    if (left <= base::duration(0))
        return std::nullopt;
    return left;
}

} // namespace savorymount::retries
