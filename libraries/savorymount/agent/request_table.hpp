#pragma once

#include <savorymount/agent/agent_request.hpp>
#include <savorymount/agent/agent_settings.hpp>
#include <savorymount/agent/bucket_service.hpp>
#include <savorymount/agent/claim_service.hpp>
#include <savorymount/agent/crash_watch.hpp>
#include <savorymount/agent/upstream_monitor.hpp>
#include <savorymount/deduplication/outcome_store.hpp>
#include <savorymount/limits/token_estimator.hpp>
#include <savorymount/queueing/fair_queue.hpp>
#include <savorymount/runtime/kernel.hpp>

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace savorymount::agent
{

/// All requests of this agent: checks, admission, queue, run, outcome, deduplication.
class request_table
{
public:
    request_table(runtime::kernel& owner, agent_settings const& settings,
                  runtime::upstream_adapter const& adapter, upstream_monitor& monitor,
                  bucket_service& buckets, claim_service& claims);

    /// Takes a request; the promise resolves once it has its outcome.
    kj::Promise<runtime::request_outcome> submit(submitted_request request,
                                                 wire::AnswerSink::Client sink);

    /// Whether a request is known here, and how it ended.
    struct attach_result
    {
        bool found = false;
        runtime::request_outcome outcome;
    };

    /// Continues the answer of a known request. With `refuse_if_absent` an id that never arrived is
    /// refused from now on, so that the answer `not run` stays true if the lost message arrives.
    kj::Promise<attach_result> attach(std::string const& id, std::uint64_t position,
                                      wire::AnswerSink::Client sink, bool refuse_if_absent);

    /// The caller has gone: removes a waiting request, stops a repeatable one.
    void cancel(std::string const& id);

    std::size_t running() const { return running_; }
    std::size_t waiting() const { return queue_.size(); }
    std::uint64_t queued_tokens() const { return queue_.tokens(); }

private:
    using request_pointer = std::shared_ptr<agent_request>;

    std::optional<runtime::request_outcome> check(submitted_request const& request) const;
    void admit(request_pointer const& it);
    void admitted(request_pointer const& it, limits::admission const& answer);
    void enqueue(request_pointer const& it);
    void dispatch();
    void start(request_pointer const& it);
    void claimed(request_pointer const& it, deduplication::claim_decision const& verdict);
    void run(request_pointer const& it);
    void ended(request_pointer const& it, runtime::request_outcome outcome);
    void release_slot(request_pointer const& it, runtime::request_outcome const& outcome);
    void finish(request_pointer const& it, runtime::request_outcome outcome);
    kj::Promise<attach_result> follow(request_pointer const& it, wire::AnswerSink::Client sink);
    request_pointer refuse_for_good(std::string const& id);
    void entry_lost(request_pointer const& it);
    void refuse(request_pointer const& it, base::error reason, base::duration retry_after,
                bool elsewhere);
    void end_claim(request_pointer const& it, bool ran);
    void abandon(request_pointer const& it);
    kj::Promise<runtime::request_outcome> wait(request_pointer const& it);
    std::uint64_t cost(submitted_request const& request) const;

    runtime::kernel& kernel_;
    agent_settings const& settings_;
    runtime::upstream_adapter const& adapter_;
    upstream_monitor& monitor_;
    bucket_service& buckets_;
    claim_service& claims_;
    deduplication::outcome_store<request_pointer> outcomes_;
    std::unordered_map<std::string, request_pointer> active_;
    std::unordered_map<std::string, queueing::queued_request> taken_;
    queueing::fair_queue queue_;
    limits::token_estimator estimator_;
    crash_watch crashes_;
    std::size_t running_ = 0;
    runtime::timer_service::subscription tick_;
};

} // namespace savorymount::agent
