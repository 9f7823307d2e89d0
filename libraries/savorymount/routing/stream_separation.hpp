#pragma once

#include <savorymount/base/time.hpp>
#include <savorymount/routing/upstream_table.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace savorymount::routing
{

/// Which engines of a service are kept for streams with short prompts. Reading a long prompt pauses
/// all streams of its engine. All instances order the engines alike, so that they agree without
/// messages while they see about the same load.
class stream_separation
{
public:
    /// `target_event_gap` is the longest pause between two events that the route aims for. Not in
    /// force if it is zero, or if no engine tells its pace.
    stream_separation(base::time_point now, std::vector<upstream_state*> const& engines,
                      double short_request_share, base::duration target_event_gap);

    bool in_force() const { return in_force_; }

    /// Typical pause between two events at an engine, relative to the lower quartile of all
    /// engines; 1 if unknown or not in force.
    double slowness(std::string const& engine) const;

    /// Whether the engine is kept for requests of this kind.
    bool suits(std::string const& engine, bool short_prompt) const;

    /// Expected delay of streams, in milliseconds, if a request of this kind goes to the engine.
    double cost_ms(std::string const& engine, bool short_prompt) const;

private:
    bool in_force_ = false;
    double target_gap_ms_ = 0;
    std::map<std::string, double> slowness_;
    std::set<std::string> short_prompt_engines_;
};

/// Whether reading a prompt of `tokens` pauses other streams for much less than `target_event_gap`.
bool is_short_prompt(double tokens, base::duration target_event_gap);

/// Slowness from which an engine is avoided for streams.
bool is_slow(double slowness);

} // namespace savorymount::routing
