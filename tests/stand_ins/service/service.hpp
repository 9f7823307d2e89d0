#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <tests/stand_ins/stand_in.hpp>
#include <vector>

namespace savorymount::stand_ins
{

/// A booking service that counts how often it ran each request.
class service
{
public:
    explicit service(runtime::event_loop& loop) : timers_(loop) {}

    void handle(exchange_ptr const& exchange);

private:
    enum class drop_mode
    {
        none,
        before,
        after
    };

    struct booking
    {
        std::string request;
        std::string body;
    };

    /// Handles the paths that only tests use; says whether it did.
    bool handle_test_path(exchange_ptr const& exchange);
    void remember_headers(exchange_ptr const& exchange);
    void book(exchange_ptr const& exchange);
    void show(exchange_ptr const& exchange, std::string const& text);
    void finish_later(exchange_ptr const& exchange, int status, json const& body);
    void control(exchange_ptr const& exchange);

    runtime::timer_service timers_;
    std::string const process_ = make_process_id();
    std::vector<booking> bookings_;
    std::map<std::string, std::size_t> executions_;
    std::deque<json> headers_;
    std::size_t running_ = 0;
    base::duration delay_{0};
    drop_mode drop_ = drop_mode::none;
};

} // namespace savorymount::stand_ins
