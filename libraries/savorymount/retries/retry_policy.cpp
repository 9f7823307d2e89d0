#include <savorymount/retries/retry_policy.hpp>

namespace savorymount::retries
{
namespace
{

bool did_not_run(attempt_outcome outcome)
{
    return outcome == attempt_outcome::refused || outcome == attempt_outcome::refused_everywhere ||
           outcome == attempt_outcome::not_sent;
}

/// The decision that is reported to the client if there is no further attempt.
retry_decision final_decision(attempt const& last)
{
    if (last.outcome == attempt_outcome::failed_partially)
        return retry_decision::partial;
    if (!did_not_run(last.outcome) || last.may_have_run)
        return retry_decision::unknown;
    return retry_decision::not_run;
}

} // namespace

retry_decision decide_retry(base::time_point now, attempt const& last, retry_budget& budget)
{
    retry_decision const without_retry = final_decision(last);
    bool const may_have_run = !did_not_run(last.outcome) || last.may_have_run;
    if (may_have_run && !last.repeatable)
        return without_retry;
    if (last.outcome == attempt_outcome::refused_everywhere)
        return without_retry;
    if (last.outcome == attempt_outcome::failed_partially && !last.resumable)
        return without_retry;
    if (last.attempts >= max_attempts || last.time_left <= base::duration(0))
        return without_retry;
    // An attempt that sent nothing caused no load, so its retry needs no budget.
    if (last.outcome != attempt_outcome::not_sent && !budget.try_spend(now))
        return without_retry;
    return retry_decision::retry_elsewhere;
}

} // namespace savorymount::retries
