#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace savorymount::runtime
{

enum class log_level
{
    info,
    warning,
    error
};

/// One kind of log line. Every kind is declared in `log_events.hpp` and listed in
/// docs/LOG-EVENTS.md.
struct log_event
{
    int number;
    log_level level;
    std::string_view name;
    std::string_view meaning;
};

/// One `key=value` pair of a log line.
struct log_field
{
    std::string_view key;
    std::string value;

    log_field(std::string_view name, std::string text) : key(name), value(std::move(text)) {}
    log_field(std::string_view name, std::string_view text) : key(name), value(text) {}
    log_field(std::string_view name, char const* text) : key(name), value(text) {}
    template <typename Number>
    requires std::is_arithmetic_v<Number> log_field(std::string_view name, Number number)
        : key(name), value(std::to_string(number))
    {
    }
};

/// One line that is not written yet.
struct log_line
{
    log_event const* event = nullptr;
    std::vector<log_field> fields;
};

/// Sends log lines to standard output, one line each; no log file is written. At most
/// `lines_per_second` are written, zero means no bound.
void configure_log(std::string_view program, double lines_per_second = 0);

/// Writes `event=<number> name=<name>` and the fields. Values with spaces or quotes are quoted.
/// Never waits: a line above the budget, or one that the reader does not take, is dropped and
/// counted.
void log(log_event const& event, std::vector<log_field> fields = {});

/// Writes all lines or none; they count as important if one of them is a warning or an error.
void log(std::vector<log_line> const& lines);

/// Counts lines that are left out on purpose.
void note_lines_left_out(std::uint64_t lines);

} // namespace savorymount::runtime
