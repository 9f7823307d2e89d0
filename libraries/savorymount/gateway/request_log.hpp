#pragma once

#include <savorymount/gateway/request_outcome.hpp>
#include <savorymount/runtime/log_event.hpp>
#include <savorymount/runtime/log_sampler.hpp>

#include <cstddef>
#include <vector>

namespace savorymount::gateway
{

/// The log lines of one request: one for each failed attempt and one for the outcome.
std::vector<runtime::log_line> request_log_lines(request_outcome const& it);

/// Logs requests. Refusals, failures and requests that lost an upstream are always passed to the
/// rate-limited log, other requests are sampled. The lines of a request are logged together or not
/// at all.
class request_log
{
public:
    explicit request_log(std::size_t lines_per_second);

    /// Applies a changed limit and restarts the sampling.
    void set_lines_per_second(std::size_t lines_per_second);

    void write(base::time_point now, request_outcome const& it);

private:
    runtime::log_sampler sampler_;
};

} // namespace savorymount::gateway
