#include <algorithm>
#include <tests/stand_ins/platform/weight_store.hpp>

namespace savorymount::stand_ins
{

std::optional<base::duration> weight_store::begin(base::time_point now)
{
    std::chrono::duration<double> const since = now - refilled_;
    allowance_ = std::min(limits_.per_second, allowance_ + since.count() * limits_.per_second);
    refilled_ = now;
    if (allowance_ < 1)
        return std::nullopt;
    allowance_ -= 1;
    ++running_;
    return limits_.delay * ((running_ + limits_.at_once - 1) / limits_.at_once);
}

} // namespace savorymount::stand_ins
