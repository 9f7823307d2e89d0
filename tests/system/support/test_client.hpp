#pragma once

#include <savorymount/runtime/event_loop.hpp>
#include <savorymount/runtime/http_call.hpp>
#include <savorymount/runtime/timer_service.hpp>

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace savorymount::tests
{

/// What a caller sees of one answer.
struct caller_answer
{
    bool done = false;
    /// Whether the answer ended as the protocol says it must.
    bool whole = false;
    int status = 0;
    runtime::http_headers headers;
    std::string body;

    nlohmann::json json() const { return nlohmann::json::parse(body, nullptr, false); }
    std::string header(std::string const& name) const
    {
        return runtime::find_header(headers, name).value_or("");
    }
};

/// A caller of the system, and of the control routes of the stand-ins.
class test_client
{
public:
    /// Starts a request; the answer fills while the loop runs.
    std::shared_ptr<caller_answer> start(runtime::network_address const& address,
                                         std::string const& method, std::string const& target,
                                         runtime::http_headers headers = {}, std::string body = {});

    /// Sends a request and waits for the answer.
    caller_answer request(runtime::network_address const& address, std::string const& method,
                          std::string const& target, runtime::http_headers headers = {},
                          std::string body = {});

    /// Runs the loop until `finished` is true. Fails the test by an exception if it takes too long.
    void run_until(std::function<bool()> const& finished);

    /// Runs the loop for this time, so that what was started is sent.
    void run_for(base::duration time);

    /// Runs the loop until all answers are done.
    void wait(std::vector<std::shared_ptr<caller_answer>> const& answers);

    /// Closes the connection of a request that was started.
    void cancel(std::shared_ptr<caller_answer> const& answer);

    runtime::event_loop& loop() { return loop_; }

private:
    runtime::event_loop loop_;
    runtime::timer_service timers_{loop_};
    std::vector<std::pair<std::shared_ptr<caller_answer>, std::unique_ptr<runtime::http_call>>>
        calls_;
};

} // namespace savorymount::tests
