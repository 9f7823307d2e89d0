#pragma once

#include <cstdint>
#include <string>
#include <tests/stand_ins/platform/instance_list.hpp>
#include <tests/stand_ins/platform/log_store.hpp>
#include <tests/stand_ins/platform/weight_store.hpp>
#include <tests/stand_ins/stand_in.hpp>

namespace savorymount::stand_ins
{

/// The platform's HTTP interface: log, instance list and weight store.
class platform
{
public:
    platform(runtime::event_loop& loop, runtime::parsed_settings const& settings);

    void handle(exchange_ptr const& exchange);

private:
    enum class log_mode
    {
        up,
        down,
        slow,
        lose_answers
    };

    void append(exchange_ptr const& exchange);
    void read(exchange_ptr const& exchange, request_target const& target);
    void list(exchange_ptr const& exchange);
    void deliver_weights(exchange_ptr const& exchange, std::string const& name);
    void control(exchange_ptr const& exchange);
    bool set_log_mode(std::string const& name);
    bool set_list_mode(std::string const& name);
    void respond_from_log(exchange_ptr const& exchange, json const& body);
    bool take_append_allowance();

    runtime::event_loop& loop_;
    runtime::timer_service timers_;
    log_store log_;
    log_mode log_mode_ = log_mode::up;
    std::int64_t retention_ms_;
    base::duration slow_;
    double appends_per_second_;
    double append_allowance_;
    base::time_point append_refilled_;
    instance_list list_;
    bool list_down_ = false;
    weight_store weights_;
};

} // namespace savorymount::stand_ins
