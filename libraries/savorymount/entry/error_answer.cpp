#include <savorymount/entry/error_answer.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace savorymount::entry
{

std::string_view to_string(execution state)
{
    switch (state)
    {
    case execution::not_run:
        return "not_run";
    case execution::unknown:
        return "unknown";
    case execution::partial:
        return "partial";
    }
    return "unknown";
}

int status_of(base::error_kind kind)
{
    switch (kind)
    {
    case base::error_kind::invalid_input:
        return 400;
    case base::error_kind::unauthorized:
        return 401;
    case base::error_kind::forbidden:
        return 403;
    case base::error_kind::not_found:
        return 404;
    case base::error_kind::conflict:
        return 409;
    case base::error_kind::too_large:
        return 413;
    case base::error_kind::rate_limited:
        return 429;
    case base::error_kind::unknown_outcome:
    case base::error_kind::crashed:
        return 502;
    case base::error_kind::overloaded:
    case base::error_kind::unavailable:
        return 503;
    case base::error_kind::deadline:
        return 504;
    case base::error_kind::internal:
        return 500;
    }
    return 500;
}

error_answer make_error_answer(base::error const& reason, execution state,
                               base::duration retry_after, std::string const& request_id)
{
    std::string const kind(base::to_string(reason.kind));
    std::string const ran(to_string(state));
    nlohmann::json const body{
        {"error",
         {{"type", kind}, {"code", kind}, {"message", reason.message}, {"execution", ran}}}};
    error_answer out;
    out.status = status_of(reason.kind);
    out.headers = {{"content-type", "application/json"},
                   {"x-savorymount-request-id", request_id},
                   {"x-savorymount-execution", ran}};
    if (retry_after > base::duration::zero())
    {
        auto const seconds = std::chrono::ceil<std::chrono::seconds>(retry_after).count();
        out.headers.push_back({"retry-after", std::to_string(std::max<std::int64_t>(1, seconds))});
    }
    out.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    return out;
}

} // namespace savorymount::entry
