#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <tests/soak/promise_checker.hpp>

namespace savorymount::soak
{
namespace
{

constexpr std::uint64_t events_per_stream = 8;
constexpr int status_ok = 200;
constexpr int first_failure_status = 400;
constexpr int status_unauthorized = 401;
constexpr int status_too_many = 429;
constexpr int status_internal_error = 500;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;

/// Whether an answer of the gateway's own with this status says that the request did not run.
bool promises_not_run(int status)
{
    bool const failure = status >= first_failure_status && status <= status_unavailable;
    return failure && status != status_internal_error && status != status_bad_gateway;
}

/// What the stand-ins add to each token: nothing, or a space and a software version. Taken from the
/// first event, as far as it came.
std::string version_suffix(std::string const& text)
{
    std::string const first_token = "id: 1\ndata: token 1";
    if (!text.starts_with(first_token))
        return {};
    auto out =
        text.substr(first_token.size(), text.find('\n', first_token.size()) - first_token.size());
    std::string const prefix = " v";
    bool const is_version =
        out.starts_with(prefix)
            ? std::all_of(out.begin() + static_cast<std::ptrdiff_t>(prefix.size()), out.end(),
                          [](char it) { return it >= '0' && it <= '9'; })
            : prefix.starts_with(out);
    return is_version ? out : std::string();
}

/// A whole stream that begins with the text, if one does.
std::string expected_events(std::string const& text)
{
    auto const version = version_suffix(text);
    std::string out;
    for (std::uint64_t i = 1; i <= events_per_stream; ++i)
        out += "id: " + std::to_string(i) + "\ndata: token " + std::to_string(i) + version + "\n\n";
    return out;
}

double seconds(base::duration time)
{
    return std::chrono::duration<double>(time).count();
}

/// Checks the promises one after the other.
class checker
{
public:
    checker(soak_history const& history, promise_bounds const& bounds)
        : history_(history), bounds_(bounds)
    {
        for (auto const& it : history_.runs)
            ++runs_[it.request];
        for (auto const& it : history_.calls)
            calls_[it.id] = &it;
    }

    std::vector<violation> check()
    {
        for (auto const& it : history_.calls)
        {
            check_runs(it);
            if (it.kind == call_kind::stream)
                check_events(it);
            check_planned_work(it);
            check_withdrawn_key(it);
        }
        check_workspace_limit();
        for (auto const& it : history_.limits)
            check_upstream_limit(it);
        for (auto const& it : history_.leaving)
            check_leaving(it);
        for (auto const& it : history_.rejected_for_now)
            check_unavailable(it);
        check_versions();
        check_fences();
        check_crashes();
        check_end();
        return std::move(found_);
    }

private:
    std::size_t runs_of(call_record const& call) const
    {
        auto const it = runs_.find(call.id);
        return it == runs_.end() ? 0 : it->second;
    }

    /// Whether nothing unplanned was wrong from `stable` before `from` until `to`.
    bool calm(base::time_point from, base::time_point to) const
    {
        return std::none_of(history_.disturbances.begin(), history_.disturbances.end(),
                            [&](disturbance const& it)
                            { return it.from <= to && it.to + bounds_.stable >= from; });
    }

    /// Whether the call's prompt has the crashing part, and the part had crashed an engine. Such a
    /// prompt may be refused for minutes, also when the part crashes nothing any more.
    bool crashed_an_engine_before(call_record const& call) const
    {
        return call.has_crashing_part &&
               std::any_of(history_.crashes.begin(), history_.crashes.end(),
                           [&](crash_record const& it) { return it.at < call.started; });
    }

    void report(std::string promise, std::string what)
    {
        found_.push_back({std::move(promise), std::move(what)});
    }

    void check_runs(call_record const& call)
    {
        auto const runs = runs_of(call);
        if (call.kind == call_kind::booking && runs > 1)
            report("at most once", call.id + " ran " + std::to_string(runs) + " times");
        if (promises_not_run(call.status) && !call.stamped && runs > 0)
            report("truthful refusals",
                   call.id + " was refused with " + std::to_string(call.status) + " and ran");
        bool const booked =
            call.kind == call_kind::booking && call.status == status_ok && call.whole;
        if (booked && (runs != 1 || call.body != "booked " + call.id))
            report("whole answers",
                   call.id + " got \"" + call.body + "\" after " + std::to_string(runs) + " runs");
    }

    void check_events(call_record const& call)
    {
        if (call.status != status_ok)
            return;
        // A caller that resumes a stream has the events before.
        auto const text = call.begun + call.body;
        auto const expected = expected_events(text);
        bool const inside_event = !call.body.empty() && !call.body.ends_with("\n\n");
        if (call.whole && inside_event)
            report("no stream that ends inside an event looks whole",
                   call.id + " ended after \"" + call.body + "\"");
        else if (!expected.starts_with(text))
            report("events in order, once", call.id + " got \"" + text + "\"");
        else if (call.whole && text != expected)
            report("whole answers", call.id + " ended after \"" + call.body + "\"");
    }

