#include <savorymount/runtime/log_budget.hpp>

#include <algorithm>
#include <poll.h>
#include <utility>

namespace savorymount::runtime
{
namespace
{

using namespace std::chrono_literals;

constexpr double reserved_part = 0.5;
constexpr base::duration telling_interval = 1s;

} // namespace

bool log_budget::admit(base::time_point now, bool important, std::uint64_t lines)
{
    if (lines_per_second_ <= 0)
        return true;
    auto const passed = std::chrono::duration<double>(now - refilled_at_).count();
    level_ = std::min(level_ + passed * lines_per_second_, lines_per_second_);
    refilled_at_ = now;
    auto const wanted = static_cast<double>(lines);
    auto const least = important ? wanted : lines_per_second_ * reserved_part + wanted;
    if (level_ < least)
    {
        dropped_ += lines;
        return false;
    }
    level_ -= wanted;
    return true;
}

std::uint64_t log_budget::take_dropped(base::time_point now)
{
    if (dropped_ == 0 || now - told_at_ < telling_interval)
        return 0;
    told_at_ = now;
    return std::exchange(dropped_, 0);
}

bool takes_a_line(int descriptor)
{
    // A pipe is writable when it has room for at least one page, which holds any line.
    pollfd it{descriptor, POLLOUT, 0};
    return poll(&it, 1, 0) == 1 && (it.revents & POLLOUT) != 0;
}

} // namespace savorymount::runtime
