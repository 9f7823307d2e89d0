#include <tests/stand_ins/users_platform/fake_upstream.hpp>
#include <utility>

namespace savorymount::stand_ins
{
namespace
{

using namespace std::chrono_literals;

constexpr unsigned events_per_answer = 8;
constexpr base::duration event_interval = 5ms;
constexpr base::duration load_time = 40ms;

} // namespace

/// A stream that is being sent.
struct fake_upstream::stream
{
    exchange_ptr exchange;
    unsigned next;
    unsigned left_before_break;
};

fake_upstream::fake_upstream(runtime::event_loop& loop, std::string id, bool model_engine,
                             std::uint16_t port, upstream_hooks hooks)
    : timers_(loop), id_(std::move(id)), model_engine_(model_engine), hooks_(std::move(hooks)),
      server_(loop, runtime::http_limits{}, [this](exchange_ptr const& it) { handle(it); })
{
    base::error reason;
    auto const listening = server_.listen({"127.0.0.1", port}, reason);
    if (!listening)
    {
        std::cerr << reason.message << "\n";
        std::exit(1);
    }
    port_ = *listening;
}

void fake_upstream::handle(exchange_ptr const& exchange)
{
    auto const path = parse_target(exchange->target()).path;
    if (path == "/-/report")
        respond(exchange, 200,
                {{"busy", false},
                 {"sequence", orders_},
                 {"models", {{{"name", "crew"}, {"version", version_}}}}});
    else if (path == "/-/order")
        order(exchange);
    else
        run(exchange);
}

void fake_upstream::order(exchange_ptr const& exchange)
{
    auto const body = json::parse(exchange->body());
    auto const fence = body.at("fence").get<std::uint64_t>();
    auto const version = body.at("version").get<std::uint64_t>();
    if (fence < fence_)
        respond(exchange, 412, {});
    else if (refuses_orders_ || body.at("precondition").get<std::uint64_t>() != orders_)
        respond(exchange, 409, {});
    else
    {
        fence_ = fence;
        ++orders_;
        if (hooks_.order_accepted)
            hooks_.order_accepted(body.at("holder").get<std::string>(), fence, version);
        run_after(timers_, load_time, [this, version] { version_ = version; });
        respond(exchange, 202, {});
    }
}

std::string fake_upstream::header(exchange_ptr const& exchange, char const* name) const
{
    return runtime::find_header(exchange->headers(), name).value_or("");
}

void fake_upstream::run(exchange_ptr const& exchange)
{
    auto const version = header(exchange, "X-Expect-Version");
    bool const other_version = !version.empty() && version != std::to_string(version_);
    if (header(exchange, "X-Expect-Instance") != id_ || other_version)
    {
        exchange->respond(421, {{"X-Instance-Id", id_}}, "");
        return;
    }
    auto const request = header(exchange, "X-Request-Id");
    ++executions_[request];
    if (hooks_.run)
        hooks_.run(request, version_);
    seen_.push_back({{"request", request},
                     {"workspace", header(exchange, "X-Tenant")},
                     {"salt", header(exchange, "X-Cache-Salt")},
                     {"key", header(exchange, "Authorization")}});
    runtime::http_headers const headers{{"X-Request-Id", request},
                                        {"X-Response-Stamp", "stamp-of-" + id_},
                                        {"X-Weight-Versions", std::to_string(version_)}};
    if (!model_engine_)
    {
        exchange->respond(200, headers, "booked " + exchange->body());
        return;
    }
    auto const last = header(exchange, "Last-Event-Id");
    exchange->start(200, headers);
    auto const first = last.empty() ? 1U : static_cast<unsigned>(std::stoul(last)) + 1;
    send_event(
        std::make_shared<stream>(stream{exchange, first, std::exchange(break_off_after_, 0U)}));
}

void fake_upstream::send_event(std::shared_ptr<stream> const& it)
{
    if (it->next > events_per_answer)
    {
        it->exchange->finish();
        return;
    }
    auto const number = std::to_string(it->next++);
    it->exchange->write("id: " + number + "\ndata: token " + number + "\n\n");
    if (it->left_before_break > 0 && --it->left_before_break == 0)
    {
        it->exchange->abort();
        return;
    }
    run_after(timers_, event_interval, [this, it] { send_event(it); });
}

} // namespace savorymount::stand_ins