    bool was_refused_at_once(call_record const& call) const
    {
        return call.status == status_unavailable && runs_of(call) == 0 &&
               call.ended - call.started <= bounds_.refusal;
    }

    /// Whether no upstream took the call, or its instance did not know yet of the one that did.
    bool falls_into_service_gap(call_record const& call) const
    {
        return std::any_of(history_.service_gaps.begin(), history_.service_gaps.end(),
                           [&](service_gap const& it)
                           {
                               return it.kind == call.kind && it.from <= call.started &&
                                      call.started <= it.to + bounds_.drain;
                           });
    }

    void check_planned_work(call_record const& call)
    {
        if (!calm(call.started, call.ended) || (call.status == status_ok && call.whole))
            return;
        if (call.key == second_key() && call.status == status_unauthorized)
            return;
        if (call.key == limited_key() && call.status == status_too_many)
            return;
        if (call.status == status_unavailable && crashed_an_engine_before(call))
            return;
        // Nobody may know the software version that began the stream, or it has left.
        if (call.status == status_unavailable && !call.resumes.empty())
            return;
        if (was_refused_at_once(call) && falls_into_service_gap(call))
            return;
        bool const crossed_close = call.kept_connection && call.status == 0 && runs_of(call) == 0 &&
                                   call.ended - call.started < bounds_.loss_slack;
        if (!crossed_close)
            report("planned work loses nothing",
                   call.id + " at gateway " + std::to_string(call.gateway) + " got status " +
                       std::to_string(call.status) + " after " +
                       std::to_string((call.ended - call.started).count() / 1000) +
                       " ms: " + call.body);
    }

    void check_withdrawn_key(call_record const& call)
    {
        if (call.key != second_key() || call.status != status_ok)
            return;
        auto const next = std::find_if(history_.key_changes.begin(), history_.key_changes.end(),
                                       [&](key_change const& it) { return it.at > call.started; });
        if (next == history_.key_changes.begin())
            return;
        auto const last = std::prev(next);
        bool const in_force = call.started - last->at > bounds_.configuration;
        if (!last->granted && in_force && calm(last->at, call.started))
            report("withdrawn keys", call.id + " was served with a withdrawn key");
    }

    /// Counts the bookings of the limited workspace that ran in each window, by when they were
    /// sent.
    void check_workspace_limit()
    {
        std::vector<base::time_point> sent;
        for (auto const& it : history_.calls)
        {
            if (it.key == limited_key() && it.kind == call_kind::booking && runs_of(it) > 0)
                sent.push_back(it.started);
        }
        std::sort(sent.begin(), sent.end());
        auto const limit = bounds_.rate * seconds(bounds_.quota_window) + bounds_.burst;
        auto const most =
            limit * (1 + bounds_.quota_excess) + bounds_.rate * seconds(bounds_.quota_slack);
        std::size_t first = 0;
        for (std::size_t i = 0; i < sent.size(); ++i)
        {
            while (sent[i] - sent[first] >= bounds_.quota_window)
                ++first;
            if (static_cast<double>(i - first + 1) > most)
            {
                report("limits over all instances", std::to_string(i - first + 1) +
                                                        " bookings of the limited workspace ran "
                                                        "in one window");
                return;
            }
        }
    }

    bool has_gateway_outage(base::time_point from, base::time_point to) const
    {
        auto const& outages = history_.gateway_outages;
        return std::any_of(outages.begin(), outages.end(),
                           [&](disturbance const& it)
                           { return it.from <= to && it.to + bounds_.stable >= from; });
    }

    /// Counts the runs at an upstream in each span while it named a limit.
    void check_upstream_limit(named_limit const& limit)
    {
        std::vector<base::time_point> times;
        for (auto const& it : history_.runs)
        {
            bool const in_force = it.at >= limit.from + bounds_.limit_reaction && it.at <= limit.to;
            if (it.upstream == limit.upstream && in_force)
                times.push_back(it.at);
        }
        std::sort(times.begin(), times.end());
        auto const most =
            bounds_.limit_factor * limit.requests_per_second * seconds(bounds_.limit_window) +
            bounds_.limit_slack;
        std::size_t first = 0;
        for (std::size_t i = 0; i < times.size(); ++i)
        {
            while (times[i] - times[first] > bounds_.limit_window)
                ++first;
            bool const judged = !has_gateway_outage(times[first], times[i]);
            if (!judged || static_cast<double>(i - first + 1) <= most)
                continue;
            report("limits that upstreams name",
                   limit.upstream + " ran " + std::to_string(i - first + 1) +
                       " requests in one span with a limit of " +
                       std::to_string(limit.requests_per_second) + " a second");
            return;
        }
    }

    call_record const* call_of(std::string const& request) const
    {
        auto const it = calls_.find(request);
        return it == calls_.end() ? nullptr : it->second;
    }

