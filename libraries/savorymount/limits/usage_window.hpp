#pragma once

#include <savorymount/base/time.hpp>

#include <deque>

namespace savorymount::limits
{

/// Tokens used within a sliding window, counted in slots of 100 ms.
class usage_window
{
public:
    explicit usage_window(base::duration length) : length_(length) {}

    base::duration length() const { return length_; }
    /// Usage that a shorter window no longer covers is dropped.
    void set_length(base::duration length) { length_ = length; }

    /// Adds tokens used now; a negative number returns tokens.
    void add(base::time_point now, double tokens);

    /// Fills the window as if tokens had been used at `rate` per second until now.
    void assume_rate(base::time_point now, double rate);

    /// Multiplies the recorded usage by `factor`, after a change of the limit.
    void scale(double factor);

    double used(base::time_point now);

    /// Time until at most `tokens` of the recorded usage are left in the window.
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
