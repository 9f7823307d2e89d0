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
// Lets the resets of a crash leave before the listening socket is closed.
constexpr base::duration reset_time = 5ms;
constexpr unsigned event_closed_inside = 4;

/// Whether a prompt header names `part` before its last part.
bool names_shared_part(std::string const& prompt, std::string const& part)
{
    auto const text = "," + prompt;
    auto const at = text.find("," + part + ":");
    return at != std::string::npos && text.find(',', at + 1) != std::string::npos;
}

} // namespace

/// A stream that is being sent.
struct fake_upstream::stream
{
    exchange_ptr exchange;
    unsigned next;
    unsigned left_before_break;
    bool closes_inside_event;
};

fake_upstream::fake_upstream(runtime::event_loop& loop, std::string id, bool model_engine,
                             std::uint16_t port, upstream_hooks hooks)
    : loop_(loop), timers_(loop), first_id_(std::move(id)), id_(first_id_),
      model_engine_(model_engine), hooks_(std::move(hooks))
{
    listen(port);
}

void fake_upstream::listen(std::uint16_t port)
{
    server_ = std::make_unique<runtime::http_server>(
        loop_, runtime::http_limits{}, [this](exchange_ptr const& it) { handle(it); });
    base::error reason;
    auto const listening = server_->listen({"127.0.0.1", port}, reason);
    if (!listening)
    {
        std::cerr << reason.message << "\n";
        std::exit(1);
    }
    port_ = *listening;
}

void fake_upstream::crash_on_part(std::string part, base::duration downtime)
{
    crash_part_ = std::move(part);
    downtime_ = downtime;
}

bool fake_upstream::crashes_on(exchange_ptr const& exchange) const
{
    return model_engine_ && !crash_part_.empty() &&
           names_shared_part(header(exchange, "X-Prompt-Prefix"), crash_part_);
}

void fake_upstream::crash(std::string const& request)
{
    crashing_ = true;
    if (hooks_.crashed)
        hooks_.crashed(request);
    for (auto const& it : running_)
    {
        if (auto const exchange = it.lock())
            exchange->abort();
    }
    running_.clear();
    run_after(timers_, reset_time, [this] { server_.reset(); });
    run_after(timers_, downtime_, [this] { restart(); });
}

void fake_upstream::restart()
{
    auto const former_id = id_;
    id_ = first_id_ + "-" + std::to_string(++starts_);
    version_ = 1;
    orders_ = 0;
    fence_ = 0;
    crashing_ = false;
    listen(port_);
    if (hooks_.restarted)
        hooks_.restarted(former_id);
}

void fake_upstream::handle(exchange_ptr const& exchange)
{
    if (crashing_)
    {
        exchange->abort();
        return;
    }
    std::erase_if(running_, [](auto const& it) { return it.expired(); });
    running_.push_back(exchange);
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
    auto const expected_id = header(exchange, "X-Expect-Instance");
    if (!expected_id.empty() && expected_id != id_)
        exchange->respond(421, {{"X-Instance-Id", id_}}, "");
    else if (fence < fence_)
        respond(exchange, 412, {});
    else if (refuses_orders_ || body.at("precondition").get<std::uint64_t>() != orders_)
        respond(exchange, 409, {});
    else
    {
        fence_ = fence;
        ++orders_;
        if (hooks_.order_accepted)
            hooks_.order_accepted(body.at("holder").get<std::string>(), fence, version);
        run_after(timers_, load_time,
                  [this, version, start = starts_]
                  {
                      if (start == starts_)
                          version_ = version;
                  });
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
    auto headers = answer_headers(request);
    if (!retry_after_.empty())
    {
        headers.push_back({"X-Not-Executed", "1"});
        headers.push_back({"Retry-After", retry_after_});
        if (hooks_.rejected_for_now)
            hooks_.rejected_for_now(request);
        exchange->respond(503, headers, "");
        return;
    }
    ++executions_[request];
    if (hooks_.run)
        hooks_.run(request, version_);
    seen_.push_back({{"request", request},
                     {"workspace", header(exchange, "X-Tenant")},
                     {"salt", header(exchange, "X-Cache-Salt")},
                     {"key", header(exchange, "Authorization")}});
    headers.push_back({"X-Response-Stamp", "stamp-of-" + id_});
    headers.push_back({"X-Weight-Versions", std::to_string(version_)});
    if (crashes_on(exchange))
    {
        crash(request);
        return;
    }
    if (!model_engine_ && ends_with_connection_)
    {
        begin_answer(exchange, headers);
        exchange->write("booked " + exchange->body());
        exchange->finish();
        return;
    }
    if (!model_engine_)
    {
        exchange->respond(200, headers, "booked " + exchange->body());
        return;
    }
    auto const last = header(exchange, "Last-Event-Id");
    begin_answer(exchange, headers);
    auto const first = last.empty() ? 1U : static_cast<unsigned>(std::stoul(last)) + 1;
    bool const closes = closes_inside_event_ > 0;
    if (closes)
        --closes_inside_event_;
    send_event(std::make_shared<stream>(
        stream{exchange, first, std::exchange(break_off_after_, 0U), closes}));
}

runtime::http_headers fake_upstream::answer_headers(std::string const& request) const
{
    runtime::http_headers out{{"X-Request-Id", request}};
    if (!limit_.empty())
        out.push_back({"Server-Limit", limit_});
    if (says_leaving_)
        out.push_back({"Server-Leaving", "1"});
    return out;
}

void fake_upstream::begin_answer(exchange_ptr const& exchange, runtime::http_headers const& headers)
{
    // Only an answer that ends with its connection can be closed in order inside an event.
    if (ends_with_connection_ || closes_inside_event_ > 0)
        exchange->end_body_with_connection();
    exchange->start(200, headers);
}

void fake_upstream::send_event(std::shared_ptr<stream> const& it)
{
    if (it->next > events_per_answer)
    {
        it->exchange->finish();
        return;
    }
    if (it->closes_inside_event && it->next >= event_closed_inside)
    {
        it->exchange->write("id: " + std::to_string(it->next) + "\ndata: tok");
        it->exchange->finish();
        return;
    }
    auto const number = std::to_string(it->next++);
    auto const software = software_.empty() ? "" : " " + software_;
    it->exchange->write("id: " + number + "\ndata: token " + number + software + "\n\n");
    if (it->left_before_break > 0 && --it->left_before_break == 0)
    {
        it->exchange->abort();
        return;
    }
    run_after(timers_, event_interval, [this, it] { send_event(it); });
}

} // namespace savorymount::stand_ins
