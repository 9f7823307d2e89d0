#include <gtest/gtest.h>

#include <tests/system/support/http_client.hpp>
#include <utility>

namespace savorymount::tests
{
namespace
{

constexpr auto poll_interval = std::chrono::milliseconds(1);

// Ends a test that waits for something that never happens; no result depends on it.
constexpr auto give_up = std::chrono::seconds(60);

} // namespace

http_client::pending http_client::start(std::uint16_t port, std::string const& method,
                                        std::string const& target, std::string const& body,
                                        runtime::http_headers const& headers)
{
    pending out{std::make_shared<http_response>(), nullptr};
    runtime::http_call_request request;
    request.address = {"127.0.0.1", port};
    request.method = method;
    request.target = target;
    request.headers = headers;
    request.body = body;
    auto const response = out.response;
    out.call = std::make_unique<runtime::http_call>(
        *loop_, std::move(request),
        runtime::http_call_hooks{[response](int status, runtime::http_headers const& received)
                                 {
                                     response->status = status;
                                     response->headers = received;
                                 },
                                 [response](std::string_view bytes) { response->body += bytes; },
                                 [response](std::optional<runtime::http_failure> const& failure)
                                 {
                                     response->failure = failure;
                                     response->done = true;
                                 }});
    return out;
}

http_response http_client::fetch(std::uint16_t port, std::string const& method,
                                 std::string const& target, std::string const& body,
                                 runtime::http_headers const& headers)
{
    auto const call = start(port, method, target, body, headers);
    run_until([&] { return call.response->done; });
    return *call.response;
}

nlohmann::json http_client::get(std::uint16_t port, std::string const& target)
{
    return fetch(port, "GET", target).content();
}

http_response http_client::post(std::uint16_t port, std::string const& target,
                                nlohmann::json const& body, runtime::http_headers const& headers)
{
    return fetch(port, "POST", target, body.dump(), headers);
}

void http_client::run_until(std::function<bool()> const& finished)
{
    bool late = false;
    auto const guard = timers_.after(give_up,
                                     [&]
                                     {
                                         late = true;
                                         loop_->stop();
                                     });
    while (!finished() && !late)
    {
        auto const poll = timers_.after(poll_interval, [this] { loop_->stop(); });
        loop_->run();
    }
    EXPECT_FALSE(late) << "the awaited state was never reached";
}

} // namespace savorymount::tests
