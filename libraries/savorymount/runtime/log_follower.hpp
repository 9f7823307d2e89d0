#pragma once

#include <savorymount/runtime/platform_log.hpp>
#include <savorymount/runtime/timer_service.hpp>

#include <functional>
#include <vector>

namespace savorymount::runtime
{

/// Reads the platform's log from its oldest record on and hands every record to its subscribers.
class log_follower
{
public:
    using record_hook = std::function<void(log_record const&)>;
    /// Gets the offset that the read started at.
    using page_hook = std::function<void(std::uint64_t from, log_page const&)>;
    /// `caught_up` is true when the read reached the end of the log.
    using read_hook = std::function<void(bool caught_up)>;

    log_follower(timer_service& timers, platform_log log);

    /// Called for each page before its records.
    void on_page(page_hook hook) { page_hooks_.push_back(std::move(hook)); }
    void on_record(record_hook hook) { record_hooks_.push_back(std::move(hook)); }
    void on_read(read_hook hook) { read_hooks_.push_back(std::move(hook)); }

    /// Starts reading; call after the subscriptions.
    void start();

    /// Appends a record. The outcome may be unknown; the record's id tells it apart when it is
    /// read.
    void append(std::string id, nlohmann::json body, platform_log::append_done done);

    /// When the last answered read was sent; what it showed is at least that fresh.
    base::time_point last_read_sent() const { return last_read_sent_; }

    /// Whether the last read was answered.
    bool available() const { return available_; }

    /// Whether the end of the log was reached at least once.
    bool caught_up() const { return caught_up_; }

private:
    void read();
    void handle(std::uint64_t from, base::time_point sent, std::optional<log_page> const& page,
                base::error const& reason);
    void schedule(base::duration delay);

    timer_service& timers_;
    platform_log log_;
    std::vector<page_hook> page_hooks_;
    std::vector<record_hook> record_hooks_;
    std::vector<read_hook> read_hooks_;
    timer_service::subscription timer_;
    base::time_point last_read_sent_{};
    std::uint64_t next_ = 1;
    bool available_ = true;
    bool caught_up_ = false;
};

} // namespace savorymount::runtime
