#include <savorymount/runtime/http_fetch.hpp>

#include <memory>
#include <utility>

namespace savorymount::runtime
{
namespace
{

/// Keeps one exchange alive until it is done.
struct fetch
{
    http_answer answer;
    fetch_done done;
    std::unique_ptr<http_call> call;
};

void finish(event_loop& loop, std::shared_ptr<fetch> const& state,
            std::optional<http_failure> failure)
{
    if (!state->done)
        return;
    auto const done = std::exchange(state->done, nullptr);
    // The call is still on the stack, so it is destroyed from the loop.
    loop.defer([state] { state->call.reset(); });
    if (failure)
        done(std::nullopt, std::move(failure));
    else
        done(std::move(state->answer), std::nullopt);
}

} // namespace

void http_fetch(event_loop& loop, http_call_request request, std::size_t max_body_bytes,
                fetch_done done)
{
    auto const state = std::make_shared<fetch>();
    state->done = std::move(done);
    http_call_hooks hooks;
    hooks.on_head = [state](int status, http_headers const& headers)
    {
        state->answer.status = status;
        state->answer.headers = headers;
    };
    hooks.on_chunk = [&loop, state, max_body_bytes](std::string_view bytes)
    {
        state->answer.body += bytes;
        if (state->answer.body.size() <= max_body_bytes)
            return;
        finish(loop, state,
               http_failure{{base::error_kind::too_large, "the answer is longer than " +
                                                              std::to_string(max_body_bytes) +
                                                              " bytes; ask for less at once"},
                            true,
                            true});
    };
    hooks.on_done = [&loop, state](std::optional<http_failure> failure)
    {
        finish(loop, state, std::move(failure));
    };
    state->call = std::make_unique<http_call>(loop, std::move(request), std::move(hooks));
}

} // namespace savorymount::runtime
