#include <savorymount/agent/submitted_request.hpp>

namespace savorymount::agent
{

submitted_request read_request(wire::Request::Reader in, base::time_point now)
{
    submitted_request out;
    out.id = in.getId();
    out.workspace = in.getWorkspace();
    out.key_id = in.getKeyId();
    out.route = in.getRoute();
    out.method = in.getMethod();
    out.target = in.getTarget();
    for (auto const it : in.getHeaders())
        out.headers.push_back({it.getName(), it.getValue()});
    auto const body = in.getBody();
    out.body.assign(reinterpret_cast<char const*>(body.begin()), body.size());
    out.repeatable = in.getRepeatable();
    out.stream = in.getStream();
    out.priority = in.getPriority();
    if (in.getDeadlineMs() > 0)
        out.deadline = now + std::chrono::milliseconds(in.getDeadlineMs());
    out.resume_from = in.getResumeFrom();
    out.prompt_tokens = in.getPromptTokens();
    out.answer_tokens = in.getAnswerTokens();
    for (auto const it : in.getBlocks())
        out.blocks.push_back(it);
    out.model = in.getModel();
    out.adapter = in.getAdapter();
    out.model_version = in.getModelVersion();
    out.digest = in.getRequestDigest();
    out.idempotency_key = in.getIdempotencyKey();
    return out;
}

} // namespace savorymount::agent
