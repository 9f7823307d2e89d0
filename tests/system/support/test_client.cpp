#include <algorithm>
#include <stdexcept>
#include <tests/system/support/test_client.hpp>
#include <utility>

namespace savorymount::tests
{
namespace
{

using namespace std::chrono_literals;

// Only ends a test that hangs; far above what a loaded machine needs.
constexpr base::duration hang_limit = 120s;

} // namespace

std::shared_ptr<caller_answer> test_client::start(runtime::network_address const& address,
                                                  std::string const& method,
                                                  std::string const& target,
                                                  runtime::http_headers headers, std::string body)
{
    auto answer = std::make_shared<caller_answer>();
    runtime::http_call_request request;
    request.address = address;
    request.method = method;
    request.target = target;
    request.headers = std::move(headers);
    if (!body.empty())
        request.headers.push_back({"content-type", "application/json"});
    request.body = std::move(body);
    runtime::http_call_hooks hooks;
    hooks.on_head = [answer](int status, runtime::http_headers const& received)
    {
        answer->status = status;
        answer->headers = received;
    };
    hooks.on_chunk = [answer](std::string_view bytes)
    {
        answer->body += bytes;
    };
    hooks.on_done = [answer](std::optional<runtime::http_failure> const& failure)
    {
        answer->done = true;
        answer->whole = !failure;
    };
    calls_.emplace_back(
        answer, std::make_unique<runtime::http_call>(loop_, std::move(request), std::move(hooks)));
    return answer;
}

caller_answer test_client::request(runtime::network_address const& address,
                                   std::string const& method, std::string const& target,
                                   runtime::http_headers headers, std::string body)
{
    auto const answer = start(address, method, target, std::move(headers), std::move(body));
    wait({answer});
    return *answer;
}

void test_client::run_until(std::function<bool()> const& finished)
{
    bool hanging = false;
    auto const guard = timers_.after(hang_limit,
                                     [this, &hanging]
                                     {
                                         hanging = true;
                                         loop_.stop();
                                     });
    auto const check = timers_.every(1ms,
                                     [this, &finished]
                                     {
                                         if (finished())
                                             loop_.stop();
                                     });
    if (!finished())
        loop_.run();
    if (hanging)
        throw std::runtime_error("the test waited too long");
    std::erase_if(calls_, [](auto const& it) { return it.first->done; });
}

void test_client::run_for(base::duration time)
{
    auto const end = timers_.after(time, [this] { loop_.stop(); });
    loop_.run();
}

void test_client::wait(std::vector<std::shared_ptr<caller_answer>> const& answers)
{
    run_until(
        [&answers] {
            return std::all_of(answers.begin(), answers.end(),
                               [](auto const& it) { return it->done; });
        });
}

void test_client::cancel(std::shared_ptr<caller_answer> const& answer)
{
    std::erase_if(calls_, [&answer](auto const& it) { return it.first == answer; });
}

} // namespace savorymount::tests
