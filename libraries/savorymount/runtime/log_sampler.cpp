#include <savorymount/base/digest.hpp>
#include <savorymount/runtime/log_sampler.hpp>

#include <algorithm>

namespace savorymount::runtime
{
namespace
{

using namespace std::chrono_literals;

constexpr base::duration interval = 1s;
constexpr double all_digests = 18'446'744'073'709'551'616.0;
// Shares are powers of two, so that processes under about the same load choose the same requests.
constexpr double smallest_share = 1.0 / 1024;

} // namespace

bool log_sampler::keep(base::time_point now, std::string_view request)
{
    if (requests_per_second_ <= 0)
        return true;
    if (now - interval_from_ >= interval)
        end_interval(now);
    ++counted_;
    auto const digest = base::chain_digest(0, request);
    return static_cast<double>(digest) < share_ * all_digests;
}

void log_sampler::end_interval(base::time_point now)
{
    auto const seconds = std::chrono::duration<double>(now - interval_from_).count();
    auto const offered = static_cast<double>(counted_) / seconds;
    share_ = 1;
    while (offered * share_ > requests_per_second_ && share_ > smallest_share)
        share_ /= 2;
    interval_from_ = now;
    counted_ = 0;
}

} // namespace savorymount::runtime
