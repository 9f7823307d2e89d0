#include <savorymount/runtime/request_outcome.hpp>

namespace savorymount::runtime
{

void write_outcome(request_outcome const& outcome, wire::Outcome::Builder out)
{
    std::string const kind(base::to_string(outcome.reason.kind));
    out.setCachedBlocks(outcome.held_blocks);
    if (outcome.end == request_outcome::kind::completed)
    {
        auto usage = out.initCompleted();
        usage.setPromptTokens(outcome.prompt_tokens);
        usage.setAnswerTokens(outcome.answer_tokens);
        usage.setCachedTokens(outcome.cached_tokens);
        return;
    }
    if (outcome.end == request_outcome::kind::refused)
    {
        auto refusal = out.initRefused();
        refusal.setKind(kind);
        refusal.setMessage(outcome.reason.message);
        refusal.setRetryAfterMs(static_cast<std::uint32_t>(outcome.retry_after.count() / 1000));
        refusal.setRetryElsewhere(outcome.retry_elsewhere);
        refusal.setAttachInstance(outcome.attach_instance);
        refusal.setAttachRequest(outcome.attach_request);
        return;
    }
    auto failure = out.initFailed();
    failure.setKind(kind);
    failure.setMessage(outcome.reason.message);
    failure.setPosition(outcome.position);
    failure.setCrashed(outcome.crashed);
}

request_outcome read_outcome(wire::Outcome::Reader in)
{
    request_outcome out;
    out.held_blocks = in.getCachedBlocks();
    if (in.isCompleted())
    {
        out.end = request_outcome::kind::completed;
        out.prompt_tokens = in.getCompleted().getPromptTokens();
        out.answer_tokens = in.getCompleted().getAnswerTokens();
        out.cached_tokens = in.getCompleted().getCachedTokens();
        return out;
    }
    if (in.isRefused())
    {
        auto const refusal = in.getRefused();
        out.end = request_outcome::kind::refused;
        out.reason = {parse_error_kind(refusal.getKind().cStr()), refusal.getMessage()};
        out.retry_after = std::chrono::milliseconds(refusal.getRetryAfterMs());
        out.retry_elsewhere = refusal.getRetryElsewhere();
        out.attach_instance = refusal.getAttachInstance();
        out.attach_request = refusal.getAttachRequest();
        return out;
    }
    auto const failure = in.getFailed();
    out.reason = {parse_error_kind(failure.getKind().cStr()), failure.getMessage()};
    out.position = failure.getPosition();
    out.crashed = failure.getCrashed();
    return out;
}

base::error_kind parse_error_kind(std::string_view name)
{
    for (int i = 0; i <= static_cast<int>(base::error_kind::internal); ++i)
    {
        auto const kind = static_cast<base::error_kind>(i);
        if (base::to_string(kind) == name)
            return kind;
    }
    return base::error_kind::internal;
}

} // namespace savorymount::runtime