    /// When the gateway first passed on an answer of the upstream that says that it leaves.
    std::optional<base::time_point> told_at(leaving_notice const& notice, std::size_t gateway) const
    {
        std::optional<base::time_point> out;
        for (auto const& run : history_.runs)
        {
            auto const* const call = call_of(run.request);
            bool const is_told = run.upstream == notice.upstream && run.at >= notice.from &&
                                 call != nullptr && call->gateway == gateway && call->whole;
            if (is_told)
                out = std::min(out.value_or(call->ended), call->ended);
        }
        return out;
    }

    void check_leaving(leaving_notice const& notice)
    {
        for (auto const& run : history_.runs)
        {
            auto const* const call = call_of(run.request);
            if (run.upstream != notice.upstream || call == nullptr || run.at < notice.from)
                continue;
            auto const told = told_at(notice, call->gateway);
            if (told && call->started > *told + bounds_.drain && !has_gateway_outage(*told, run.at))
                report("upstreams that leave", run.request + " reached " + notice.upstream +
                                                   " long after its answer said that it leaves");
        }
    }

    void check_unavailable(rejection_record const& notice)
    {
        auto const* const refused = call_of(notice.request);
        if (refused == nullptr || has_gateway_outage(notice.at, notice.at + bounds_.unavailable))
            return;
        auto const reaches =
            [&](std::string const& upstream, std::string const& request, base::time_point at)
        {
            auto const* const call = call_of(request);
            return upstream == notice.upstream && call != nullptr &&
                   call->gateway == refused->gateway &&
                   at > notice.at + bounds_.unavailable_reaction &&
                   at < notice.at + bounds_.unavailable;
        };
        std::size_t count = 0;
        for (auto const& it : history_.runs)
            count += reaches(it.upstream, it.request, it.at) ? 1 : 0;
        for (auto const& it : history_.rejected_for_now)
            count += reaches(it.upstream, it.request, it.at) ? 1 : 0;
        if (count > bounds_.requests_while_unavailable)
            report("upstreams that want no requests",
                   std::to_string(count) + " requests of one gateway reached " + notice.upstream +
                       " while it wanted none");
    }

    void check_versions()
    {
        for (auto const& run : history_.runs)
        {
            if (run.version == 0)
                continue;
            for (auto const& named : history_.weights)
            {
                bool const late = run.at - named.at > bounds_.version;
                if (run.version < named.version && late && calm(named.at, run.at))
                {
                    report("weights in force", run.request + " began on version " +
                                                   std::to_string(run.version) + " at " +
                                                   run.upstream);
                    break;
                }
            }
        }
    }

    void check_fences()
    {
        std::map<std::uint64_t, std::string> holders;
        std::map<std::string, std::uint64_t> highest;
        for (auto const& it : history_.orders)
        {
            auto const [known, added] = holders.try_emplace(it.fence, it.holder);
            if (!added && known->second != it.holder)
                report("one holder of the duty", it.holder + " and " + known->second +
                                                     " sent orders with fencing token " +
                                                     std::to_string(it.fence));
            auto& most = highest[it.upstream];
            if (it.fence < most)
                report("one holder of the duty", it.upstream + " took an order of an older holder");
            most = std::max(most, it.fence);
        }
    }

    void check_crashes()
    {
        auto const late = count_late_crashes(history_, bounds_);
        if (bounds_.late_crashes && late > *bounds_.late_crashes)
            report("a crashing part is held back", std::to_string(late) +
                                                       " crashes by one prompt part came after "
                                                       "its fifth crash was known");
    }

    void check_end()
    {
        for (auto const& it : history_.exits)
            report("no process ends by itself",
                   it.process + " ended with " + std::to_string(it.code));
        for (auto const& it : history_.outdated_engines)
            report("weights in force", it + " still has older weights at the end");
        bool const served =
            std::any_of(history_.calls.begin(), history_.calls.end(),
                        [&](call_record const& it)
                        { return it.status == status_ok && calm(it.started, it.ended); });
        if (!served)
            report("serves again", "no request was served in a stable stretch");
    }

    soak_history const& history_;
    promise_bounds const& bounds_;
    std::map<std::string, std::size_t> runs_;
    std::map<std::string, call_record const*> calls_;
    std::vector<violation> found_;
};

} // namespace

std::string const& second_key()
{
    static std::string const key = "key-b";
    return key;
}

std::string const& limited_key()
{
    static std::string const key = "key-limited";
    return key;
}

std::string const& crashing_part()
{
    static std::string const part = "crashing";
    return part;
}

std::size_t count_late_crashes(soak_history const& history, promise_bounds const& bounds)
{
    constexpr std::size_t crashes_to_know = 5;
    std::vector<base::time_point> times;
    for (auto const& it : history.crashes)
        times.push_back(it.at);
    if (times.size() <= crashes_to_know)
        return 0;
    std::sort(times.begin(), times.end());
    auto const known = times[crashes_to_know - 1] + bounds.crash_reaction;
    return static_cast<std::size_t>(
        std::count_if(times.begin(), times.end(), [&](auto const& it) { return it > known; }));
}

std::vector<violation> check_promises(soak_history const& history, promise_bounds const& bounds)
{
    return checker(history, bounds).check();
}

} // namespace savorymount::soak
