#include <savorymount/retries/crash_quarantine.hpp>

#include <algorithm>

namespace savorymount::retries
{

bool is_crash(crash_evidence const& evidence)
{
    bool const engine_restarted = !evidence.engine_before.empty() &&
                                  !evidence.engine_after.empty() &&
                                  evidence.engine_before != evidence.engine_after;
    return evidence.connection_lost && (engine_restarted || evidence.health_check_failed);
}

crash_quarantine::crash_quarantine(crash_quarantine_options const& options) : options_(options) {}

void crash_quarantine::remove_expired(base::time_point now)
{
    while (!insertion_order_.empty())
    {
        auto const& [digest, sequence] = insertion_order_.front();
        auto const it = records_.find(digest);
        bool const is_current = it != records_.end() && it->second.sequence == sequence;
        bool const is_expired =
            is_current && now - it->second.deciding_crash_at >= options_.quarantine_duration;
        if (is_current && !is_expired && records_.size() <= options_.max_digests)
            return;
        if (is_current)
            records_.erase(it);
        insertion_order_.pop_front();
    }
}

void crash_quarantine::record_crash(base::time_point now, std::string const& request_digest,
                                    std::string const& engine)
{
    remove_expired(now);
    auto const [it, added] = records_.try_emplace(request_digest);
    crash_record& record = it->second;
    bool const is_expired =
        !added && now - record.deciding_crash_at >= options_.quarantine_duration;
    if (added || is_expired)
    {
        record = {engine, false, now, next_sequence_++};
        insertion_order_.emplace_back(request_digest, record.sequence);
        remove_expired(now);
        return;
    }
    // The agent's outcome and the log record both report the same crash.
    if (record.quarantined || record.first_engine == engine)
        return;
    record.quarantined = true;
    record.deciding_crash_at = now;
}

std::optional<base::duration>
crash_quarantine::remaining_quarantine(base::time_point now,
                                       std::string const& request_digest) const
{
    auto const it = records_.find(request_digest);
    if (it == records_.end() || !it->second.quarantined)
        return std::nullopt;
    base::duration const remaining =
        it->second.deciding_crash_at + options_.quarantine_duration - now;
    if (remaining <= base::duration(0))
        return std::nullopt;
    return remaining;
}

} // namespace savorymount::retries
