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

bool shutdown_state::begin_duty()
{
    if (drained_)
        return false;
    ++duties_;
    return true;
}

void shutdown_state::end_duty()
{
    if (duties_ > 0)
        --duties_;
}

void shutdown_state::leave(base::time_point now)
{
    if (!leaving_since_)
        leaving_since_ = now;
}

shutdown_phase shutdown_state::phase(base::time_point now)
{
    if (!leaving_since_)
        return shutdown_phase::accepting;
    drained_ = drained_ || (requests_ == 0 && duties_ == 0 && now >= *announcement_end());
    return drained_ ? shutdown_phase::drained : shutdown_phase::leaving;
}

std::optional<base::time_point> shutdown_state::announcement_end() const
{
    if (!leaving_since_)
        return std::nullopt;
    return *leaving_since_ + announcement_;
}

} // namespace savorymount::membership
