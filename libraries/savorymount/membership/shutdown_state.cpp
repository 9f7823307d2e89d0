#include <savorymount/membership/shutdown_state.hpp>

namespace savorymount::membership
{

bool shutdown_state::begin_request()
{
    if (!accepting())
        return false;
    ++requests_;
    return true;
}

void shutdown_state::end_request()
{
    if (requests_ > 0)
        --requests_;
}

bool shutdown_state::begin_task()
{
    if (drained_)
        return false;
    ++tasks_;
    return true;
}

void shutdown_state::end_task()
{
    if (tasks_ > 0)
        --tasks_;
}

void shutdown_state::begin_shutdown(base::time_point now)
{
    if (!shutdown_began_at_)
        shutdown_began_at_ = now;
}

shutdown_phase shutdown_state::phase(base::time_point now)
{
    if (!shutdown_began_at_)
        return shutdown_phase::accepting;
    drained_ = drained_ || (requests_ == 0 && tasks_ == 0 && now >= *announcement_end());
    return drained_ ? shutdown_phase::drained : shutdown_phase::leaving;
}

std::optional<base::time_point> shutdown_state::announcement_end() const
{
    if (!shutdown_began_at_)
        return std::nullopt;
    return *shutdown_began_at_ + announcement_period_;
}

} // namespace savorymount::membership
