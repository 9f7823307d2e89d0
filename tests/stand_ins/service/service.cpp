#include <cstdlib>
#include <tests/stand_ins/service/service.hpp>

namespace savorymount::stand_ins
{
namespace
{

constexpr std::size_t kept_headers = 100;

} // namespace

void service::handle(exchange_ptr const& exchange)
{
    if (handle_test_path(exchange))
        return;
    remember_headers(exchange);
    std::string const path = parse_target(exchange->target()).path;
    auto const below = path_below(path, "/bookings/");
    if (exchange->method() == "POST" && path == "/bookings")
        book(exchange);
    else if (exchange->method() == "GET" && below)
        show(exchange, *below);
    else
        finish_later(exchange, 404, {{"error", {{"message", "no such resource"}}}});
}

bool service::handle_test_path(exchange_ptr const& exchange)
{
    std::string const route = exchange->method() + " " + parse_target(exchange->target()).path;
    if (route == "GET /health")
        respond(exchange, 200, {{"status", "ok"}, {"engine", process_}});
    else if (route == "GET /load")
        respond(exchange, 200, {{"engine", process_}, {"running", running_}, {"waiting", 0}});
    else if (route == "GET /executions")
        respond(exchange, 200, json(executions_));
    else if (route == "GET /headers")
        respond(exchange, 200, {{"requests", json(headers_)}});
    else if (route == "POST /control")
        control(exchange);
    else
        return false;
    return true;
}

void service::remember_headers(exchange_ptr const& exchange)
{
    json headers = json::array();
    for (auto const& it : exchange->headers())
        headers.push_back({{"name", it.name}, {"value", it.value}});
    headers_.push_back({{"method", exchange->method()},
                        {"target", exchange->target()},
                        {"headers", std::move(headers)}});
    if (headers_.size() > kept_headers)
        headers_.pop_front();
}

void service::book(exchange_ptr const& exchange)
{
    if (drop_ == drop_mode::before)
    {
        exchange->abort();
        return;
    }
    std::string const id = runtime::find_header(exchange->headers(), "x-request-id").value_or("");
    ++executions_[id];
    bookings_.push_back({id, exchange->body()});
    finish_later(exchange, 200, {{"booking", bookings_.size()}, {"request", id}});
}

void service::show(exchange_ptr const& exchange, std::string const& text)
{
    std::size_t const n = std::strtoull(text.c_str(), nullptr, 10);
    if (n == 0 || n > bookings_.size())
    {
        finish_later(exchange, 404, {{"error", {{"message", "no such booking"}}}});
        return;
    }
    booking const& it = bookings_[n - 1];
    finish_later(exchange, 200, {{"booking", n}, {"request", it.request}, {"body", it.body}});
}

void service::finish_later(exchange_ptr const& exchange, int status, json const& body)
{
    ++running_;
    auto const end = [this, exchange, status, body]
    {
        --running_;
        if (drop_ == drop_mode::after)
            exchange->abort();
        else
            respond(exchange, status, body);
    };
    if (delay_ == base::duration::zero())
        end();
    else
        run_after(timers_, delay_, end);
}

void service::control(exchange_ptr const& exchange)
{
    auto const wanted = parse_object(exchange);
    if (!wanted)
        return;
    std::map<std::string, drop_mode> const modes{
        {"none", drop_mode::none}, {"before", drop_mode::before}, {"after", drop_mode::after}};
    for (auto const& [key, value] : wanted->items())
    {
        if (key == "crash" && value == true)
            std::_Exit(1);
        else if (key == "delay_ms" && value.is_number_unsigned())
            delay_ = std::chrono::milliseconds(value.get<std::int64_t>());
        else if (key == "drop" && value.is_string() && modes.count(value) > 0)
            drop_ = modes.at(value);
        else
        {
            respond_error(exchange, 400, "unknown control " + key);
            return;
        }
    }
    respond(exchange, 200, json::object());
}

} // namespace savorymount::stand_ins
