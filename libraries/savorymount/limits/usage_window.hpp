#pragma once

#include <savorymount/base/time.hpp>

#include <deque>

namespace savorymount::limits
{

/// Tokens that were used within a sliding window, counted in slots of a tenth of a second.
class usage_window
{
public:
    explicit usage_window(base::duration length) : length_(length) {}

    base::duration length() const { return length_; }

    /// Adds tokens used now; negative ones take back.
    void add(base::time_point now, double tokens);

    /// Fills the window as if tokens had been used at `rate` until now.
    void assume_rate(base::time_point now, double rate);

    /// Multiplies what was used, after a change of the limit.
    void scale(double factor);

    double used(base::time_point now);

    /// Time until at most `tokens` of what is used now are still in the window.
    base::duration time_until_at_most(base::time_point now, double tokens) const;

private:
    struct slot
    {
        base::time_point start;
        double tokens;
    };

    void expire(base::time_point now);

    base::duration length_;
    std::deque<slot> slots_;
    double sum_ = 0;
};

} // namespace savorymount::limits
