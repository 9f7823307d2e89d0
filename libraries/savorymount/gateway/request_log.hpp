#pragma once

#include <savorymount/gateway/request_outcome.hpp>
#include <savorymount/runtime/log_event.hpp>
#include <savorymount/runtime/log_sampler.hpp>

#include <cstddef>
#include <vector>

namespace savorymount::gateway
{

/// The lines about one request: one for each upstream that it left, and its end.
std::vector<runtime::log_line> request_log_lines(request_outcome const& it);

/// Writes the lines about requests. Refusals and failures are written while the log has room;
/// of the others a share that the log can hold. All lines of a request are written or none.
class request_log
{
public:
    explicit request_log(std::size_t lines_per_second);

    /// Applies a changed bound; the share is found anew.
    void set_lines_per_second(std::size_t lines_per_second);

    void write(base::time_point now, request_outcome const& it);

private:
    runtime::log_sampler sampler_;
};

} // namespace savorymount::gateway
