#include "utilities/savorymountctl/platform_client.hpp"

#include <savorymount/runtime/plugin_registry.hpp>

#include <utility>

namespace savorymount::control
{
namespace
{

using namespace std::chrono_literals;

constexpr std::size_t page_size = 500;
constexpr std::size_t statuses_at_once = 64;
constexpr std::size_t max_status_bytes = std::size_t{4} << 20;
constexpr base::duration status_connect_timeout = 1s;
constexpr base::duration status_answer_timeout = 3s;

template <typename Adapter>
bool choose(Adapter& adapter, runtime::event_loop& loop, std::string const& plugin,
            std::string const& setting, std::string const& text, base::error& reason)
{
    auto const address = runtime::parse_address(setting, text, reason);
    if (!address)
        return false;
    auto made = runtime::plugin_registry<Adapter>::instance().make(plugin, loop, *address, reason);
    if (!made)
        return false;
    adapter = std::move(*made);
    return true;
}

} // namespace

platform_client::platform_client() : loop_(std::make_unique<runtime::event_loop>()), timers_(*loop_)
{
}

bool platform_client::use_log(std::string const& plugin, std::string const& address,
                              base::error& reason)
{
    return choose(log_, *loop_, plugin, "log-address", address, reason);
}

bool platform_client::use_list(std::string const& plugin, std::string const& address,
                               base::error& reason)
{
    return choose(list_, *loop_, plugin, "list-address", address, reason);
}

std::optional<runtime::log_page> platform_client::read(std::uint64_t from, base::error& reason)
{
    std::optional<runtime::log_page> out;
    log_.read(from, page_size,
              [&](std::optional<runtime::log_page> page, base::error const& fault)
              {
                  out = std::move(page);
                  reason = fault;
                  loop_->stop();
              });
    loop_->run();
    return out;
}

std::optional<std::uint64_t>
platform_client::append(std::string const& id, nlohmann::json const& body, base::error& reason)
{
    std::optional<std::uint64_t> out;
    log_.append(id, body,
                [&](std::optional<std::uint64_t> offset, base::error const& fault)
                {
                    out = offset;
                    reason = fault;
                    loop_->stop();
                });
    loop_->run();
    return out;
}

std::optional<std::vector<runtime::instance_record>> platform_client::instances(base::error& reason)
{
    std::optional<std::vector<runtime::instance_record>> out;
    list_.read(
        [&](std::optional<std::vector<runtime::instance_record>> found, base::error const& fault)
        {
            out = std::move(found);
            reason = fault;
            loop_->stop();
        });
    loop_->run();
    return out;
}

std::vector<instance_status>
platform_client::statuses(std::vector<runtime::instance_record> const& instances)
{
    std::vector<instance_status> out;
    out.reserve(instances.size());
    for (auto const& it : instances)
        out.push_back({it, std::nullopt, ""});
    std::size_t next = 0;
    std::size_t finished = 0;
    std::function<void()> start_next;
    auto const on_finished = [&]
    {
        ++finished;
        if (finished == out.size())
            loop_->stop();
        else
            start_next();
    };
    start_next = [&]
    {
        if (next < out.size())
            fetch_status(out[next++], on_finished);
    };
    for (std::size_t i = 0; i < statuses_at_once; ++i)
        start_next();
    if (!out.empty())
        loop_->run();
    return out;
}

void platform_client::wait(base::duration delay)
{
    auto const timer = timers_.after(delay, [this] { loop_->stop(); });
    loop_->run();
}

void platform_client::fetch_status(instance_status& status, std::function<void()> done)
{
    base::error reason;
    auto const address =
        runtime::parse_address("status_address", status.instance.status_address, reason);
    if (!address)
    {
        status.reason = "the list names no status address";
        loop_->defer(std::move(done));
        return;
    }
    runtime::http_call_request request;
    request.address = *address;
    request.method = "GET";
    request.target = "/status";
    request.connect_timeout = status_connect_timeout;
    request.idle_timeout = status_answer_timeout;
    runtime::http_fetch(
        *loop_, std::move(request), max_status_bytes,
        [&status, done = std::move(done)](std::optional<runtime::http_answer> const& answer,
                                          std::optional<runtime::http_failure> const& failure)
        {
            auto parsed =
                answer ? nlohmann::json::parse(answer->body, nullptr, false) : nlohmann::json();
            if (failure)
                status.reason = failure->reason.message;
            else if (answer->status != 200 || !parsed.is_object())
                status.reason = "answered with status " + std::to_string(answer->status);
            else
                status.answer = std::move(parsed);
            done();
        });
}

} // namespace savorymount::control
