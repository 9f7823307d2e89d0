#pragma once

#include <savorymount/deduplication/claim_batch.hpp>
#include <savorymount/deduplication/idempotency_claims.hpp>
#include <savorymount/runtime/kernel.hpp>

#include <functional>
#include <list>
#include <string>

namespace savorymount::agent
{

/// Decides over the log which request with an idempotency key runs, and where.
class claim_service
{
public:
    using decided = std::function<void(deduplication::claim_decision const&)>;

    explicit claim_service(runtime::kernel& owner);

    /// Calls `done` once; the verdict is neither `append` nor `wait`.
    void decide(deduplication::claim own, decided done);

    /// Takes back a `run_here`, because nothing reached the upstream.
    void withdraw(deduplication::claim const& own, std::string const& request);

private:
    struct pending
    {
        deduplication::claim own;
        bool sent = false;
        decided done;
    };

    void handle_record(runtime::log_record const& record);
    void send_batch();
    void review();

    runtime::kernel& kernel_;
    deduplication::idempotency_claims claims_;
    deduplication::claim_batch batch_;
    std::list<pending> pending_;
    std::uint64_t next_append_ = 1;
    std::uint64_t next_offset_ = 1;
    runtime::timer_service::subscription timer_;
};

} // namespace savorymount::agent
