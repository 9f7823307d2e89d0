#include <savorymount/membership/topic_horizon.hpp>

#include <algorithm>

namespace savorymount::membership
{

void topic_horizon::records_read(topic_read const& read)
{
    // The store answers a read without records only after the whole poll timeout. The response may
    // have waited for this process, so the time at which it is handled says nothing more.
    bool const was_held_open =
        !read.has_records && read.handled_at - read.sent_at >= read.poll_timeout;
    raise(was_held_open ? read.sent_at + read.poll_timeout : read.sent_at);
}

void topic_horizon::raise(base::time_point until)
{
    complete_until_ = std::max(complete_until_.value_or(until), until);
}

} // namespace savorymount::membership
