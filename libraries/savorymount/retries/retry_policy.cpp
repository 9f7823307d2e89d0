#include <savorymount/retries/retry_policy.hpp>

namespace savorymount::retries
{
namespace
{

bool surely_not_run(attempt_end end)
{
    return end == attempt_end::refused || end == attempt_end::refused_everywhere ||
           end == attempt_end::not_sent;
}

/// What the caller is told when no further attempt is made.
retry_verdict final_verdict(attempt const& last)
{
    if (last.end == attempt_end::failed_partially)
        return retry_verdict::partial;
    if (!surely_not_run(last.end) || last.may_have_run)
        return retry_verdict::unknown;
    return retry_verdict::not_run;
}

} // namespace

retry_verdict decide_retry(base::time_point now, attempt const& last, retry_budget& budget)
{
    retry_verdict const final = final_verdict(last);
    bool const ran = !surely_not_run(last.end) || last.may_have_run;
    if (ran && !last.repeatable)
        return final;
    if (last.end == attempt_end::refused_everywhere)
        return final;
    if (last.end == attempt_end::failed_partially && !last.resumable)
        return final;
    if (last.attempts >= most_attempts || last.time_left <= base::duration(0))
        return final;
    // An attempt that sent nothing put no load on an upstream, so it needs no budget.
    if (last.end != attempt_end::not_sent && !budget.try_spend(now))
        return final;
    return retry_verdict::try_elsewhere;
}

} // namespace savorymount::retries
