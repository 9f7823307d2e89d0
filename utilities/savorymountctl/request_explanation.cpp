#include "utilities/savorymountctl/request_explanation.hpp"

#include "utilities/savorymountctl/text_table.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <set>

namespace savorymount::control
{
namespace
{

using namespace std::chrono_literals;

constexpr auto neighbourhood = 1s;
constexpr std::size_t most_neighbours_shown = 10;

/// Lines about what a process believes. Of two that cancel each other the later one counts.
constexpr std::array<std::pair<std::string_view, std::string_view>, 11> belief_topics{{
    {"started", "process"},
    {"stopping", "process"},
    {"configuration_adopted", "configuration"},
    {"setting_changed", "setting"},
    {"log_unavailable", "store"},
    {"log_available", "store"},
    {"cache_store_unavailable", "cache store"},
    {"cache_store_available", "cache store"},
    {"weights_wanted", "weights"},
    {"duty_acquired", "duty"},
    {"duty_lost", "duty"},
}};

std::string topic_of(logged_line const& line)
{
    for (auto const& [name, topic] : belief_topics)
    {
        // Settings and models have one line each.
        if (line.name == name)
            return std::string(topic) + "/" + std::string(line.value("model")) +
                   std::string(line.value("setting"));
    }
    return "";
}

bool is_trouble(logged_line const& line)
{
    return line.name == "request_failed" || line.name == "request_repeated";
}

std::set<std::string> upstreams_of(std::vector<logged_line> const& lines)
{
    std::set<std::string> out;
    for (auto const& it : lines)
    {
        if (!it.value("upstream").empty())
            out.emplace(it.value("upstream"));
    }
    return out;
}

void sort_by_time(std::vector<logged_line>& lines)
{
    std::stable_sort(lines.begin(), lines.end(),
                     [](auto const& a, auto const& b) { return a.time < b.time; });
}

void add_beliefs(request_explanation& out, std::vector<logged_line> const& lines,
                 std::chrono::system_clock::time_point until,
                 std::set<std::string> const& upstreams)
{
    std::map<std::string, logged_line const*> latest;
    for (auto const& it : lines)
    {
        if (it.time > until)
            break;
        bool const lost =
            it.name == "upstream_unlisted" && upstreams.contains(std::string(it.value("upstream")));
        auto const topic = lost ? "upstream/" + std::string(it.value("upstream")) : topic_of(it);
        if (!topic.empty())
            latest[topic] = &it;
    }
    for (auto const& [topic, line] : latest)
        out.beliefs.push_back(*line);
}

void add_neighbours(request_explanation& out, std::string const& request,
                    std::vector<logged_line> const& lines, std::set<std::string> const& upstreams)
{
    for (auto const& it : lines)
    {
        bool const near = it.time > out.own.front().time - neighbourhood &&
                          it.time < out.own.back().time + neighbourhood;
        if (near && is_trouble(it) && it.value("request") != request &&
            upstreams.contains(std::string(it.value("upstream"))))
            out.neighbours.push_back(it);
    }
}

std::string details(logged_line const& line)
{
    std::string out;
    for (auto const& it : line.fields)
    {
        if (it.key == "request" || it.value.empty())
            continue;
        out += out.empty() ? "" : "  ";
        out += it.key + "=" + it.value;
    }
    return out;
}

std::string table_of(std::vector<logged_line> const& lines)
{
    text_table out({"TIME", "LOG", "EVENT", "DETAILS"});
    for (auto const& it : lines)
        out.add({it.time_text, it.file, it.name, details(it)});
    return out.text();
}

} // namespace

request_explanation explain_request(std::string const& request,
                                    std::vector<std::vector<logged_line>> const& files)
{
    request_explanation out;
    for (auto const& lines : files)
    {
        for (auto const& it : lines)
        {
            if (it.value("request") == request)
                out.own.push_back(it);
            out.lines_dropped = out.lines_dropped || it.name == "log_lines_dropped";
        }
    }
    sort_by_time(out.own);
    if (out.own.empty())
        return out;
    auto const upstreams = upstreams_of(out.own);
    for (auto const& lines : files)
    {
        bool const involved =
            std::any_of(lines.begin(), lines.end(),
                        [&](auto const& it) { return it.value("request") == request; });
        if (involved)
            add_beliefs(out, lines, out.own.back().time, upstreams);
        add_neighbours(out, request, lines, upstreams);
    }
    sort_by_time(out.beliefs);
    sort_by_time(out.neighbours);
    return out;
}

std::string to_text(std::string const& request, request_explanation const& it)
{
    if (it.own.empty())
        return "no log has a line of request " + printable(request) +
               (it.lines_dropped ? "; some processes left lines out, see log_lines_dropped\n"
                                 : "; check the id, and that all instances' logs are given\n");
    std::string out = "Request " + printable(request) + "\n" + table_of(it.own);
    out += "\nWhat its process believed\n" + table_of(it.beliefs);
    out += "\nOther requests that failed at the same upstreams within a second: " +
           std::to_string(it.neighbours.size()) + "\n";
    auto shown = it.neighbours;
    shown.resize(std::min(shown.size(), most_neighbours_shown));
    return shown.empty() ? out : out + table_of(shown);
}

} // namespace savorymount::control
