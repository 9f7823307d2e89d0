#include <algorithm>
#include <tests/stand_ins/platform/platform.hpp>

namespace savorymount::stand_ins
{
namespace
{

constexpr std::uint64_t default_read_limit = 1000;

} // namespace

platform::platform(runtime::event_loop& loop, runtime::parsed_settings const& settings)
    : loop_(loop), timers_(loop), retention_ms_(number(settings, "retention-ms")),
      slow_(milliseconds(settings, "slow-ms")),
      appends_per_second_(static_cast<double>(number(settings, "appends-per-second"))),
      append_allowance_(appends_per_second_),
      weights_(
          {milliseconds(settings, "weights-ms"),
           static_cast<std::size_t>(std::max<std::int64_t>(1, number(settings, "weights-at-once"))),
           static_cast<double>(number(settings, "weights-per-second"))})
{
    list_.set_lag(milliseconds(settings, "list-lag-ms"));
}

void platform::handle(exchange_ptr const& exchange)
{
    request_target const target = parse_target(exchange->target());
    std::string const route = exchange->method() + " " + target.path;
    auto const weights = path_below(target.path, "/weights/");
    if (route == "POST /log/append")
        append(exchange);
    else if (route == "GET /log/read")
        read(exchange, target);
    else if (route == "GET /instances")
        list(exchange);
    else if (route == "POST /control")
        control(exchange);
    else if (weights && exchange->method() == "GET")
        deliver_weights(exchange, *weights);
    else
        respond_error(exchange, 404, "no such resource");
}

void platform::append(exchange_ptr const& exchange)
{
    auto const wanted = parse_object(exchange);
    if (!wanted)
        return;
    if (!wanted->contains("id") || !wanted->at("id").is_string() || !wanted->contains("body"))
    {
        respond_error(exchange, 400, "give an id and a body");
        return;
    }
    if (log_mode_ == log_mode::down)
    {
        respond_error(exchange, 503, "the log is down");
        return;
    }
    if (!take_append_allowance())
    {
        respond_error(exchange, 429, "too many appends");
        return;
    }
    std::uint64_t const offset =
        log_.append(wanted->at("id"), wanted->at("body"), loop_.unix_milliseconds());
    if (log_mode_ == log_mode::lose_answers)
    {
        exchange->abort();
        return;
    }
    respond_from_log(exchange, {{"offset", offset}});
}

void platform::read(exchange_ptr const& exchange, request_target const& target)
{
    if (log_mode_ == log_mode::down)
    {
        respond_error(exchange, 503, "the log is down");
        return;
    }
    log_.expire(loop_.unix_milliseconds(), retention_ms_);
    respond_from_log(
        exchange, log_.read(target.number("from", 1), target.number("limit", default_read_limit)));
}

void platform::list(exchange_ptr const& exchange)
{
    if (list_down_)
        respond_error(exchange, 503, "the list is down");
    else
        respond(exchange, 200, list_.view(loop_.now()));
}

void platform::deliver_weights(exchange_ptr const& exchange, std::string const& name)
{
    auto const delay = weights_.begin(loop_.now());
    if (!delay)
    {
        respond_error(exchange, 429, "too many downloads");
        return;
    }
    run_after(timers_, *delay,
              [this, exchange, name]
              {
                  weights_.end();
                  respond(exchange, 200, {{"weights", name}});
              });
}

void platform::control(exchange_ptr const& exchange)
{
    auto const wanted = parse_object(exchange);
    if (!wanted)
        return;
    base::time_point const now = loop_.now();
    for (auto const& [key, value] : wanted->items())
    {
        bool known = true;
        if (key == "log" && value.is_string())
            known = set_log_mode(value);
        else if (key == "list" && value.is_string())
            known = set_list_mode(value);
        else if (key == "retention_ms" && value.is_number_unsigned())
            retention_ms_ = value;
        else if (key == "slow_ms" && value.is_number_unsigned())
            slow_ = std::chrono::milliseconds(value.get<std::int64_t>());
        else if (key == "list_lag_ms" && value.is_number_unsigned())
            list_.set_lag(std::chrono::milliseconds(value.get<std::int64_t>()));
        else if (key == "add_instance" && value.is_object() && value.contains("id"))
            list_.add(value, now);
        else if (key == "remove_instance" && value.is_string())
            list_.remove(value, now);
        else if (key == "leaving_instance" && value.is_string())
            list_.set_leaving(value, now);
        else
            known = false;
        if (!known)
        {
            respond_error(exchange, 400, "unknown control " + key);
            return;
        }
    }
    respond(exchange, 200, json::object());
}

bool platform::set_log_mode(std::string const& name)
{
    if (name == "up")
        log_mode_ = log_mode::up;
    else if (name == "down")
        log_mode_ = log_mode::down;
    else if (name == "slow")
        log_mode_ = log_mode::slow;
    else if (name == "lose_answers")
        log_mode_ = log_mode::lose_answers;
    else
        return false;
    return true;
}

bool platform::set_list_mode(std::string const& name)
{
    if (name != "up" && name != "down" && name != "frozen")
        return false;
    list_down_ = name == "down";
    if (name == "frozen")
        list_.freeze(loop_.now());
    else
        list_.thaw();
    return true;
}

void platform::respond_from_log(exchange_ptr const& exchange, json const& body)
{
    if (log_mode_ != log_mode::slow)
    {
        respond(exchange, 200, body);
        return;
    }
    run_after(timers_, slow_, [exchange, body] { respond(exchange, 200, body); });
}

bool platform::take_append_allowance()
{
    std::chrono::duration<double> const since = loop_.now() - append_refilled_;
    append_refilled_ = loop_.now();
    append_allowance_ =
        std::min(appends_per_second_, append_allowance_ + since.count() * appends_per_second_);
    if (append_allowance_ < 1)
        return false;
    append_allowance_ -= 1;
    return true;
}

} // namespace savorymount::stand_ins
