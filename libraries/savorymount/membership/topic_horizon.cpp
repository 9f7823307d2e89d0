#include <savorymount/membership/topic_horizon.hpp>

#include <algorithm>

namespace savorymount::membership
{
namespace
{

// A store whose timer fires this much early still held a read open for its time.
constexpr base::duration poll_timeout_tolerance = std::chrono::milliseconds(20);

} // namespace

std::optional<base::time_point> topic_read::complete_until() const
{
    // The records after the returned ones may be older than the read.
    if (!reached_end)
        return std::nullopt;
    // The store answers a read without records only after the whole poll timeout. The response may
    // have waited for this process, so the time at which it is handled says nothing more.
    auto const held_time = std::max(poll_timeout - poll_timeout_tolerance, base::duration::zero());
    bool const was_held_open = !has_records && handled_at - sent_at >= held_time;
    return was_held_open ? sent_at + held_time : sent_at;
}

void topic_horizon::records_read(topic_read const& read)
{
    if (auto const until = read.complete_until())
        raise(*until);
}

void topic_horizon::raise(base::time_point until)
{
    complete_until_ = std::max(complete_until_.value_or(until), until);
}

} // namespace savorymount::membership
