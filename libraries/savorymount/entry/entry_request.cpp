#include <savorymount/entry/answer_sink.hpp>
#include <savorymount/entry/entry_request.hpp>
#include <savorymount/runtime/log_events.hpp>

#include <algorithm>
#include <utility>

namespace savorymount::entry
{
namespace
{

using namespace std::chrono_literals;
using outcome_kind = runtime::request_outcome::kind;

// Covers the silence limit of the old connection, a new connection and its handshake.
constexpr base::duration attach_limit = 10s;
constexpr base::duration attach_poll = 50ms;

} // namespace

entry_request::entry_request(entry_context& context,
                             std::shared_ptr<runtime::http_exchange> exchange,
                             routed_request request)
    : context_(context), exchange_(std::move(exchange)), request_(std::move(request)),
      relay_(exchange_, request_.id)
{
}

void entry_request::start()
{
    started_at_ = context_.kernel.now();
    context_.kernel.shutdown().begin_request();
    exchange_->on_close([self = shared_from_this()] { self->caller_gone(); });
    try_next();
}

void entry_request::take_head(unsigned attempt, int status, runtime::http_headers headers)
{
    if (!done_ && attempt == attempt_)
        relay_.head(status, std::move(headers));
}

kj::Promise<void> entry_request::take_chunk(unsigned attempt, std::uint64_t position,
                                            std::string_view bytes)
{
    if (done_ || attempt != attempt_)
        return kj::READY_NOW;
    if (!std::exchange(first_token_seen_, true) && upstream_)
        context_.selector.started(*upstream_);
    if (!first_token_)
        first_token_ = context_.kernel.now() - started_at_;
    base::error reason;
    if (!relay_.chunk(position, bytes, reason))
    {
        give_up_source(reason);
        return kj::READY_NOW;
    }
    auto paf = kj::newPromiseAndFulfiller<void>();
    auto const fulfiller =
        std::make_shared<kj::Own<kj::PromiseFulfiller<void>>>(kj::mv(paf.fulfiller));
    relay_.when_room([fulfiller] { (*fulfiller)->fulfill(); });
    return kj::mv(paf.promise);
}

void entry_request::try_next()
{
    if (done_ || quarantined())
        return;
    auto const upstream = context_.selector.select(request_, tried_);
    if (upstream)
    {
        submit(*upstream);
        return;
    }
    if (last_reason_)
        end(*last_reason_, 1s);
    else
        end({base::error_kind::unavailable,
             "no upstream of the group " + request_.group + " can take the request now; retry"},
            1s);
}

bool entry_request::quarantined()
{
    auto const left =
        context_.quarantine.remaining_quarantine(context_.kernel.now(), request_.digest);
    if (left)
        end({base::error_kind::crashed,
             "this request ended the upstreams that ran it twice and is refused for now; change "
             "the request"},
            {});
    return left.has_value();
}

void entry_request::submit(selected_upstream const& upstream)
{
    auto* const connection = context_.kernel.peers().find(upstream.name);
    upstream_ = upstream;
    first_token_seen_ = false;
    tried_.push_back(upstream.choice.upstream);
    ++attempt_;
    ++attempts_;
    source_instance_ = upstream.name;
    source_request_ = request_.id + "." + std::to_string(attempts_);
    relay_.begin_source();
    context_.selector.sent(request_, upstream);
    auto call = connection->peer().submitRequest();
    context_.kernel.write_context(call.initContext());
    fill(call.initRequest());
    call.setSink(kj::heap<answer_sink>(shared_from_this(), attempt_));
    context_.kernel.loop().detach(call.send().then(
        [self = shared_from_this(),
         attempt = attempt_](capnp::Response<wire::Peer::SubmitResults>&& answer)
        {
            self->context_.selector.take_load(self->source_instance_,
                                              answer.getOutcome().getLoad());
            self->handle(attempt, runtime::read_outcome(answer.getOutcome()));
        },
        [self = shared_from_this(), attempt = attempt_](kj::Exception&&)
        { self->connection_lost(attempt); }));
}

void entry_request::fill(wire::Request::Builder out)
{
    out.setId(source_request_);
    out.setWorkspace(request_.workspace);
    out.setKeyId(request_.key_id);
    out.setRoute(request_.route);
    out.setMethod(request_.method);
    out.setTarget(request_.target);
    auto headers = out.initHeaders(static_cast<unsigned>(request_.headers.size()));
    for (unsigned i = 0; i < request_.headers.size(); ++i)
    {
        headers[i].setName(request_.headers[i].name);
        headers[i].setValue(request_.headers[i].value);
    }
    out.setBody({reinterpret_cast<kj::byte const*>(request_.body.data()), request_.body.size()});
    out.setRepeatable(request_.repeatable);
    out.setStream(request_.stream);
    out.setPriority(request_.priority);
    auto const left = started_at_ + context_.settings.start_deadline - context_.kernel.now();
    out.setDeadlineMs(static_cast<std::uint32_t>(std::max<std::int64_t>(1, left.count() / 1000)));
    out.setResumeFrom(relay_.started() ? relay_.position() : 0);
    out.setPromptTokens(request_.cost_tokens);
    out.setAnswerTokens(request_.answer_tokens);
    auto blocks = out.initBlocks(static_cast<unsigned>(request_.prefix.digests.size()));
    for (unsigned i = 0; i < request_.prefix.digests.size(); ++i)
        blocks.set(i, request_.prefix.digests[i]);
    if (request_.model)
    {
        out.setModel(request_.model->model);
        out.setAdapter(request_.model->adapter);
        out.setModelVersion(request_.model->version);
    }
    out.setRequestDigest(request_.digest);
    out.setIdempotencyKey(request_.idempotency_key);
}

void entry_request::connection_lost(unsigned attempt)
{
    if (done_ || attempt != attempt_)
        return;
    ++attempt_;
    attach_until_ = context_.kernel.now() + attach_limit;
    attach();
}

void entry_request::attach()
{
    if (done_)
        return;
    auto const name = membership::parse_instance_name(source_instance_);
    auto const listed = context_.kernel.directory().find(name.id);
    bool const replaced = listed && listed->incarnation != name.incarnation;
    if (replaced || context_.kernel.now() >= attach_until_)
    {
        may_have_run_ = true;
        if (upstream_)
            context_.selector.lost(request_, *upstream_);
        handle_failure(relay_.started() ? retries::attempt_outcome::failed_partially
                                        : retries::attempt_outcome::failed,
                       {base::error_kind::unknown_outcome,
                        "the connection to the instance that ran the request is lost; check its "
                        "effect before you send it again"},
                       {});
        return;
    }
    if (context_.kernel.peers().find(source_instance_) == nullptr)
    {
        timer_ = context_.kernel.timers().after(attach_poll,
                                                [self = shared_from_this()] { self->attach(); });
        return;
    }
    runtime::log(runtime::log_events::stream_resumed,
                 {{"request", request_.id}, {"instance", source_instance_}});
    attach_to(source_instance_, source_request_);
}

void entry_request::attach_to(std::string const& name, std::string const& request_id)
{
    auto* const connection = context_.kernel.peers().find(name);
    ++attempt_;
    source_instance_ = name;
    source_request_ = request_id;
    relay_.begin_source();
    auto call = connection->peer().attachRequest();
    context_.kernel.write_context(call.initContext());
    call.setRequestId(request_id);
    call.setPosition(relay_.position());
    // Another call's request must not be refused on behalf of this one.
    call.setRefuseIfAbsent(!following_other_call_);
    call.setSink(kj::heap<answer_sink>(shared_from_this(), attempt_));
    context_.kernel.loop().detach(call.send().then(
        [self = shared_from_this(),
         attempt = attempt_](capnp::Response<wire::Peer::AttachResults>&& answer)
        {
            if (answer.getFound())
            {
                self->handle(attempt, runtime::read_outcome(answer.getOutcome()));
                return;
            }
            runtime::request_outcome lost;
            lost.reason = {base::error_kind::unknown_outcome,
                           "the outcome of the request is no longer known; check its effect before "
                           "you send it again"};
            self->handle(attempt, lost);
        },
        [self = shared_from_this(), attempt = attempt_](kj::Exception&&)
        { self->connection_lost(attempt); }));
}

void entry_request::handle(unsigned attempt, runtime::request_outcome const& outcome)
{
    if (done_ || attempt != attempt_)
        return;
    // Chunks that are still under way belong to an attempt that has ended.
    ++attempt_;
    if (outcome.end == outcome_kind::refused)
    {
        end_attempt(outcome);
        handle_refusal(outcome);
        return;
    }
    base::error reason = outcome.reason;
    bool const whole = outcome.end == outcome_kind::completed && relay_.complete(reason);
    if (whole)
    {
        end_attempt(outcome);
        context_.gate.record_admission(request_.workspace);
        context_.record(request_.workspace, "completed", first_token_);
        finish();
        return;
    }
    may_have_run_ = true;
    // The crash record takes a moment to reach the other agents, so this entry counts as well.
    if (outcome.crashed)
        context_.quarantine.record_crash(context_.kernel.now(), request_.digest, source_request_);
    auto failed = outcome;
    failed.end = outcome_kind::failed;
    end_attempt(failed);
    handle_failure(relay_.started() ? retries::attempt_outcome::failed_partially
                                    : retries::attempt_outcome::failed,
                   reason, {});
}

void entry_request::handle_refusal(runtime::request_outcome const& outcome)
{
    if (!outcome.attach_request.empty() && !following_other_call_)
    {
        following_other_call_ = true;
        source_instance_ = outcome.attach_instance;
        source_request_ = outcome.attach_request;
        upstream_.reset();
        attach_until_ = context_.kernel.now() + attach_limit;
        attach();
        return;
    }
    if (outcome.reason.kind == base::error_kind::rate_limited)
        context_.gate.record_refusal(context_.kernel.now(), request_.workspace,
                                     outcome.retry_after);
    handle_failure(outcome.retry_elsewhere ? retries::attempt_outcome::refused
                                           : retries::attempt_outcome::refused_everywhere,
                   outcome.reason, outcome.retry_after);
}

void entry_request::handle_failure(retries::attempt_outcome end_of_attempt,
                                   base::error const& reason, base::duration retry_after)
{
    last_reason_ = reason;
    auto const now = context_.kernel.now();
    retries::attempt last;
    last.outcome = end_of_attempt;
    last.repeatable = request_.repeatable;
    last.may_have_run = may_have_run_;
    last.resumable = relay_.resumable() && request_.repeatable;
    last.attempts = attempts_;
    last.time_left = started_at_ + context_.settings.start_deadline - now;
    if (relay_.started())
        last.time_left = base::duration::max();
    auto const verdict =
        following_other_call_
            ? retries::retry_decision::unknown
            : retries::decide_retry(now, last, context_.selector.budget(request_.group));
    if (verdict != retries::retry_decision::retry_elsewhere)
    {
        end(reason, retry_after);
        return;
    }
    relay_.restart();
    try_next();
}

void entry_request::give_up_source(base::error const& reason)
{
    auto* const connection = context_.kernel.peers().find(source_instance_);
    if (connection != nullptr)
    {
        auto call = connection->peer().cancelRequest();
        context_.kernel.write_context(call.initContext());
        call.setRequestId(source_request_);
        context_.kernel.loop().detach(call.send().ignoreResult());
    }
    runtime::request_outcome failed;
    failed.reason = reason;
    handle(attempt_, failed);
}

void entry_request::end_attempt(runtime::request_outcome const& outcome)
{
    if (!upstream_)
        return;
    if (!first_token_seen_)
        context_.selector.started(*upstream_);
    context_.selector.finished(request_, *upstream_, outcome);
    upstream_.reset();
}

void entry_request::end(base::error const& reason, base::duration retry_after)
{
    if (relay_.started())
        runtime::log(runtime::log_events::stream_broken,
                     {{"request", request_.id}, {"reason", reason.message}});
    relay_.fail(reason, may_have_run_, retry_after);
    context_.record(request_.workspace, std::string(base::to_string(reason.kind)), std::nullopt);
    finish();
}

void entry_request::caller_gone()
{
    if (done_)
        return;
    auto* const connection = context_.kernel.peers().find(source_instance_);
    if (connection != nullptr && !following_other_call_)
    {
        auto call = connection->peer().cancelRequest();
        context_.kernel.write_context(call.initContext());
        call.setRequestId(source_request_);
        context_.kernel.loop().detach(call.send().ignoreResult());
    }
    if (upstream_)
        end_attempt({});
    context_.record(request_.workspace, "caller_gone", std::nullopt);
    finish();
}

void entry_request::finish()
{
    done_ = true;
    // An agent must not wait for a caller that has gone.
    relay_.close();
    timer_ = {};
    exchange_->on_close(nullptr);
    context_.kernel.shutdown().end_request();
}

} // namespace savorymount::entry
