#pragma once

#include <savorymount/base/time.hpp>

#include <cstddef>
#include <optional>

namespace savorymount::stand_ins
{

/// The pace at which weights are delivered. Downloads slow down when many run at once, and are
/// refused above a rate.
class weight_store
{
public:
    struct limits
    {
        base::duration delay;
        std::size_t at_once;
        double per_second;
    };

    explicit weight_store(limits const& pace) : limits_(pace), allowance_(pace.per_second) {}

    /// The duration of a download that starts now; nothing if it is refused. Each started download
    /// needs one call of `end`.
    std::optional<base::duration> begin(base::time_point now);

    void end() { --running_; }

private:
    limits limits_;
    double allowance_;
    base::time_point refilled_;
    std::size_t running_ = 0;
};

} // namespace savorymount::stand_ins
