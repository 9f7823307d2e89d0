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
    using decided = std::function<void(deduplication::claim_verdict const&)>;

    explicit claim_service(runtime::kernel& owner);

    /// Calls `done` once with `run_here`, `attach`, `refuse_unknown` or `refuse_not_run`.
    void decide(std::string const& workspace, std::string const& key, std::string const& request,
                decided done);

private:
    struct pending
    {
        deduplication::claim own;
        base::time_point appended_at;
        base::time_point give_up_at;
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
