#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <tests/stand_ins/stand_in.hpp>

namespace savorymount::stand_ins
{

/// What an upstream tells of its work.
struct upstream_hooks
{
    std::function<void(std::string const& request, std::uint64_t version)> run;
    std::function<void(std::string const& holder, std::uint64_t fence, std::uint64_t version)>
        order_accepted;
};

/// An upstream of the users' platform: a plain service, or a model engine whose answers are
/// streams of numbered events.
class fake_upstream
{
public:
    /// Listens on `port`, or on one that the kernel chooses if it is 0.
    fake_upstream(runtime::event_loop& loop, std::string id, bool model_engine,
                  std::uint16_t port = 0, upstream_hooks hooks = {});

    std::string const& id() const { return id_; }
    std::uint64_t version() const { return version_; }
    std::uint16_t port() const { return port_; }
    bool model_engine() const { return model_engine_; }

    /// Runs by request id.
    std::map<std::string, unsigned> const& executions() const { return executions_; }
    /// The next answers break off after so many events.
    void break_off_after(unsigned events) { break_off_after_ = events; }
    /// Answers every order as if another one were in progress.
    void refuse_orders(bool refuse) { refuses_orders_ = refuse; }
    /// The workspaces and salts that requests named.
    json const& seen() const { return seen_; }

private:
    struct stream;

    void handle(exchange_ptr const& exchange);
    void order(exchange_ptr const& exchange);
    void run(exchange_ptr const& exchange);
    void send_event(std::shared_ptr<stream> const& it);
    std::string header(exchange_ptr const& exchange, char const* name) const;

    runtime::timer_service timers_;
    std::string id_;
    bool model_engine_;
    upstream_hooks hooks_;
    runtime::http_server server_;
    std::uint16_t port_ = 0;
    std::uint64_t version_ = 1;
    std::uint64_t orders_ = 0;
    std::uint64_t fence_ = 0;
    unsigned break_off_after_ = 0;
    bool refuses_orders_ = false;
    std::map<std::string, unsigned> executions_;
    json seen_ = json::array();
};

} // namespace savorymount::stand_ins
