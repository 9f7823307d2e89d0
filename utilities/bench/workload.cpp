#include "utilities/bench/workload.hpp"

#include <savorymount/base/digest.hpp>
#include <savorymount/base/random_source.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <string>
#include <utility>

namespace savorymount::bench
{
namespace
{

/// Requests of one caller about the same documents, and the mean pause between them.
constexpr double session_requests = 4.0;
constexpr double think_seconds = 2.0;

using path = std::array<std::size_t, 3>;

double exponential(base::random_source& random, double mean)
{
    return -mean * std::log(1.0 - random.uniform_real());
}

std::size_t zipf(base::random_source& random, level_shape const& shape)
{
    double total = 0;
    for (std::size_t i = 1; i <= shape.count; ++i)
        total += std::pow(static_cast<double>(i), -shape.skew);
    double left = random.uniform_real() * total;
    for (std::size_t i = 1; i < shape.count; ++i)
    {
        left -= std::pow(static_cast<double>(i), -shape.skew);
        if (left < 0)
            return i - 1;
    }
    return shape.count - 1;
}

routing::prompt_prefix prefix_of(deployment const& of, std::size_t workspace, path const& at,
                                 std::uint64_t question)
{
    routing::prompt_prefix out;
    std::uint64_t digest = base::chain_digest(0, of.name + std::to_string(workspace));
    auto const add = [&](std::string const& text, std::uint64_t tokens)
    {
        digest = base::chain_digest(digest, text);
        out.digests.push_back(digest);
        out.block_bytes.push_back(static_cast<std::uint32_t>(tokens * bytes_per_token));
        out.text_bytes += tokens * bytes_per_token;
    };
    for (std::size_t level = 0; level < at.size(); ++level)
    {
        for (std::size_t block = 0; block < of.levels[level].blocks; ++block)
            add(std::to_string(at[level]) + "/" + std::to_string(block), block_tokens);
        out.message_ends.push_back(static_cast<std::uint32_t>(out.digests.size()));
    }
    add("question " + std::to_string(question), of.question_tokens);
    out.message_ends.push_back(static_cast<std::uint32_t>(out.digests.size()));
    return out;
}

/// Sessions of one workspace between two times.
class session_source
{
public:
    session_source(deployment const& of, std::size_t workspace, std::uint64_t seed)
        : of_(of), workspace_(workspace), random_(seed), question_(seed)
    {
    }

    /// Adds sessions that start in the interval; `book` fixes the first level.
    void add(std::vector<simulated_request>& out, base::duration from, base::duration to,
             double requests_per_second, std::optional<std::size_t> book)
    {
        double const mean = session_requests / requests_per_second;
        double start = seconds(from) + exponential(random_, mean);
        for (; start < seconds(to); start += exponential(random_, mean))
            add_session(out, start, book);
    }

private:
    static double seconds(base::duration time)
    {
        return std::chrono::duration<double>(time).count();
    }

    void add_session(std::vector<simulated_request>& out, double start,
                     std::optional<std::size_t> book)
    {
        path at{zipf(random_, of_.levels[0]), zipf(random_, of_.levels[1]),
                zipf(random_, of_.levels[2])};
        if (book)
            at = {*book, random_.uniform_below(of_.levels[1].count),
                  random_.uniform_below(of_.levels[2].count)};
        double time = start;
        do
        {
            auto const arrival = base::time_point(
                base::duration(static_cast<base::duration::rep>(std::llround(time * 1e6))));
            out.push_back({arrival, workspace_, random_.uniform_below(of_.entries),
                           prefix_of(of_, workspace_, at, ++question_), of_.answer_tokens});
            time += exponential(random_, think_seconds);
        } while (random_.uniform_real() < 1.0 - 1.0 / session_requests);
    }

    deployment const& of_;
    std::size_t workspace_;
    base::random_source random_;
    std::uint64_t question_;
};

constexpr std::array<std::pair<workload_kind, std::string_view>, 7> names{{
    {workload_kind::steady, "steady"},
    {workload_kind::overload, "overload"},
    {workload_kind::overload_unlimited, "overload-unlimited"},
    {workload_kind::hot_prefix, "hot-prefix"},
    {workload_kind::moving_prefix, "moving-prefix"},
    {workload_kind::engine_crash, "engine-crash"},
    {workload_kind::entry_restart, "entry-restart"},
}};

} // namespace

std::vector<workload_kind> const& all_workloads()
{
    static std::vector<workload_kind> const all = []
    {
        std::vector<workload_kind> out;
        out.reserve(names.size());
        for (auto const& it : names)
            out.push_back(it.first);
        return out;
    }();
    return all;
}

std::string_view to_string(workload_kind kind)
{
    return names[static_cast<std::size_t>(kind)].second;
}

std::optional<workload_kind> parse_workload(std::string_view name)
{
    for (auto const& it : names)
    {
        if (it.second == name)
            return it.first;
    }
    return std::nullopt;
}

std::vector<simulated_request> generate(deployment const& of, workload_kind kind,
                                        std::uint64_t seed)
{
    std::vector<simulated_request> out;
    double const rate = request_rate(of);
    bool const hot = kind == workload_kind::hot_prefix || kind == workload_kind::moving_prefix;
    bool const overload =
        kind == workload_kind::overload || kind == workload_kind::overload_unlimited;
    for (std::size_t workspace = 0; workspace < of.shares.size(); ++workspace)
    {
        session_source source(of, workspace, seed * 1000 + workspace);
        double const share = of.shares[workspace] * rate;
        // The hot rulebook displaces other traffic, so that the load stays the same.
        double const after = hot ? (1.0 - hot_share) * share : share;
        source.add(out, {}, event_time, share, std::nullopt);
        source.add(out, event_time, run_length, after, std::nullopt);
        if (overload && workspace == disturbing_workspace)
        {
            session_source extra(of, workspace, seed * 1000 + 500);
            extra.add(out, event_time, run_length, (overload_factor - 1) * share, std::nullopt);
        }
    }
    if (hot)
    {
        session_source source(of, disturbing_workspace, seed * 1000 + 600);
        bool const moving = kind == workload_kind::moving_prefix;
        base::duration const step = moving ? move_interval : run_length - event_time;
        std::size_t book = 100;
        for (base::duration from = event_time; from < run_length; from += step)
            source.add(out, from, std::min(from + step, run_length), hot_share * rate, book++);
    }
    std::erase_if(out, [](simulated_request const& it)
                  { return it.arrival >= base::time_point(run_length); });
    std::stable_sort(out.begin(), out.end(),
                     [](simulated_request const& left, simulated_request const& right)
                     { return left.arrival < right.arrival; });
    return out;
}

} // namespace savorymount::bench
