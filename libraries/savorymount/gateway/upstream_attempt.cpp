#include <savorymount/gateway/upstream_attempt.hpp>

#include <utility>
#include <vector>

namespace savorymount::gateway
{
namespace
{

using namespace std::chrono_literals;

constexpr base::duration rejection_backoff = 40ms;
constexpr base::duration busy_engine_backoff = 80ms;
constexpr base::duration misdirected_backoff = 3s;
// An older choice of the upstream is not used: the process may have been suspended, and the
// upstream may drain or load other weights by now.
constexpr base::duration max_placement_age = 500ms;

bool is_success(int status)
{
    return status >= 200 && status < 300;
}

bool may_be_event_stream(runtime::http_head const& head)
{
    auto const type = runtime::find_header(head.headers, "Content-Type");
    return !type || type->starts_with("text/event-stream");
}

} // namespace

upstream_attempt::upstream_attempt(gateway_context& context, placed_request placed, bool streaming,
                                   base::duration target_event_gap)
    : context_(context), placement_(std::move(placed)), streaming_(streaming),
      stall_detector_(target_event_gap), memory_(context.responses)
{
}

void upstream_attempt::start(caller_request const& request, std::shared_ptr<std::string const> body,
                             attempt_callbacks callbacks)
{
    callbacks_ = std::move(callbacks);
    if (request.prompt)
        model_ = request.prompt->model;
    auto const& upstream = placement_.upstream;
    placed_at_ = context_.timers.now();
    context_.cluster.request_sent(placed_at_, upstream, placement_.size);
    base::error reason;
    auto const address = runtime::parse_address("upstream", upstream.address, reason);
    if (!address)
    {
        report_result(attempt_result::not_sent, reason.message);
        return;
    }
    connection_ = context_.pool.take(upstream.id, *address);
    connection_->call(context_.platform.encode_upstream_request(request, placement_.request),
                      std::move(body), make_call_callbacks(request.id));
}

runtime::call_hooks upstream_attempt::make_call_callbacks(std::string const& request_id)
{
    auto const self = shared_from_this();
    runtime::call_hooks out;
    out.head = [self](runtime::http_head const& head)
    {
        self->handle_head(head);
    };
    out.body = [self](std::string_view bytes)
    {
        self->handle_body(bytes);
    };
    out.done = [self]
    {
        self->handle_end();
    };
    out.failed = [self](runtime::call_failure kind, std::string const& text)
    {
        self->handle_failure(kind, text);
    };
    out.may_send = [self]
    {
        return self->placement_holds();
    };
    out.answers = [self, request_id](runtime::http_head const& head)
    {
        auto const id = self->context_.platform.decode_response_metadata(head).request_id;
        return id.empty() || id == request_id;
    };
    return out;
}

bool upstream_attempt::placement_holds() const
{
    auto const now = context_.timers.now();
    auto const& cluster = context_.cluster;
    auto const& engine = placement_.request.engine;
    bool const source_holds = !engine || engine->source_engine.empty() ||
                              cluster.may_fetch_parts(now, engine->source_engine, model_,
                                                      engine->expected_weight_version);
    return source_holds && now - placed_at_ <= max_placement_age &&
           cluster.upstreams().accepts_requests(now, placement_.upstream.id);
}

void upstream_attempt::pause_reading(bool paused)
{
    if (connection_)
        connection_->pause_reading(paused);
}

void upstream_attempt::finish(bool keep_connection)
{
    callbacks_ = {};
    probe_.reset();
    context_.cluster.upstreams().request_finished(placement_.upstream.id, response_started_,
                                                  placement_.size);
    auto connection = std::move(connection_);
    if (connection && keep_connection)
        context_.pool.give_back(placement_.upstream.id, std::move(connection));
}

void upstream_attempt::handle_head(runtime::http_head const& head)
{
    auto& upstreams = context_.cluster.upstreams();
    auto const& id = placement_.upstream.id;
    head_ = head;
    metadata_ = context_.platform.decode_response_metadata(head);
    // On a kept connection it may repeat the rejection of an earlier request.
    if (metadata_.request_id.empty() && connection_->is_reused())
        metadata_.not_executed = false;
    if (metadata_.load)
        upstreams.load_reported(context_.timers.now(), id, *metadata_.load);
    if (metadata_.weight_version && !model_.empty())
        context_.cluster.weights_observed(id, model_, *metadata_.weight_version);
    record_notices();
    bool const not_authentic = metadata_.request_id.empty() || !metadata_.stamped;
    untrusted_ = not_authentic && !metadata_.not_executed;
    if (metadata_.upstream == id)
        context_.cluster.crash_attribution().record_response(
            context_.timers.now(), placed_at_, membership::process_name(placement_.upstream));
    if (!is_stream_response())
        record_first_byte();
}

void upstream_attempt::record_notices()
{
    bool const other_upstream = is_from_other_upstream();
    auto& upstreams = context_.cluster.upstreams();
    auto const now = context_.timers.now();
    if (!other_upstream && metadata_.leaving)
        upstreams.set_leaving(now, placement_.upstream.id);
    if (!other_upstream && metadata_.unavailable_for)
        upstreams.set_unavailable(placement_.upstream.id, now + *metadata_.unavailable_for);
    // A limit ends only by a response that surely comes from the upstream.
    if (!other_upstream && (metadata_.request_limit || metadata_.stamped))
        context_.cluster.limit_observed(context_.timers.now(), placed_at_, placement_.upstream,
                                        metadata_.request_limit);
}

void upstream_attempt::handle_body(std::string_view bytes)
{
    context_.cluster.upstreams().response_progressed(context_.timers.now(), placement_.upstream.id);
    if (is_stream_response())
    {
        handle_stream_bytes(bytes);
        return;
    }
    auto const limit = context_.responses.limits().max_body_bytes;
    if (reserve_memory(body_.size() + bytes.size(), limit, body_too_large))
        body_ += bytes;
}

bool upstream_attempt::reserve_memory(std::size_t bytes, std::size_t limit,
                                      std::string (*too_large)(response_limits const&))
{
    auto const& limits = context_.responses.limits();
    if (bytes > limit)
    {
        connection_->reject_response(too_large(limits));
        return false;
    }
    if (!memory_.resize(bytes))
    {
        connection_->reject_response(responses_too_large(limits));
        return false;
    }
    return true;
}

void upstream_attempt::handle_stream_bytes(std::string_view bytes)
{
    if (!response_started_)
        record_first_byte();
    std::vector<streams::raw_event> events;
    event_splitter_.feed(bytes, events);
    if (!events.empty())
        record_event_gap();
    // The callback may finish this attempt.
    auto const self = shared_from_this();
    auto const callback = callbacks_.event;
    for (auto const& it : events)
    {
        if (!callbacks_.event)
            return;
        callback(it);
    }
    if (connection_)
        check_incomplete_event(!events.empty());
}

void upstream_attempt::record_event_gap()
{
    auto const now = context_.timers.now();
    if (last_event_at_)
        context_.cluster.upstreams().event_gap_observed(now, placement_.upstream.id,
                                                        now - *last_event_at_);
    last_event_at_ = now;
}

void upstream_attempt::check_incomplete_event(bool event_completed)
{
    auto const now = context_.timers.now();
    auto const pending_bytes = event_splitter_.pending().size();
    if (event_completed)
        stall_detector_.event_completed(now);
    if (pending_bytes > 0)
        stall_detector_.bytes_arrived(now);
    if (stall_detector_.stalled(now))
        connection_->reject_response("the upstream sends bytes that complete no event");
    reserve_memory(pending_bytes, context_.responses.limits().max_event_bytes, event_too_large);
}

void upstream_attempt::handle_end()
{
    if (metadata_.not_executed)
    {
        record_rejection();
        auto const result = metadata_.misdirected && is_from_other_upstream()
                                ? attempt_result::upstream_ended
                                : attempt_result::rejected;
        report_result(result, "the upstream rejected the request with status " +
                                  std::to_string(head_.status));
        return;
    }
    // The end of a connection may end a response in good order, also that of an engine that failed.
    bool const broken_off = is_stream_response() && !event_splitter_.pending().empty();
    if (broken_off)
        handle_failure(runtime::call_failure::lost, "the upstream's stream ended inside an event");
    else if (untrusted_)
        report_result(attempt_result::invalid_response, "the upstream's response is not authentic");
    else if (is_stream_response() && ended_with_connection())
        confirm_stream_end();
    else
        report_result(is_stream_response() ? attempt_result::stream_ended
                                           : attempt_result::complete_response,
                      "");
}

bool upstream_attempt::ended_with_connection() const
{
    bool const is_delimited =
        head_.content_length || runtime::find_header(head_.headers, "Transfer-Encoding");
    return !is_delimited && !connection_->reusable();
}

void upstream_attempt::confirm_stream_end()
{
    // The kernel closes the connections of a process that was killed in good order.
    base::error reason;
    auto const address = runtime::parse_address("upstream", placement_.upstream.address, reason);
    if (!address)
    {
        report_result(attempt_result::stream_ended, "");
        return;
    }
    probe_ = context_.pool.probe(*address, [self = shared_from_this()](auto result)
                                 { self->handle_stream_end(result); });
}

void upstream_attempt::handle_stream_end(runtime::probe_result result)
{
    if (!callbacks_.finished)
        return;
    if (result == runtime::probe_result::refused)
        handle_failure(runtime::call_failure::lost, "the upstream ended with its stream");
    else
        report_result(attempt_result::stream_ended, "");
}

void upstream_attempt::handle_failure(runtime::call_failure kind, std::string const& reason)
{
    auto const& id = placement_.upstream.id;
    context_.cluster.upstreams().connection_failed(context_.timers.now(), id);
    context_.pool.forget(id);
    switch (kind)
    {
    case runtime::call_failure::not_sent:
        context_.cluster.request_not_sent(placement_.upstream);
        report_result(attempt_result::not_sent, reason);
        return;
    case runtime::call_failure::lost:
        report_result(attempt_result::connection_lost, reason);
        return;
    case runtime::call_failure::malformed:
        break;
    }
    report_result(attempt_result::invalid_response, reason);
}

void upstream_attempt::record_rejection()
{
    bool const engine = placement_.request.engine.has_value();
    auto backoff = engine ? busy_engine_backoff : rejection_backoff;
    if (metadata_.misdirected)
    {
        if (is_from_other_upstream() || !engine)
            backoff = misdirected_backoff;
        else
            record_version_mismatch();
    }
    context_.cluster.upstreams().request_rejected(context_.timers.now(), placement_.upstream.id,
                                                  backoff);
}

bool upstream_attempt::is_from_other_upstream() const
{
    return !metadata_.upstream.empty() && metadata_.upstream != placement_.upstream.id;
}

void upstream_attempt::record_version_mismatch()
{
    auto& upstreams = context_.cluster.upstreams();
    auto const& id = placement_.upstream.id;
    auto const rejected_version = placement_.request.engine->expected_weight_version;
    auto const newest = context_.cluster.desired_weights().newest_version(model_);
    // An engine that no longer has an older version has probably loaded the newest one.
    if (rejected_version < newest)
        upstreams.weights_observed(id, model_, newest);
    else
        upstreams.weights_rejected(id, model_, rejected_version);
}

void upstream_attempt::record_first_byte()
{
    context_.cluster.upstreams().response_started(context_.timers.now(), placement_.upstream.id,
                                                  placement_.size);
    response_started_ = true;
}

void upstream_attempt::report_result(attempt_result result, std::string const& reason)
{
    // The callback may finish this attempt, which resets the callbacks.
    auto const callback = callbacks_.finished;
    callback(result, reason);
}

bool upstream_attempt::is_stream_response() const
{
    return streaming_ && is_success(head_.status) && !untrusted_ && !metadata_.not_executed &&
           may_be_event_stream(head_);
}

} // namespace savorymount::gateway
