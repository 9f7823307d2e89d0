#include <savorymount/gateway/gateway_request.hpp>
#include <savorymount/gateway/refusal_response.hpp>
#include <savorymount/gateway/upstream_refusal.hpp>
#include <savorymount/runtime/task_timer.hpp>

#include <algorithm>
#include <utility>

namespace savorymount::gateway
{
namespace
{

using namespace std::chrono_literals;

// The upstream stops at the deadline it was given; the gateway waits this much longer.
constexpr base::duration timeout_margin = 60ms;
// A repeatable request is retried if no response starts within this ratio of its timeout.
constexpr double stall_timeout_ratio = 0.3;
constexpr base::duration min_stall_timeout = 300ms;
// Reading from the upstream pauses when this much is buffered for a slow caller.
constexpr std::size_t max_client_buffer_bytes = std::size_t{256} * 1024;
// A head of ordinary fields and prompt parts.
constexpr std::size_t max_small_request_bytes = std::size_t{4} * 1024;
constexpr base::duration memory_retry_delay = 300ms;
constexpr int status_bad_gateway = 502;
constexpr int status_gateway_timeout = 504;
constexpr int first_error_status = 400;
constexpr int first_server_error_status = 500;

runtime::http_headers text_headers()
{
    return {{"Content-Type", "text/plain"}};
}

} // namespace

gateway_request::gateway_request(gateway_context& context,
                                 std::shared_ptr<runtime::inbound_connection> client,
                                 runtime::http_request request)
    : context_(context), client_(std::move(client)),
      http_request_(std::make_shared<runtime::http_request>(std::move(request))),
      arrived_at_(http_request_->head_arrived_at.value_or(context.timers.now())),
      memory_(*context.request_memory), failure_response_memory_(context.responses)
{
}

void gateway_request::start()
{
    client_->on_gone([self = shared_from_this()] { self->handle_client_disconnect(); });
    client_->on_interrupted([self = shared_from_this()] { self->handle_process_end(); });
    base::error reason;
    auto decoded = context_.platform.decode_request(http_request_->head, reason);
    if (!decoded)
    {
        refuse({reason, std::nullopt, 0, 0});
        return;
    }
    caller_request_ = std::move(*decoded);
    std::exchange(http_request_->head.headers, {});
    if (!reserve_memory())
        return;
    last_event_id_ = caller_request_.last_event_id;
    refusal refused;
    admitted_.emplace();
    auto const now = context_.timers.now();
    if (!admit(now, context_.cluster, caller_request_, http_request_->body, *admitted_, refused))
    {
        refuse(refused);
        return;
    }
    if (elapsed() >= admitted_->timeout)
    {
        refuse({{base::error_kind::unavailable,
                 "the time limit was reached before the body had arrived"},
                std::nullopt,
                0,
                0});
        return;
    }
    service_ = choose_service(*admitted_->route, context_.random);
    context_.cluster.retry_quota(service_).record_request(now);
    timeout_timer_ = context_.timers.after(admitted_->timeout + timeout_margin - elapsed(),
                                           [self = shared_from_this()] { self->handle_timeout(); });
    if (resumes_stream())
        find_stream_origin();
    else
        dispatch_with_room();
}

bool gateway_request::reserve_memory()
{
    auto const bytes = memory_of(caller_request_);
    // Ordinary requests take so little that those of other callers must not keep them out.
    if (bytes <= max_small_request_bytes || memory_.resize(bytes))
        return true;
    refuse({{base::error_kind::overloaded,
             "the memory for the heads of requests is in use; send the request later"},
            memory_retry_delay,
            0,
            0});
    return false;
}

bool gateway_request::resumes_stream() const
{
    bool const is_stream = admitted_->route->kind == configuration::repeat_rule::streaming;
    return is_stream && admitted_->route->resumable && last_event_id_.has_value();
}

void gateway_request::find_stream_origin()
{
    auto const services = context_.cluster.route_history().services(
        context_.timers.now(), caller_request_.host, caller_request_.target);
    context_.streams.find(caller_request_.resumes.value_or(""), services,
                          [self = shared_from_this()](stream_lookup const& found)
                          { self->handle_stream_origin(found); });
}

void gateway_request::handle_stream_origin(stream_lookup const& found)
{
    if (finished_)
        return;
    auto const upstreams_until = context_.cluster.stream_origins().upstreams_complete_until();
    outcome_.origin_source = to_string(found.source);
    outcome_.upstreams_age =
        upstreams_until ? context_.timers.now() - *upstreams_until : base::duration(-1);
    auto const& shares = admitted_->route->shares;
    bool const is_allowed =
        found.origin &&
        std::any_of(shares.begin(), shares.end(),
                    [&](auto const& it) { return it.service == found.origin->service; });
    if (!is_allowed)
    {
        refuse(unknown_origin_refusal(found.store_failed));
        return;
    }
    service_ = found.origin->service;
    constraints_.software_version = found.origin->software_version;
    dispatch_with_room();
}

void gateway_request::record_stream_origin()
{
    if (constraints_.software_version)
        return;
    auto const& version = attempt_->placement().upstream.software_version;
    constraints_.software_version = version;
    if (admitted_->route->resumable)
        context_.cluster.stream_origins().stream_began(context_.timers.now(), caller_request_.id,
                                                       service_, version);
}

bool gateway_request::give_up_after_crashes()
{
    auto const found =
        find_crash_refusal(context_.timers.now(), context_.cluster, *admitted_, caller_request_);
    if (!found)
        return false;
    if (streaming_ || may_have_run_)
        give_up(found->reason.message);
    else
        refuse(*found);
    return true;
}

bool gateway_request::refuse_before_process_ends()
{
    auto const now = context_.timers.now();
    auto const time_left = admitted_->timeout - elapsed();
    // What may have run goes on as long as it can: it can't be refused as not run.
    if (streaming_ || may_have_run_ || !context_.drain ||
        context_.drain->leaves_time_for(now, time_left))
        return false;
    refuse({{base::error_kind::unavailable,
             "this instance stops; send the request again, on a new connection"},
            base::duration::zero(),
            0,
            0});
    return true;
}

void gateway_request::dispatch_with_room()
{
    admission_asked_at_ = context_.timers.now();
    context_.admission.ask(*admitted_, caller_request_, service_, admitted_->timeout - elapsed(),
                           admission_ticket_,
                           [self = shared_from_this()](std::optional<refusal> const& refused)
                           {
                               self->end_admission_wait();
                               if (refused)
                                   self->refuse(*refused);
                               else
                                   self->dispatch();
                           });
}

void gateway_request::end_admission_wait()
{
    if (auto const asked_at = std::exchange(admission_asked_at_, std::nullopt))
        outcome_.admission_wait = context_.timers.now() - *asked_at;
}

void gateway_request::dispatch()
{
    if (refuse_before_process_ends() || give_up_after_crashes())
        return;
    runtime::task_timer const timer("placement");
    auto const now = context_.timers.now();
    auto placed = place_request(now, context_.cluster, context_.random, *admitted_, caller_request_,
                                service_, constraints_);
    if (!placed)
    {
        give_up("no upstream is available for the request");
        return;
    }
    placed->request.timeout = admitted_->timeout - elapsed();
    placed->request.body_bytes = http_request_->body.size();
    placed->request.last_event_id = last_event_id_;
    start_attempt(std::move(*placed));
}

void gateway_request::start_attempt(placed_request placed)
{
    outcome_.upstream = placed.upstream.id;
    outcome_.software_version = placed.upstream.software_version;
    outcome_.expected_wait = placed.expected_wait;
    outcome_.upstream_requests = placed.upstream_requests;
    outcome_.prompt_tokens = caller_request_.prompt ? caller_request_.prompt->prompt_tokens : 0;
    outcome_.uncached_prompt_tokens = placed.size.prefill_tokens;
    if (placed.request.engine)
        record_weights(placed.request.engine->expected_weight_version);
    ++outcome_.attempts;
    outcome_.time_to_last_attempt = elapsed();
    bool const streaming = admitted_->route->kind == configuration::repeat_rule::streaming;
    attempt_ = std::make_shared<upstream_attempt>(context_, std::move(placed), streaming,
                                                  admitted_->route->target_event_gap);
    start_stall_timer();
    auto const self = shared_from_this();
    attempt_callbacks callbacks;
    callbacks.event = [self](streams::raw_event const& event)
    {
        self->handle_event(event);
    };
    callbacks.finished = [self](attempt_result result, std::string const& reason)
    {
        self->handle_attempt_result(result, reason);
    };
    // An attempt that fails immediately resets `attempt_` before `start` returns.
    auto const attempt = attempt_;
    attempt->start(caller_request_, body(), std::move(callbacks));
}

std::shared_ptr<std::string const> gateway_request::body() const
{
    return {http_request_, &http_request_->body};
}

void gateway_request::release_body()
{
    http_request_ = std::make_shared<runtime::http_request>();
}

void gateway_request::record_weights(std::uint64_t version)
{
    auto const since =
        context_.cluster.desired_weights().superseded_since(caller_request_.prompt->model, version);
    outcome_.weight_version = version;
    outcome_.weights_superseded_for =
        since ? context_.timers.now() - *since : base::duration::zero();
}

void gateway_request::handle_event(streams::raw_event const& event)
{
    if (!streaming_)
    {
        streaming_ = true;
        context_.admission.response_started(admission_ticket_);
        record_stream_origin();
        outcome_.time_to_first_byte = elapsed();
        if (!is_repeatable(admitted_->route->kind, admitted_->route->resumable))
            release_body();
        client_->start(attempt_->head().status,
                       context_.platform.response_headers(attempt_->head()));
    }
    // After a retry, the stream may repeat events that the caller has received.
    if (event.id && last_event_id_ && *event.id <= *last_event_id_)
        return;
    if (event.id)
        last_event_id_ = event.id;
    client_->write(event.bytes);
    apply_backpressure();
}

void gateway_request::apply_backpressure()
{
    if (client_->buffered_bytes() < max_client_buffer_bytes)
        return;
    attempt_->pause_reading(true);
    client_->when_drained(
        [self = shared_from_this()]
        {
            if (self->attempt_)
                self->attempt_->pause_reading(false);
        });
}

void gateway_request::handle_attempt_result(attempt_result result, std::string const& reason)
{
    switch (result)
    {
    case attempt_result::complete_response:
        handle_response();
        return;
    case attempt_result::stream_ended:
        handle_stream_end();
        return;
    case attempt_result::not_sent:
        ++attempts_not_sent_;
        retry_or_give_up(attempt_failure::not_sent, reason);
        return;
    case attempt_result::rejected:
        ++attempts_sent_;
        retry_or_give_up(attempt_failure::rejected, reason);
        return;
    case attempt_result::upstream_ended:
        ++attempts_not_sent_;
        retry_or_give_up(attempt_failure::upstream_ended, reason);
        return;
    case attempt_result::connection_lost:
        record_lost_upstream();
        break;
    case attempt_result::invalid_response:
        break;
    }
    handle_failure_after_send(attempt_failure::outcome_unknown, reason);
}

void gateway_request::record_lost_upstream()
{
    auto const& upstream = attempt_->placement().upstream.id;
    context_.cluster.upstream_crashed(context_.timers.now(), admitted_->request_digest, upstream);
    outcome_.lost_attempts.push_back({upstream, attempt_->response_started(), elapsed()});
    context_.cluster.upstream_lost(context_.timers.now(),
                                   {membership::process_name(attempt_->placement().upstream),
                                    admitted_->prompt_digest, admitted_->shared_parts});
    outcome_.request_digest = admitted_->request_digest;
    outcome_.shared_parts = shared_part_ids(caller_request_);
}

void gateway_request::record_completed_response()
{
    auto const& head = attempt_->head();
    // The end of a response without a length may also be the end of its upstream.
    bool const is_delimited =
        head.content_length || runtime::find_header(head.headers, "Transfer-Encoding");
    bool const has_content = streaming_ || !attempt_->body().empty();
    bool const succeeded = head.status < first_error_status;
    if (!is_delimited || !has_content || !succeeded)
        return;
    auto const now = context_.timers.now();
    context_.cluster.crash_attribution().record_completion(now, now, admitted_->shared_parts);
}

void gateway_request::handle_stream_end()
{
    auto const& head = attempt_->head();
    record_completed_response();
    if (!streaming_)
        client_->start(head.status, context_.platform.response_headers(head));
    client_->finish();
    finish(request_end::answered, head.status, "");
}

void gateway_request::handle_response()
{
    if (streaming_)
    {
        // The caller has received the start of another attempt's stream.
        handle_failure_after_send(
            attempt_failure::failure_response,
            "the upstream sent a complete response instead of resuming the stream");
        return;
    }
    record_completed_response();
    bool const failed = attempt_->head().status >= first_server_error_status;
    if (failed && is_repeatable(admitted_->route->kind, admitted_->route->resumable))
    {
        keep_failure_response();
        handle_failure_after_send(attempt_failure::failure_response,
                                  "the upstream responded with a server error");
        return;
    }
    deliver_response(attempt_->head(), attempt_->body());
}

void gateway_request::keep_failure_response()
{
    // Without memory for it, the caller gets a failure of the gateway instead.
    if (!failure_response_memory_.resize(attempt_->body().size()))
        return;
    failure_response_head_ = attempt_->head();
    failure_response_body_ = attempt_->body();
}

void gateway_request::handle_failure_after_send(attempt_failure failure, std::string const& reason)
{
    may_have_run_ = true;
    ++attempts_sent_;
    retry_or_give_up(failure, reason);
}

void gateway_request::deliver_response(runtime::http_head const& head, std::string const& body)
{
    outcome_.time_to_first_byte = elapsed();
    auto const status = head.status;
    client_->respond(status, context_.platform.response_headers(head), body);
    finish(request_end::answered, status,
           status < first_error_status ? "" : "the upstream responded with an error");
}

void gateway_request::start_stall_timer()
{
    stall_timer_ = {};
    stall_timer_started_at_ = context_.timers.now();
    if (!is_repeatable(admitted_->route->kind, admitted_->route->resumable))
        return;
    auto const stall_timeout = base::duration(static_cast<std::int64_t>(
        static_cast<double>(admitted_->timeout.count()) * stall_timeout_ratio));
    stall_timer_ = context_.timers.after(std::max(stall_timeout, min_stall_timeout),
                                         [self = shared_from_this()] { self->check_stall(); });
}

void gateway_request::check_stall()
{
    if (!attempt_ || attempt_->response_started())
        return;
    // Only silence while this process ran says anything about the upstream.
    if (resumed_since(stall_timer_started_at_))
    {
        start_stall_timer();
        return;
    }
    auto updated_history = history();
    updated_history.attempts_sent += 1;
    if (may_retry(attempt_failure::outcome_unknown, updated_history))
        handle_failure_after_send(attempt_failure::outcome_unknown,
                                  "the upstream sent no response in time");
}

bool gateway_request::resumed_since(base::time_point time)
{
    context_.cluster.observe_time(context_.timers.now());
    auto const resumed_at = context_.cluster.resumed_at();
    return resumed_at && *resumed_at > time;
}

void gateway_request::retry_or_give_up(attempt_failure failure, std::string const& reason)
{
    auto const self = shared_from_this();
    auto const upstream = attempt_->placement().upstream.id;
    finish_attempt(failure == attempt_failure::rejected ||
                   failure == attempt_failure::failure_response);
    bool const may_crash_again =
        !outcome_.lost_attempts.empty() && context_.cluster.crash_attribution().may_crash_again(
                                               context_.timers.now(), admitted_->shared_parts);
    if (may_crash_again || !may_retry(failure, history()))
    {
        give_up(reason);
        return;
    }
    if (failure != attempt_failure::not_sent)
        context_.cluster.retry_quota(service_).try_spend(context_.timers.now());
    constraints_.tried_upstreams.insert(upstream);
    outcome_.failed_attempts.push_back({upstream, reason, elapsed()});
    if (streaming_ && first_upstream_.empty())
        first_upstream_ = upstream;
    if (streaming_)
        resume_elsewhere();
    else
        dispatch();
}

void gateway_request::resume_elsewhere()
{
    context_.streams.confirm_upstreams(
        [self = shared_from_this()]
        {
            if (!self->finished_)
                self->dispatch_elsewhere();
        });
}

void gateway_request::dispatch_elsewhere()
{
    // Its upstream may have been another process already than the one that was listed.
    auto const* const first = context_.cluster.upstreams().find(first_upstream_);
    if (first != nullptr && first->record.software_version != constraints_.software_version)
        give_up("the upstream that began the stream has started anew at another version");
    else
        dispatch();
}

void gateway_request::give_up(std::string const& reason)
{
    if (streaming_)
        abort_stream(reason);
    else if (failure_response_head_)
        deliver_response(*failure_response_head_, failure_response_body_);
    else if (may_have_run_)
        fail(status_bad_gateway, reason);
    else
        refuse(rejection_refusal(reason));
}

refusal gateway_request::rejection_refusal(std::string const& reason)
{
    auto out = no_upstream_refusal(context_.timers.now(), context_.cluster, service_, constraints_,
                                   reason);
    auto const time_left = admitted_->timeout - elapsed();
    auto const until_room = context_.admission.retry_after(admission_ticket_, time_left);
    if (out.retry_after && until_room)
        out.retry_after = std::max(*out.retry_after, *until_room);
    return out;
}

void gateway_request::abort_stream(std::string const& reason)
{
    client_->abort();
    finish(request_end::failed, 0, reason);
}

void gateway_request::handle_timeout()
{
    // A response that is ready is delivered, also late. A process that is late again and again
    // would never answer the caller, so this is done once.
    constexpr auto catch_up = cluster_state::time_to_catch_up;
    bool const caught_up = std::exchange(timeout_put_off_, true);
    if (!caught_up && resumed_since(context_.timers.now() - catch_up))
    {
        timeout_timer_ = context_.timers.after(catch_up, [self = shared_from_this()]
                                               { self->handle_timeout(); });
        return;
    }
    auto const reason = "the time limit was reached";
    bool const nothing_sent = !may_have_run_ && !attempt_;
    if (streaming_)
        abort_stream(reason);
    else if (nothing_sent)
        refuse({{base::error_kind::unavailable, reason}, std::nullopt, 0, 0});
    else
        fail(status_gateway_timeout, reason);
}

void gateway_request::handle_client_disconnect()
{
    if (context_.process_exiting)
        finish(request_end::failed, 0, "the process ended before the answer was complete");
    else
        finish(request_end::abandoned, 0, "the caller closed the connection");
}

void gateway_request::handle_process_end()
{
    auto const reason = "the process ended before the answer was complete";
    if (streaming_)
        abort_stream(reason);
    else if (may_have_run_ || attempt_)
        fail(status_bad_gateway, reason);
    else
        refuse({{base::error_kind::unavailable, reason}, base::duration::zero(), 0, 0});
}

void gateway_request::refuse(refusal const& it)
{
    auto const status = http_status(it);
    outcome_.refusal_kind = it.reason.kind;
    outcome_.requested_tokens = it.requested_tokens;
    outcome_.bucket_level = it.bucket_level;
    if (admitted_ && admitted_->charged_tokens > 0)
        context_.cluster.bucket(admitted_->workspace->name)
            ->refund(context_.timers.now(), admitted_->charged_tokens);
    client_->respond(status, refusal_headers(it), it.reason.message + "\n");
    finish(request_end::refused, status, it.reason.message);
}

void gateway_request::fail(int status, std::string const& reason)
{
    client_->respond(status, text_headers(), reason + "\n");
    finish(request_end::failed, status, reason);
}

void gateway_request::finish_attempt(bool keep_connection)
{
    if (!attempt_)
        return;
    auto const it = std::exchange(attempt_, nullptr);
    it->finish(keep_connection);
}

void gateway_request::finish(request_end result, int status, std::string const& reason)
{
    if (std::exchange(finished_, true))
        return;
    auto const now = context_.timers.now();
    timeout_timer_ = {};
    stall_timer_ = {};
    client_->on_gone(nullptr);
    client_->on_interrupted(nullptr);
    end_admission_wait();
    context_.admission.leave(admission_ticket_);
    finish_attempt(result == request_end::answered);
    release_body();
    if (admitted_ && result != request_end::refused)
        outcome_.requested_tokens = admitted_->charged_tokens;
    outcome_.id = caller_request_.id;
    outcome_.resumes = caller_request_.resumes.value_or("");
    outcome_.end = result;
    outcome_.status = status;
    outcome_.reason = reason;
    outcome_.service = service_;
    outcome_.total_time = elapsed();
    outcome_.store_age = context_.cluster.store_age(now).value_or(base::duration(-1));
    if (admitted_ && admitted_->deployment)
        outcome_.configuration_version = admitted_->deployment->data().version;
    if (admitted_ && admitted_->route != nullptr)
        outcome_.route = admitted_->route->name;
    if (admitted_ && admitted_->workspace != nullptr)
        outcome_.workspace = admitted_->workspace->name;
    context_.request_ended(outcome_);
}

base::duration gateway_request::elapsed() const
{
    return context_.timers.now() - arrived_at_;
}

attempt_history gateway_request::history() const
{
    attempt_history out;
    out.repeatability = admitted_->route->kind;
    out.resumable = admitted_->route->resumable;
    out.max_attempts = admitted_->route->max_attempts;
    out.attempts_sent = attempts_sent_;
    out.attempts_not_sent = attempts_not_sent_;
    out.may_have_run = may_have_run_;
    out.time_left = admitted_->timeout - elapsed();
    out.retries_available = context_.cluster.retry_quota(service_).available(context_.timers.now());
    return out;
}

} // namespace savorymount::gateway
