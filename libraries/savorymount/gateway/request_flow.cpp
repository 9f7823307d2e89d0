#include <savorymount/gateway/request_flow.hpp>

#include <algorithm>
#include <cstdio>
#include <utility>

namespace savorymount::gateway
{
namespace
{

using namespace std::chrono_literals;

// The upstream ends its own work at the limit that it was given; this much later the flow ends.
constexpr base::duration limit_slack = 60ms;
constexpr base::duration retry_elsewhere_after = 120ms;
// A repeatable request goes to another upstream when nothing has come for this part of its limit.
constexpr double stall_part = 0.3;
constexpr base::duration shortest_stall = 300ms;
// A client that reads slowly holds the upstream back from here on.
constexpr std::size_t most_client_buffer_bytes = std::size_t{256} * 1024;
constexpr int status_bad_gateway = 502;
constexpr int status_gateway_timeout = 504;
constexpr int first_failure_status = 400;
constexpr int first_server_failure_status = 500;

std::string seconds_text(base::duration time)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%.3f", std::chrono::duration<double>(time).count());
    return text;
}

runtime::http_headers text_headers()
{
    return {{"Content-Type", "text/plain"}};
}

} // namespace

request_flow::request_flow(flow_services& services,
                           std::shared_ptr<runtime::inbound_connection> client,
                           runtime::http_request request)
    : services_(services), client_(std::move(client)), received_(std::move(request)),
      arrived_(services.timers.now())
{
}

void request_flow::start()
{
    client_->on_gone([self = shared_from_this()] { self->client_left(); });
    base::error reason;
    auto decoded = services_.port.decode_request(received_.head, reason);
    if (!decoded)
    {
        refuse({reason, std::nullopt, 0, 0});
        return;
    }
    request_ = std::move(*decoded);
    last_event_ = request_.last_event;
    refusal refused;
    admitted_.emplace();
    if (!admit(arrived_, services_.view, request_, received_.body, *admitted_, refused))
    {
        refuse(refused);
        return;
    }
    service_ = choose_service(*admitted_->route, services_.random);
    services_.view.retries(service_).record_request(arrived_);
    time_limit_ =
        services_.timers.after(admitted_->time_limit + limit_slack,
                               [self = shared_from_this()] { self->time_limit_reached(); });
    dispatch();
}

void request_flow::dispatch()
{
    auto const now = services_.timers.now();
    auto placed =
        place(now, services_.view, services_.random, *admitted_, request_, service_, tried_);
    if (!placed)
    {
        give_up("no upstream may take the request now");
        return;
    }
    placed->call.time_left = admitted_->time_limit - elapsed();
    placed->call.body_bytes = received_.body.size();
    placed->call.resume_after = last_event_;
    call_upstream(std::move(*placed));
}

void request_flow::call_upstream(placed_request placed)
{
    outcome_.upstream = placed.upstream.id;
    outcome_.expected_wait = placed.expected_wait;
    outcome_.upstream_running = placed.upstream_running;
    outcome_.prompt_tokens = request_.prompt ? request_.prompt->prompt_tokens : 0;
    outcome_.read_tokens = placed.size.prefill_tokens;
    if (placed.call.engine)
        outcome_.weight_version = placed.call.engine->expected_version;
    ++outcome_.attempts;
    bool const streaming = admitted_->route->kind == configuration::repeat_rule::streaming;
    send_ = std::make_shared<upstream_send>(services_, std::move(placed), streaming);
    watch_for_stall();
    auto const self = shared_from_this();
    send_hooks hooks;
    hooks.event = [self](streams::raw_event const& event)
    {
        self->take_event(event);
    };
    hooks.ended = [self](send_result result, std::string const& reason)
    {
        self->take_result(result, reason);
    };
    // A send that fails at once is dropped before `start` returns.
    auto const started = send_;
    started->start(request_, received_.body, std::move(hooks));
}

void request_flow::take_event(streams::raw_event const& event)
{
    if (!streaming_)
    {
        streaming_ = true;
        outcome_.time_to_first_byte = elapsed();
        client_->start(send_->head().status, services_.port.answer_headers(send_->head()));
    }
    // A run that goes on elsewhere may repeat events that the client has.
    if (event.id && last_event_ && *event.id <= *last_event_)
        return;
    if (event.id)
        last_event_ = event.id;
    client_->write(event.bytes);
    hold_back_if_client_is_slow();
}

void request_flow::hold_back_if_client_is_slow()
{
    if (client_->buffered_bytes() < most_client_buffer_bytes)
        return;
    send_->pause_reading(true);
    client_->when_drained(
        [self = shared_from_this()]
        {
            if (self->send_)
                self->send_->pause_reading(false);
        });
}

void request_flow::take_result(send_result result, std::string const& reason)
{
    switch (result)
    {
    case send_result::answered:
        take_answer();
        return;
    case send_result::stream_ended:
        take_stream_end();
        return;
    case send_result::not_sent:
        ++not_sent_;
        next_or_give_up(send_end::not_sent, reason);
        return;
    case send_result::rejected:
        ++sent_;
        next_or_give_up(send_end::rejected, reason);
        return;
    case send_result::lost:
        services_.view.upstream_crashed(services_.timers.now(), admitted_->digest,
                                        send_->placed().upstream.id);
        break;
    case send_result::unusable:
        break;
    }
    take_loss(send_end::lost, reason);
}

void request_flow::take_stream_end()
{
    auto const& head = send_->head();
    if (!streaming_)
        client_->start(head.status, services_.port.answer_headers(head));
    client_->finish();
    end(request_end::answered, head.status, "");
}

