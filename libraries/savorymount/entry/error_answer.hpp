#pragma once

#include <savorymount/base/error.hpp>
#include <savorymount/base/time.hpp>
#include <savorymount/runtime/http_header.hpp>

#include <string>
#include <string_view>

namespace savorymount::entry
{

/// Whether a request that got an error ran.
enum class execution
{
    not_run,
    unknown,
    partial
};

std::string_view to_string(execution state);

/// An error as the caller gets it.
struct error_answer
{
    int status = 0;
    runtime::http_headers headers;
    std::string body;

    bool operator==(error_answer const&) const = default;
};

/// Builds the JSON error; a zero `retry_after` leaves the `Retry-After` header out.
error_answer make_error_answer(base::error const& reason, execution state,
                               base::duration retry_after, std::string const& request_id);

/// The HTTP status of an error kind.
int status_of(base::error_kind kind);

} // namespace savorymount::entry
