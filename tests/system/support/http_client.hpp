#pragma once

#include <savorymount/runtime/event_loop.hpp>
#include <savorymount/runtime/http_call.hpp>
#include <savorymount/runtime/timer_service.hpp>

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace savorymount::tests
{

/// What a call received. It changes while the loop runs.
struct http_response
{
    int status = 0;
    runtime::http_headers headers;
    std::string body;
    std::optional<runtime::http_failure> failure;
    bool done = false;

    /// The body as JSON; null if it is none.
    nlohmann::json content() const { return nlohmann::json::parse(body, nullptr, false); }
};

/// Calls for tests, several at once if needed. A wait that lasts absurdly long fails the test.
class http_client
{
public:
    /// A call that runs while the client waits for anything.
    struct pending
    {
        std::shared_ptr<http_response> response;
        std::unique_ptr<runtime::http_call> call;
    };

    pending start(std::uint16_t port, std::string const& method, std::string const& target,
                  std::string const& body = "", runtime::http_headers const& headers = {});

    http_response fetch(std::uint16_t port, std::string const& method, std::string const& target,
                        std::string const& body = "", runtime::http_headers const& headers = {});

    nlohmann::json get(std::uint16_t port, std::string const& target);
    http_response post(std::uint16_t port, std::string const& target, nlohmann::json const& body,
                       runtime::http_headers const& headers = {});

    /// Runs the loop until `finished` holds; it is checked often.
    void run_until(std::function<bool()> const& finished);

private:
    std::unique_ptr<runtime::event_loop> const loop_ = std::make_unique<runtime::event_loop>();
    runtime::timer_service timers_{*loop_};
};

} // namespace savorymount::tests
