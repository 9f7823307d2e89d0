#pragma once

#include <savorymount/base/error.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace savorymount::control
{

/// One `key=value` pair of a log line.
struct line_field
{
    std::string key;
    std::string value;

    bool operator==(line_field const&) const = default;
};

/// A log line of a process, read back.
struct logged_line
{
    /// Name of the file that it came from.
    std::string file;
    std::chrono::system_clock::time_point time;
    std::string time_text;
    /// Name of the event.
    std::string name;
    /// The fields behind the event's name, in their order.
    std::vector<line_field> fields;

    /// The value of a field; empty when there is none.
    std::string_view value(std::string_view key) const;

    bool operator==(logged_line const&) const = default;
};

/// Reads one line. What stands before `time=`, such as the name that a collector adds, is skipped.
/// Empty for a line that no process of savorymount wrote.
std::optional<logged_line> parse_log_line(std::string_view text, std::string const& file);

/// The lines of a file in their order. Empty, with `not_found`, if it can't be read.
std::optional<std::vector<logged_line>> read_log_file(std::string const& path, base::error& reason);

} // namespace savorymount::control
