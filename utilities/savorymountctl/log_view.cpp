#include "utilities/savorymountctl/log_view.hpp"

namespace savorymount::control
{
namespace
{

using namespace std::chrono_literals;

constexpr int max_attempts = 5;
constexpr base::duration retry_delay = 500ms;

} // namespace

log_view::log_view(platform_client& client) : client_(client)
{
    fold_.on_audit = [this](configuration::audit_entry const& entry)
    {
        audit_.push_back(entry);
        if (on_audit)
            on_audit(entry);
    };
}

bool log_view::catch_up(base::error& reason)
{
    int attempts = 0;
    while (true)
    {
        auto const page = client_.read(fold_.next_offset(), reason);
        if (!page)
        {
            if (++attempts == max_attempts)
                return false;
            client_.wait(retry_delay);
            continue;
        }
        attempts = 0;
        fold_.skip_to(page->first);
        auto const before = fold_.next_offset();
        for (auto const& it : page->records)
            fold_.apply(it.offset, it.id, it.body);
        if (fold_.next_offset() == before)
            return true;
    }
}

bool log_view::check_synchronized(base::error& reason) const
{
    if (fold_.synchronized())
        return true;
    reason = {base::error_kind::unavailable,
              "old records of the log have expired and no snapshot covers them, so the version in "
              "force is not known; wait until an instance has appended a snapshot"};
    return false;
}

} // namespace savorymount::control
