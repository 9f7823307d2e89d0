#include <savorymount/runtime/log_events.hpp>
#include <savorymount/runtime/log_follower.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace savorymount::runtime
{
namespace
{

using namespace std::chrono_literals;

constexpr base::duration poll_interval = 500ms;
constexpr std::size_t page_size = 500;

base::duration jittered(base::duration interval)
{
    // Instances that start together must not read the log in the same moment for ever.
    static thread_local std::minstd_rand generator{std::random_device{}()};
    std::uniform_int_distribution<base::duration::rep> spread(interval.count() * 3 / 4,
                                                              interval.count() * 5 / 4);
    return base::duration(spread(generator));
}

} // namespace

log_follower::log_follower(timer_service& timers, platform_log log)
    : timers_(timers), log_(std::move(log))
{
}

void log_follower::start()
{
    read();
}

void log_follower::append(std::string id, nlohmann::json body, platform_log::append_done done)
{
    log_.append(std::move(id), std::move(body),
                [this, done = std::move(done)](std::optional<std::uint64_t> offset,
                                               base::error const& reason)
                {
                    if (offset)
                        schedule(0ms);
                    done(offset, reason);
                });
}

void log_follower::read()
{
    log_.read(next_, page_size,
              [this, from = next_, sent = timers_.now()](std::optional<log_page> const& page,
                                                         base::error const& reason)
              { handle(from, sent, page, reason); });
}

void log_follower::handle(std::uint64_t from, base::time_point sent,
                          std::optional<log_page> const& page, base::error const& reason)
{
    if (std::exchange(available_, page.has_value()) != page.has_value())
    {
        if (page)
            runtime::log(log_events::log_available);
        else
            runtime::log(log_events::log_unavailable, {{"reason", reason.message}});
    }
    if (!page)
    {
        schedule(jittered(poll_interval));
        return;
    }
    last_read_sent_ = sent;
    for (auto const& hook : page_hooks_)
        hook(from, *page);
    for (auto const& it : page->records)
    {
        // Two reads may overlap after an append; a record is handed on once.
        if (it.offset < next_)
            continue;
        next_ = it.offset + 1;
        for (auto const& hook : record_hooks_)
            hook(it);
    }
    next_ = std::max(next_, page->next);
    bool const reached_end = page->records.size() < page_size;
    caught_up_ = caught_up_ || reached_end;
    for (auto const& hook : read_hooks_)
        hook(reached_end);
    schedule(reached_end ? jittered(poll_interval) : base::duration(0));
}

void log_follower::schedule(base::duration delay)
{
    timer_ = timers_.after(delay, [this] { read(); });
}

} // namespace savorymount::runtime
