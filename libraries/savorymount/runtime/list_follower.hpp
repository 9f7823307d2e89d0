#pragma once

#include <savorymount/runtime/instance_list.hpp>
#include <savorymount/runtime/timer_service.hpp>

#include <functional>
#include <vector>

namespace savorymount::runtime
{

/// Reads the platform's instance list at an interval and hands it to its subscribers.
class list_follower
{
public:
    using list_hook = std::function<void(std::vector<instance_record> const&)>;

    list_follower(timer_service& timers, instance_list list);

    void on_list(list_hook hook) { hooks_.push_back(std::move(hook)); }

    /// Starts reading; call after the subscriptions.
    void start();

    /// The last list that was read; empty before the first.
    std::vector<instance_record> const& instances() const { return instances_; }

    /// When the last answered read was sent.
    base::time_point last_read_sent() const { return last_read_sent_; }

    /// Whether the last read was answered.
    bool available() const { return available_; }

private:
    void read();
    void handle(base::time_point sent, std::optional<std::vector<instance_record>> const& list,
                base::error const& reason);

    timer_service& timers_;
    instance_list list_;
    std::vector<list_hook> hooks_;
    std::vector<instance_record> instances_;
    timer_service::subscription timer_;
    base::time_point last_read_sent_{};
    bool available_ = true;
};

} // namespace savorymount::runtime
