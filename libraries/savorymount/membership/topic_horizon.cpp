#include <savorymount/membership/topic_horizon.hpp>

#include <algorithm>

namespace savorymount::membership
{

std::optional<base::time_point> topic_read::complete_until() const
{
    // The records after the returned ones may be older than the read.
    if (!reached_end)
        return std::nullopt;
    // The store answers a read without records only after the whole poll timeout. The response may
    // have waited for this process, so the time at which it is handled says nothing more.
    bool const was_held_open = !has_records && handled_at - sent_at >= poll_timeout;
    return was_held_open ? sent_at + poll_timeout : sent_at;
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
