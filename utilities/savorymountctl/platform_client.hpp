#pragma once

#include <savorymount/base/error.hpp>
#include <savorymount/runtime/event_loop.hpp>
#include <savorymount/runtime/http_fetch.hpp>
#include <savorymount/runtime/instance_list.hpp>
#include <savorymount/runtime/platform_log.hpp>
#include <savorymount/runtime/timer_service.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace savorymount::control
{

/// What an instance's status address answered.
struct instance_status
{
    runtime::instance_record instance;
    /// The `/status` answer; nothing if the instance did not answer.
    std::optional<nlohmann::json> answer;
    /// Why there is no answer.
    std::string reason;
};

/// Calls the platform and the instances, one step after the other: each method runs the event loop
/// until its answer has arrived.
class platform_client
{
public:
    platform_client();

    /// Chooses the plug-in and the address. Fails with `invalid_input`.
    bool use_log(std::string const& plugin, std::string const& address, base::error& reason);
    bool use_list(std::string const& plugin, std::string const& address, base::error& reason);

    /// Fails with the kinds of `platform_log`.
    std::optional<runtime::log_page> read(std::uint64_t from, base::error& reason);
    std::optional<std::uint64_t> append(std::string const& id, nlohmann::json const& body,
                                        base::error& reason);

    /// Fails with `unavailable`.
    std::optional<std::vector<runtime::instance_record>> instances(base::error& reason);

    /// Asks the instances at the same time, up to a bound.
    std::vector<instance_status> statuses(std::vector<runtime::instance_record> const& instances);

    void wait(base::duration delay);

    runtime::event_loop& loop() { return *loop_; }

    std::int64_t unix_milliseconds() const { return loop_->unix_milliseconds(); }

private:
    void fetch_status(instance_status& status, std::function<void()> done);

    std::unique_ptr<runtime::event_loop> loop_;
    runtime::timer_service timers_;
    runtime::platform_log log_;
    runtime::instance_list list_;
};

} // namespace savorymount::control