void request_flow::take_answer()
{
    if (streaming_)
    {
        // The stream began elsewhere.
        take_loss(send_end::failed_answer, "the upstream did not resume the stream");
        return;
    }
    bool const failed = send_->head().status >= first_server_failure_status;
    if (failed && is_repeatable(admitted_->route->kind, admitted_->route->resumable))
    {
        failure_head_ = send_->head();
        failure_body_ = send_->body();
        take_loss(send_end::failed_answer, "the upstream answered with a failure");
        return;
    }
    deliver(send_->head(), send_->body());
}

void request_flow::take_loss(send_end last, std::string const& reason)
{
    may_have_run_ = true;
    ++sent_;
    next_or_give_up(last, reason);
}

void request_flow::deliver(runtime::http_head const& head, std::string const& body)
{
    outcome_.time_to_first_byte = elapsed();
    auto const status = head.status;
    client_->respond(status, services_.port.answer_headers(head), body);
    end(request_end::answered, status, status < first_failure_status ? "" : "upstream failure");
}

void request_flow::watch_for_stall()
{
    stall_timer_ = {};
    if (!is_repeatable(admitted_->route->kind, admitted_->route->resumable))
        return;
    auto const part = base::duration(
        static_cast<std::int64_t>(static_cast<double>(admitted_->time_limit.count()) * stall_part));
    stall_timer_ = services_.timers.after(std::max(part, shortest_stall),
                                          [self = shared_from_this()] { self->stalled(); });
}

void request_flow::stalled()
{
    if (!send_ || send_->answered())
        return;
    auto last = history();
    last.sent += 1;
    if (may_send_again(send_end::lost, last))
        take_loss(send_end::lost, "the upstream sent nothing in time");
}

void request_flow::next_or_give_up(send_end last, std::string const& reason)
{
    auto const self = shared_from_this();
    auto const upstream = send_->placed().upstream.id;
    drop_send(last == send_end::rejected || last == send_end::failed_answer);
    if (!may_send_again(last, history()))
    {
        give_up(reason);
        return;
    }
    if (last != send_end::not_sent)
        services_.view.retries(service_).try_spend(services_.timers.now());
    tried_.insert(upstream);
    outcome_.hops.push_back({upstream, reason, elapsed()});
    dispatch();
}

void request_flow::give_up(std::string const& reason)
{
    if (streaming_)
        break_off(reason);
    else if (failure_head_)
        deliver(*failure_head_, failure_body_);
    else if (may_have_run_)
        fail(status_bad_gateway, reason);
    else
        refuse({{base::error_kind::overloaded, reason}, retry_elsewhere_after, 0, 0});
}

void request_flow::break_off(std::string const& reason)
{
    client_->abort();
    end(request_end::failed, 0, reason);
}

void request_flow::time_limit_reached()
{
    auto const reason = "the time limit was reached";
    bool const nothing_sent = !may_have_run_ && !send_;
    if (streaming_)
        break_off(reason);
    else if (nothing_sent)
        refuse({{base::error_kind::unavailable, reason}, std::nullopt, 0, 0});
    else
        fail(status_gateway_timeout, reason);
}

void request_flow::client_left()
{
    if (services_.process_ends)
        end(request_end::failed, 0, "the process ended before the answer was complete");
    else
        end(request_end::abandoned, 0, "the caller closed the connection");
}

void request_flow::refuse(refusal const& it)
{
    auto const status = status_of(it);
    auto headers = text_headers();
    if (it.retry_after)
        headers.push_back({"Retry-After", seconds_text(*it.retry_after)});
    outcome_.refusal = it.reason.kind;
    outcome_.tokens = it.tokens;
    outcome_.bucket_level = it.level;
    if (admitted_ && admitted_->tokens > 0)
        services_.view.bucket(admitted_->workspace->name)
            ->refund(services_.timers.now(), admitted_->tokens);
    client_->respond(status, std::move(headers), it.reason.message + "\n");
    end(request_end::refused, status, it.reason.message);
}

void request_flow::fail(int status, std::string const& reason)
{
    client_->respond(status, text_headers(), reason + "\n");
    end(request_end::failed, status, reason);
}

void request_flow::drop_send(bool keep_connection)
{
    if (!send_)
        return;
    auto const it = std::exchange(send_, nullptr);
    it->finish(keep_connection);
}

void request_flow::end(request_end how, int status, std::string const& reason)
{
    if (std::exchange(ended_, true))
        return;
    auto const now = services_.timers.now();
    time_limit_ = {};
    stall_timer_ = {};
    client_->on_gone(nullptr);
    drop_send(how == request_end::answered);
    outcome_.id = request_.id;
    outcome_.end = how;
    outcome_.status = status;
    outcome_.reason = reason;
    outcome_.service = service_;
    outcome_.total_time = elapsed();
    outcome_.store_age = services_.view.store_age(now).value_or(base::duration(-1));
    if (admitted_ && admitted_->deployment)
        outcome_.configuration_version = admitted_->deployment->data().version;
    if (admitted_ && admitted_->route != nullptr)
        outcome_.route = admitted_->route->name;
    if (admitted_ && admitted_->workspace != nullptr)
        outcome_.workspace = admitted_->workspace->name;
    services_.ended(outcome_);
}

base::duration request_flow::elapsed() const
{
    return services_.timers.now() - arrived_;
}

send_history request_flow::history() const
{
    send_history out;
    out.kind = admitted_->route->kind;
    out.resumable = admitted_->route->resumable;
    out.max_attempts = admitted_->route->max_attempts;
    out.sent = sent_;
    out.not_sent = not_sent_;
    out.may_have_run = may_have_run_;
    out.time_left = admitted_->time_limit - elapsed();
    out.allowance = services_.view.retries(service_).available(services_.timers.now());
    return out;
}

} // namespace savorymount::gateway
