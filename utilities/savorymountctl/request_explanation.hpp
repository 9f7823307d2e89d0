#pragma once

#include "utilities/savorymountctl/log_file.hpp"

#include <string>
#include <vector>

namespace savorymount::control
{

/// What the logs tell of one request.
struct request_explanation
{
    /// Its own lines, in the order of their times.
    std::vector<logged_line> own;
    /// What each process that has such lines believed then: its latest line of each kind, from
    /// before the request's end.
    std::vector<logged_line> beliefs;
    /// Requests that failed at, or left, an upstream of this one within a second.
    std::vector<logged_line> neighbours;
    /// A process left out lines, so that those of this request may be missing.
    bool lines_dropped = false;

    bool operator==(request_explanation const&) const = default;
};

/// Searches the lines of several files; the lines of one file are in the order of their times.
request_explanation explain_request(std::string const& request,
                                    std::vector<std::vector<logged_line>> const& files);

/// The explanation as text for operators.
std::string to_text(std::string const& request, request_explanation const& it);

} // namespace savorymount::control
