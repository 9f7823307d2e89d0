#include <savorymount/runtime/outbound_client.hpp>

#include <utility>

namespace savorymount::runtime
{

struct outbound_client::call
{
    std::unique_ptr<outbound_connection> connection;
    http_answer answer;
    timer_service::subscription timeout;
    done hook;

    void end(std::optional<http_answer> result, base::error const& reason)
    {
        timeout = {};
        if (auto const it = std::exchange(hook, nullptr))
            it(std::move(result), reason);
    }
};

void outbound_client::fetch(outbound_request const& request, done hook)
{
    auto const key = to_string(request.address);
    auto const it = std::make_shared<call>();
    it->hook = std::move(hook);
    it->connection = pool_.take(key, request.address);
    call_hooks hooks;
    hooks.head = [it](http_head const& head)
    {
        it->answer.status = head.status;
        it->answer.headers = head.headers;
    };
    hooks.body = [it, limit = request.max_body_bytes](std::string_view bytes)
    {
        it->answer.body += bytes;
        if (it->answer.body.size() > limit)
            it->connection->reject_response("the response is longer than " + std::to_string(limit) +
                                            " bytes");
    };
    hooks.answers = request.answers;
    hooks.may_send = request.may_send;
    hooks.done = [this, it, key]
    {
        pool_.give_back(key, std::move(it->connection));
        it->end(std::move(it->answer), {});
    };
    hooks.failed = [it](call_failure kind, std::string const& reason)
    {
        auto const what = kind == call_failure::not_sent ? base::error_kind::unavailable
                                                         : base::error_kind::unknown_outcome;
        // The connection's own hook is running; it ends with this call.
        auto const connection = std::move(it->connection);
        it->end(std::nullopt, {what, reason});
    };
    it->timeout = timers_.after(
        request.timeout,
        [it]
        {
            auto const connection = std::move(it->connection);
            it->end(std::nullopt, {base::error_kind::unknown_outcome, "no answer in time"});
        });
    http_headers headers{{"Host", key}};
    headers.insert(headers.end(), request.headers.begin(), request.headers.end());
    if (!request.body.empty() || request.method != "GET")
        headers.push_back({"Content-Length", std::to_string(request.body.size())});
    it->connection->call(serialize_request_head(request.method, request.target, headers),
                         request.body, std::move(hooks));
}

} // namespace savorymount::runtime
