#include <savorymount/runtime/outbound_client.hpp>

#include <utility>

namespace savorymount::runtime
{
namespace
{

base::error_kind error_kind_of(call_failure kind)
{
    switch (kind)
    {
    case call_failure::not_sent:
        return base::error_kind::unavailable;
    case call_failure::malformed:
        return base::error_kind::invalid_input;
    case call_failure::lost:
        break;
    }
    return base::error_kind::unknown_outcome;
}

} // namespace

struct outbound_client::call
{
    explicit call(std::shared_ptr<base::byte_account> it) : account(std::move(it)), memory(*account)
    {
    }

    std::unique_ptr<outbound_connection> connection;
    http_answer answer;
    std::shared_ptr<base::byte_account> account;
    base::byte_account::share memory;
    /// The peer sent a longer answer than the call, or all calls, may take.
    bool too_large = false;
    timer_service::subscription timeout;
    done hook;

    void add_to_body(std::string_view bytes, std::size_t limit)
    {
        auto const size = answer.body.size() + bytes.size();
        if (size <= limit && memory.resize(size))
        {
            answer.body += bytes;
            return;
        }
        too_large = true;
        connection->reject_response(size > limit ? "the response is longer than " +
                                                       std::to_string(limit) + " bytes"
                                                 : "the responses to the calls of this process "
                                                   "take too much memory together");
    }

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
    auto const it = std::make_shared<call>(memory_);
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
        if (it->too_large)
            return;
        it->add_to_body(bytes, limit);
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
        auto const what = it->too_large ? base::error_kind::too_large : error_kind_of(kind);
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
