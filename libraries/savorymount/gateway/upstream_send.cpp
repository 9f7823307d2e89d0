#include <savorymount/gateway/upstream_send.hpp>

#include <utility>
#include <vector>

namespace savorymount::gateway
{
namespace
{

using namespace std::chrono_literals;

constexpr base::duration full_pause = 40ms;
constexpr base::duration busy_engine_pause = 80ms;
constexpr base::duration misdirected_pause = 3s;

bool is_success(int status)
{
    return status >= 200 && status < 300;
}

} // namespace

upstream_send::upstream_send(flow_services& services, placed_request placed, bool streaming)
    : services_(services), placed_(std::move(placed)), streaming_(streaming)
{
}

void upstream_send::start(caller_request const& request, std::string const& body, send_hooks hooks)
{
    hooks_ = std::move(hooks);
    if (request.prompt)
        model_ = request.prompt->model;
    auto const& upstream = placed_.upstream;
    services_.view.upstreams().request_sent(services_.timers.now(), upstream.id, placed_.size);
    base::error reason;
    auto const address = runtime::parse_address("upstream", upstream.address, reason);
    if (!address)
    {
        report(send_result::not_sent, reason.message);
        return;
    }
    connection_ = services_.pool.take(upstream.id, *address);
    connection_->call(services_.port.encode_call(request, placed_.call), body,
                      make_call_hooks(request.id));
}

runtime::call_hooks upstream_send::make_call_hooks(std::string const& request_id)
{
    auto const self = shared_from_this();
    runtime::call_hooks out;
    out.head = [self](runtime::http_head const& head)
    {
        self->take_head(head);
    };
    out.body = [self](std::string_view bytes)
    {
        self->take_body(bytes);
    };
    out.done = [self]
    {
        self->take_end();
    };
    out.failed = [self](runtime::call_failure kind, std::string const& text)
    {
        self->take_failure(kind, text);
    };
    out.answers = [self, request_id](runtime::http_head const& head)
    {
        auto const id = self->services_.port.read_answer(head).request_id;
        return id.empty() || id == request_id;
    };
    return out;
}

void upstream_send::pause_reading(bool paused)
{
    if (connection_)
        connection_->pause_reading(paused);
}

void upstream_send::finish(bool keep_connection)
{
    hooks_ = {};
    services_.view.upstreams().request_finished(placed_.upstream.id, answered_, placed_.size);
    auto connection = std::move(connection_);
    if (connection && keep_connection)
        services_.pool.give_back(placed_.upstream.id, std::move(connection));
}

void upstream_send::take_head(runtime::http_head const& head)
{
    auto& upstreams = services_.view.upstreams();
    auto const& id = placed_.upstream.id;
    head_ = head;
    facts_ = services_.port.read_answer(head);
    if (facts_.load)
        upstreams.load_reported(services_.timers.now(), id, *facts_.load);
    if (facts_.version && !model_.empty())
        upstreams.weights_observed(id, model_, *facts_.version);
    bool const unproved = facts_.request_id.empty() || !facts_.stamped;
    foreign_ = unproved && !facts_.not_executed;
    if (!is_stream_answer())
        note_answer();
}

void upstream_send::take_body(std::string_view bytes)
{
    services_.view.upstreams().response_progressed(services_.timers.now(), placed_.upstream.id);
    if (is_stream_answer())
        take_events(bytes);
    else
        body_ += bytes;
}

void upstream_send::take_events(std::string_view bytes)
{
    if (!answered_)
        note_answer();
    std::vector<streams::raw_event> events;
    events_.feed(bytes, events);
    // The hook may finish this send.
    auto const self = shared_from_this();
    auto const hook = hooks_.event;
    for (auto const& it : events)
    {
        if (!hooks_.event)
            return;
        hook(it);
    }
}

void upstream_send::take_end()
{
    if (facts_.not_executed)
    {
        note_rejection();
        report(send_result::rejected,
               "the upstream rejected the request with " + std::to_string(head_.status));
        return;
    }
    bool const cut_short = is_stream_answer() && !events_.pending().empty();
    if (foreign_ || cut_short)
        report(send_result::unusable, "the upstream's answer is not whole");
    else
        report(is_stream_answer() ? send_result::stream_ended : send_result::answered, "");
}

void upstream_send::take_failure(runtime::call_failure kind, std::string const& reason)
{
    auto const& id = placed_.upstream.id;
    services_.view.upstreams().connection_failed(services_.timers.now(), id);
    services_.pool.forget(id);
    switch (kind)
    {
    case runtime::call_failure::not_sent:
        report(send_result::not_sent, reason);
        return;
    case runtime::call_failure::lost:
        report(send_result::lost, reason);
        return;
    case runtime::call_failure::malformed:
        break;
    }
    report(send_result::unusable, reason);
}

void upstream_send::note_rejection()
{
    bool const engine = placed_.call.engine.has_value();
    auto pause = engine ? busy_engine_pause : full_pause;
    if (facts_.misdirected)
    {
        bool const other = !facts_.upstream.empty() && facts_.upstream != placed_.upstream.id;
        if (other || !engine)
            pause = misdirected_pause;
        else
            note_other_weights();
    }
    services_.view.upstreams().request_rejected(services_.timers.now(), placed_.upstream.id, pause);
}

void upstream_send::note_other_weights()
{
    auto& upstreams = services_.view.upstreams();
    auto const& id = placed_.upstream.id;
    auto const denied = placed_.call.engine->expected_version;
    auto const newest = services_.view.weights().newest_version(model_);
    // An engine that no longer has an older version has probably got the newest one meanwhile.
    if (denied < newest)
        upstreams.weights_observed(id, model_, newest);
    else
        upstreams.weights_rejected(id, model_, denied);
}

void upstream_send::note_answer()
{
    services_.view.upstreams().response_started(services_.timers.now(), placed_.upstream.id,
                                                placed_.size);
    answered_ = true;
}

void upstream_send::report(send_result result, std::string const& reason)
{
    // The hook may finish this send, which drops the hooks.
    auto const hook = hooks_.ended;
    hook(result, reason);
}

bool upstream_send::is_stream_answer() const
{
    return streaming_ && is_success(head_.status) && !foreign_ && !facts_.not_executed;
}

} // namespace savorymount::gateway
