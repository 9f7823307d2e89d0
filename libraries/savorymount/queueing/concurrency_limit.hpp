#pragma once

#include <savorymount/base/time.hpp>

#include <optional>

namespace savorymount::queueing
{

/// Limits how many less urgent requests this instance has at engines while more urgent ones come
/// late. It falls by a factor and rises steadily, so that instances which share engines approach
/// equal parts without agreeing on them. Without late requests there is no limit.
class concurrency_limit
{
public:
    /// A more urgent request that began at `began_at` comes late while `running` less urgent ones
    /// are at engines.
    void record_late(base::time_point now, base::time_point began_at, double running);

    /// The limit; empty if there is none now.
    std::optional<double> value(base::time_point now) const;

    /// Whether one more less urgent request may begin beside `running` others.
    bool allows(base::time_point now, double running) const;

private:
    double lowered_to_ = 0;
    std::optional<base::time_point> lowered_at_;
};

} // namespace savorymount::queueing
