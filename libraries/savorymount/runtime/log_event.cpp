#include <savorymount/runtime/log_budget.hpp>
#include <savorymount/runtime/log_event.hpp>
#include <savorymount/runtime/log_events.hpp>

#include <easylogging++.h>

#include <algorithm>
#include <chrono>
#include <unistd.h>
#include <utility>

INITIALIZE_EASYLOGGINGPP

namespace savorymount::runtime
{
namespace
{

void append_quoted(std::string& line, std::string_view value)
{
    if (!value.empty() && value.find_first_of(" \"=\n\r\t") == std::string_view::npos)
    {
        line += value;
        return;
    }
    line += '"';
    for (char const it : value)
    {
        if (it == '"' || it == '\\')
            line += '\\';
        line += static_cast<unsigned char>(it) < 0x20 ? ' ' : it;
    }
    line += '"';
}

log_budget& budget()
{
    static log_budget all(0);
    return all;
}

base::time_point log_time()
{
    return base::time_point(std::chrono::duration_cast<base::duration>(
        std::chrono::steady_clock::now().time_since_epoch()));
}

void write_line(log_event const& event, std::vector<log_field> const& fields)
{
    std::string line = "event=" + std::to_string(event.number) + " name=" + std::string(event.name);
    for (auto const& it : fields)
    {
        line += ' ';
        line += it.key;
        line += '=';
        append_quoted(line, it.value);
    }
    switch (event.level)
    {
    case log_level::info:
        LOG(INFO) << line;
        break;
    case log_level::warning:
        LOG(WARNING) << line;
        break;
    case log_level::error:
        LOG(ERROR) << line;
        break;
    }
}

} // namespace

void configure_log(std::string_view program, double lines_per_second)
{
    budget() = log_budget(lines_per_second);
    el::Configurations settings;
    settings.setToDefault();
    settings.setGlobally(el::ConfigurationType::Format,
                         "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} program=" + std::string(program) +
                             " level=%levshort %msg");
    settings.setGlobally(el::ConfigurationType::ToFile, "false");
    settings.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    el::Loggers::reconfigureLogger("default", settings);
}

void log(log_event const& event, std::vector<log_field> fields)
{
    std::vector<log_line> lines;
    lines.push_back({&event, std::move(fields)});
    log(lines);
}

void log(std::vector<log_line> const& lines)
{
    auto const now = log_time();
    bool const important =
        std::any_of(lines.begin(), lines.end(),
                    [](log_line const& it) { return it.event->level != log_level::info; });
    if (!budget().admit(now, important, lines.size()))
        return;
    if (!takes_a_line(STDOUT_FILENO))
    {
        budget().left_out(lines.size());
        return;
    }
    if (auto const dropped = budget().take_dropped(now))
        write_line(log_events::log_lines_dropped, {{"lines", dropped}});
    for (auto const& it : lines)
        write_line(*it.event, it.fields);
}

void note_lines_left_out(std::uint64_t lines)
{
    budget().left_out(lines);
}

} // namespace savorymount::runtime
