#include <savorymount/retries/crash_attribution.hpp>

#include <algorithm>
#include <iterator>
#include <map>

namespace savorymount::retries
{
namespace
{

using namespace std::chrono_literals;

// A loss or a completed response is reported repeatedly for this long, so that a lost datagram does
// not matter.
constexpr base::duration report_time = 3s;
// Bounds the entries for a part that completes many responses.
constexpr base::duration completion_resolution = 1s;
// Losses of one cause that are reported for as long as it is refused, so that an instance that
// starts later refuses it too. More than the cause needs, since any may be cleared elsewhere.
constexpr std::size_t reported_losses_of_a_cause = 6;

bool contains(std::vector<std::uint64_t> const& sorted, std::uint64_t part)
{
    return std::binary_search(sorted.begin(), sorted.end(), part);
}

/// Whether `parts`, which may be unsorted, has all of `wanted`.
bool contains_all(std::vector<std::uint64_t> const& parts, std::vector<std::uint64_t> const& wanted)
{
    return std::all_of(wanted.begin(), wanted.end(),
                       [&](std::uint64_t it)
                       { return std::find(parts.begin(), parts.end(), it) != parts.end(); });
}

std::vector<std::uint64_t> intersection(std::vector<std::uint64_t> const& left,
                                        std::vector<std::uint64_t> const& right)
{
    std::vector<std::uint64_t> out;
    std::set_intersection(left.begin(), left.end(), right.begin(), right.end(),
                          std::back_inserter(out));
    return out;
}

/// Groups of times that are each within `span` of the group's first.
std::size_t count_incidents(std::vector<base::time_point> times, base::duration span)
{
    std::sort(times.begin(), times.end());
    std::size_t out = 0;
    std::optional<base::time_point> first;
    for (auto const it : times)
    {
        if (first && it - *first < span)
            continue;
        first = it;
        ++out;
    }
    return out;
}

} // namespace

void crash_attribution::record_loss(base::time_point now, base::time_point lost_at,
                                    upstream_loss loss, bool is_local)
{
    if (loss.parts.empty() || now - lost_at >= options_.memory)
        return;
    std::sort(loss.parts.begin(), loss.parts.end());
    auto const known = std::find_if(losses_.begin(), losses_.end(),
                                    [&](loss_record const& it) {
                                        return it.loss.request == loss.request &&
                                               it.loss.upstream == loss.upstream;
                                    });
    if (known != losses_.end())
    {
        narrow(*known, loss);
        return;
    }
    auto const parts = loss.parts;
    losses_.push_back({std::move(loss), lost_at, now, is_local, parts, false, false});
    suspected_parts_.insert(parts.begin(), parts.end());
    last_recorded_at_ = now;
    for (auto const part : parts)
    {
        auto const it = completed_at_.find(part);
        if (it != completed_at_.end())
            clear_part(now, part, it->second, true);
    }
    make_room();
    outdated_ = true;
}

void crash_attribution::narrow(loss_record& known, upstream_loss const& repeated)
{
    auto narrowed = intersection(known.suspected, repeated.parts);
    if (narrowed.size() == known.suspected.size())
        return;
    known.suspected = std::move(narrowed);
    outdated_ = true;
}

void crash_attribution::record_completion(base::time_point now, base::time_point completed_at,
                                          std::vector<std::uint64_t> const& parts, bool is_local)
{
    for (auto const part : parts)
    {
        // Only completions of this instance are remembered: a report about those of another one
        // must not be passed on as its own.
        if (is_local)
            remember_completion(part, completed_at);
        clear_part(now, part, completed_at, is_local);
    }
}

void crash_attribution::remember_completion(std::uint64_t part, base::time_point completed_at)
{
    auto const [known, added] = completed_at_.try_emplace(part, completed_at);
    if (!added && completed_at - known->second < completion_resolution)
        return;
    known->second = completed_at;
    completion_order_.emplace_back(completed_at, part);
    while (!completion_order_.empty())
    {
        auto const [time, oldest] = completion_order_.front();
        bool const is_old = completed_at - time > options_.completion_window;
        if (!is_old && completion_order_.size() <= options_.max_completions)
            return;
        auto const it = completed_at_.find(oldest);
        if (it != completed_at_.end() && it->second == time)
            completed_at_.erase(it);
        completion_order_.pop_front();
    }
}

void crash_attribution::clear_part(base::time_point now, std::uint64_t part,
                                   base::time_point completed_at, bool is_local)
{
    if (!suspected_parts_.contains(part))
        return;
    bool cleared = false;
    for (auto& it : losses_)
    {
        if (!contains(it.suspected, part) || completed_at + options_.completion_window < it.lost_at)
            continue;
        std::erase(it.suspected, part);
        cleared = true;
    }
    if (!cleared)
        return;
    outdated_ = true;
    if (is_local)
        local_clearances_.emplace_back(now, part);
}

void crash_attribution::record_response(base::time_point now, base::time_point sent_at,
                                        std::string const& upstream)
{
    if (now - last_recorded_at_ > options_.restart_time)
        return;
    for (auto& it : losses_)
    {
        if (it.withdrawn || it.loss.upstream != upstream || sent_at <= it.recorded_at ||
            now - it.recorded_at > options_.restart_time)
            continue;
        it.withdrawn = true;
        outdated_ = true;
    }
}

void crash_attribution::remove_expired(base::time_point now)
{
    auto const removed = std::erase_if(losses_, [&](loss_record const& it)
                                       { return now - it.lost_at >= options_.memory; });
    outdated_ = outdated_ || removed > 0;
    while (!local_clearances_.empty() && now - local_clearances_.front().first > report_time)
        local_clearances_.pop_front();
}

void crash_attribution::make_room()
{
    if (losses_.size() <= options_.max_losses)
        return;
    // A flood of other losses must not end the refusal of a known cause.
    auto it = std::find_if(losses_.begin(), losses_.end(),
                           [](loss_record const& record)
                           { return record.withdrawn || record.suspected.empty(); });
    if (it == losses_.end())
        it = std::find_if(losses_.begin(), losses_.end(),
                          [](loss_record const& record) { return !record.explained_by_cause; });
    losses_.erase(it == losses_.end() ? losses_.begin() : it);
}

crash_attribution::candidate
crash_attribution::make_candidate(std::vector<loss_record const*> const& losses,
                                  std::set<std::string> const& explained) const
{
    candidate out;
    std::vector<base::time_point> times;
    for (auto const* const it : losses)
    {
        if (explained.contains(it->loss.upstream))
            continue;
        out.parts = out.losses == 0 ? it->suspected : intersection(out.parts, it->suspected);
        out.upstreams.insert(it->loss.upstream);
        out.requests.insert(it->loss.request);
        out.losses += 1;
        out.last_loss_at = std::max(out.last_loss_at, it->lost_at);
        times.push_back(it->lost_at);
    }
    out.incidents = count_incidents(std::move(times), options_.incident_time);
    return out;
}

bool crash_attribution::is_cause(candidate const& it) const
{
    return it.upstreams.size() >= options_.min_upstreams &&
           it.requests.size() >= options_.min_requests && it.incidents >= options_.min_incidents;
}

void crash_attribution::mark_explained(candidate const& cause)
{
    for (auto& it : losses_)
    {
        it.explained_by_cause =
            it.explained_by_cause || (!it.withdrawn && contains_all(it.suspected, cause.parts));
    }
}

void crash_attribution::find_causes()
{
    causes_.clear();
    suspects_.clear();
    suspected_parts_.clear();
    std::map<std::uint64_t, std::vector<loss_record const*>> losses_by_part;
    for (auto& it : losses_)
    {
        it.explained_by_cause = false;
        suspected_parts_.insert(it.suspected.begin(), it.suspected.end());
        if (it.withdrawn)
            continue;
        for (auto const part : it.suspected)
            losses_by_part[part].push_back(&it);
    }
    std::erase_if(losses_by_part, [this](auto const& it)
                  { return it.second.size() < options_.min_upstreams_to_stop_retries; });
    // A crashing part is in few requests of each lost upstream; a part that only shared the
    // upstream is in more requests or was lost with fewer upstreams.
    auto const score = [](candidate const& it)
    {
        return 2 * static_cast<std::ptrdiff_t>(it.upstreams.size()) -
               static_cast<std::ptrdiff_t>(it.losses);
    };
    std::set<std::string> explained;
    while (true)
    {
        std::optional<candidate> best;
        suspects_.clear();
        for (auto const& [part, losses] : losses_by_part)
        {
            auto it = make_candidate(losses, explained);
            if (it.upstreams.size() >= options_.min_upstreams_to_stop_retries)
                suspects_.push_back(it.parts);
            if (is_cause(it) && (!best || score(it) > score(*best)))
                best = std::move(it);
        }
        if (!best)
            return;
        causes_.push_back({best->parts, best->upstreams.size(), best->last_loss_at});
        explained.insert(best->upstreams.begin(), best->upstreams.end());
        mark_explained(*best);
    }
}

void crash_attribution::update(base::time_point now)
{
    remove_expired(now);
    if (!std::exchange(outdated_, false))
        return;
    auto const previous = causes_;
    find_causes();
    announce_changes(previous);
}

void crash_attribution::announce_changes(std::vector<crash_cause> const& previous)
{
    if (!cause_changed_)
        return;
    auto const has = [](std::vector<crash_cause> const& list, crash_cause const& cause)
    {
        return std::any_of(list.begin(), list.end(),
                           [&](crash_cause const& it) { return it.parts == cause.parts; });
    };
    for (auto const& it : previous)
    {
        if (!has(causes_, it))
            cause_changed_(it, false);
    }
    for (auto const& it : causes_)
    {
        if (!has(previous, it))
            cause_changed_(it, true);
    }
}

std::optional<std::pair<crash_cause, base::duration>>
crash_attribution::find_cause(base::time_point now, std::vector<std::uint64_t> const& parts)
{
    for (auto const& it : causes(now))
    {
        if (contains_all(parts, it.parts))
            return std::pair{it, it.last_loss_at + options_.memory - now};
    }
    return std::nullopt;
}

bool crash_attribution::may_crash_again(base::time_point now,
                                        std::vector<std::uint64_t> const& parts)
{
    if (find_cause(now, parts))
        return true;
    return std::any_of(suspects_.begin(), suspects_.end(),
                       [&](auto const& it) { return contains_all(parts, it); });
}

std::vector<crash_cause> const& crash_attribution::causes(base::time_point now)
{
    update(now);
    return causes_;
}

std::vector<std::pair<base::duration, upstream_loss>>
crash_attribution::reportable_losses(base::time_point now, std::size_t max_count)
{
    update(now);
    std::vector<loss_record const*> chosen;
    for (auto it = losses_.rbegin(); it != losses_.rend(); ++it)
    {
        if (it->is_local && !it->withdrawn && !it->suspected.empty() &&
            now - it->recorded_at <= report_time)
            chosen.push_back(&*it);
    }
    // Neither recent losses nor known causes may displace the others.
    std::vector<loss_record const*> evidence;
    for (std::size_t i = 0; i < causes_.size(); ++i)
        append_evidence(causes_[(reports_ + i) % causes_.size()], evidence);
    ++reports_;
    auto const recent = static_cast<std::ptrdiff_t>(std::min(chosen.size(), max_count / 2));
    chosen.insert(chosen.begin() + recent, evidence.begin(), evidence.end());
    std::vector<std::pair<base::duration, upstream_loss>> out;
    for (auto const* const it : chosen)
    {
        if (out.size() < max_count)
            out.emplace_back(now - it->lost_at,
                             upstream_loss{it->loss.upstream, it->loss.request, it->suspected});
    }
    return out;
}

void crash_attribution::append_evidence(crash_cause const& cause,
                                        std::vector<loss_record const*>& out) const
{
    std::vector<loss_record const*> evidence;
    std::set<std::string> upstreams;
    for (auto const& it : losses_)
    {
        if (!it.withdrawn && contains_all(it.suspected, cause.parts) &&
            upstreams.insert(it.loss.upstream).second)
            evidence.push_back(&it);
    }
    // The first and the last of them, and some between: losses at the same time would be less
    // evidence.
    auto const count = std::min(evidence.size(), reported_losses_of_a_cause);
    for (std::size_t i = 0; i < count; ++i)
        out.push_back(evidence[i * (evidence.size() - 1) / std::max<std::size_t>(count - 1, 1)]);
}

std::vector<std::pair<base::duration, std::uint64_t>>
crash_attribution::reportable_completions(base::time_point now, std::size_t max_count)
{
    remove_expired(now);
    std::vector<std::pair<base::duration, std::uint64_t>> out;
    std::set<std::uint64_t> seen;
    for (auto it = local_clearances_.rbegin();
         it != local_clearances_.rend() && out.size() < max_count; ++it)
    {
        auto const completed = completed_at_.find(it->second);
        if (completed != completed_at_.end() && seen.insert(it->second).second)
            out.emplace_back(now - completed->second, it->second);
    }
    return out;
}

} // namespace savorymount::retries
