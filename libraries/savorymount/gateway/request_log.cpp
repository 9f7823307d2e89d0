#include <savorymount/gateway/request_log.hpp>
#include <savorymount/runtime/log_events.hpp>

#include <chrono>

namespace savorymount::gateway
{
namespace
{

namespace events = runtime::log_events;

// Half of the lines are reserved for refusals and failures; the remaining ones are for events
// other than requests.
constexpr double sampled_ratio = 0.4;
constexpr std::size_t max_list_bytes = 200;

runtime::log_sampler make_sampler(std::size_t lines_per_second)
{
    return runtime::log_sampler(static_cast<double>(lines_per_second) * sampled_ratio);
}

runtime::log_event const& event_of(request_end end)
{
    switch (end)
    {
    case request_end::answered:
        return events::request_answered;
    case request_end::refused:
        return events::request_refused;
    case request_end::failed:
        return events::request_failed;
    case request_end::abandoned:
        break;
    }
    return events::request_abandoned;
}

/// The ids in a field of bounded size; callers choose the ids.
std::string list_of(std::vector<std::string> const& ids)
{
    std::string out;
    for (auto const& it : ids)
    {
        if (out.size() + it.size() > max_list_bytes)
            return out + (out.empty() ? "..." : ",...");
        out += out.empty() ? it : "," + it;
    }
    return out;
}

} // namespace

std::vector<runtime::log_line> request_log_lines(request_outcome const& it)
{
    std::vector<runtime::log_line> out;
    for (auto const& attempt : it.lost_attempts)
        out.push_back({&events::upstream_lost,
                       {{"request", it.id},
                        {"route", it.route},
                        {"upstream", attempt.upstream},
                        {"digest", it.request_digest},
                        {"parts", list_of(it.shared_parts)},
                        {"response_started", attempt.response_started ? 1 : 0},
                        {"at_ms", base::to_milliseconds(attempt.time_since_arrival)}}});
    for (auto const& attempt : it.failed_attempts)
        out.push_back({&events::request_repeated,
                       {{"request", it.id},
                        {"upstream", attempt.upstream},
                        {"reason", attempt.reason},
                        {"at_ms", base::to_milliseconds(attempt.time_since_arrival)}}});
    out.push_back({&event_of(it.end),
                   {{"request", it.id},
                    {"route", it.route},
                    {"workspace", it.workspace},
                    {"upstream", it.upstream},
                    {"status", it.status},
                    {"reason", it.reason},
                    {"attempts", it.attempts},
                    {"configuration", it.configuration_version},
                    {"weights", it.weight_version},
                    {"software", it.software_version},
                    {"resumes", it.resumes},
                    {"origin", it.origin_source},
                    {"upstreams_age_ms", base::to_milliseconds(it.upstreams_age)},
                    {"weights_superseded_ms", base::to_milliseconds(it.weights_superseded_for)},
                    {"store_age_ms", base::to_milliseconds(it.store_age)},
                    {"expected_ms", base::to_milliseconds(it.expected_wait)},
                    {"upstream_running", static_cast<int>(it.upstream_requests)},
                    {"tokens", static_cast<std::int64_t>(it.requested_tokens)},
                    {"bucket_level", static_cast<std::int64_t>(it.bucket_level)},
                    {"waited_ms", base::to_milliseconds(it.admission_wait)},
                    {"placed_ms", base::to_milliseconds(it.time_to_last_attempt)},
                    {"first_byte_ms", base::to_milliseconds(it.time_to_first_byte)},
                    {"total_ms", base::to_milliseconds(it.total_time)}}});
    return out;
}

request_log::request_log(std::size_t lines_per_second) : sampler_(make_sampler(lines_per_second)) {}

void request_log::set_lines_per_second(std::size_t lines_per_second)
{
    sampler_ = make_sampler(lines_per_second);
}

void request_log::write(base::time_point now, request_outcome const& it)
{
    bool const sampled = sampler_.keep(now, it.id);
    bool const important = it.end == request_end::refused || it.end == request_end::failed ||
                           !it.lost_attempts.empty();
    if (sampled || important)
        runtime::log(request_log_lines(it));
    else
        runtime::note_lines_left_out(request_log_lines(it).size());
}

} // namespace savorymount::gateway
