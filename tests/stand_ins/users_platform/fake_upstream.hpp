#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <tests/stand_ins/stand_in.hpp>
#include <vector>

namespace savorymount::stand_ins
{

/// What an upstream tells of its work.
struct upstream_hooks
{
    std::function<void(std::string const& request, std::uint64_t version)> run;
    std::function<void(std::string const& holder, std::uint64_t fence, std::uint64_t version)>
        order_accepted;
    std::function<void(std::string const& request)> crashed;
    std::function<void(std::string const& request)> rejected_for_now;
    /// It answers again, under another id.
    std::function<void(std::string const& former_id)> restarted;
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
    /// Whether answers have neither length nor chunks and end with their connection.
    void end_answers_with_connection(bool enable) { ends_with_connection_ = enable; }
    /// So many of the next streams are closed in order inside their fourth event.
    void close_inside_event(unsigned streams) { closes_inside_event_ = streams; }
    /// The engine crashes as it begins to answer a request that names this part before its last
    /// one: it resets its connections, is away for `downtime` and comes back with another id and
    /// without its weights. An empty part ends this.
    void crash_on_part(std::string part, base::duration downtime);
    /// Answers name this limit in requests a second; an empty text ends it.
    void name_limit(std::string limit) { limit_ = std::move(limit); }
    /// Answers say that the upstream leaves, whatever the list says.
    void say_leaving() { says_leaving_ = true; }
    /// Rejects every request with 503 and this Retry-After in seconds; an empty text ends it.
    void reject_for_now(std::string retry_after) { retry_after_ = std::move(retry_after); }
    /// Events name this software version; empty for none.
    void set_software(std::string version) { software_ = std::move(version); }
    std::string const& software() const { return software_; }
    /// Starts of this upstream, the first one included.
    unsigned starts() const { return starts_; }
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
    /// Whether the request names the part that crashes this engine.
    bool crashes_on(exchange_ptr const& exchange) const;
    void crash(std::string const& request);
    void restart();
    void listen(std::uint16_t port);
    runtime::http_headers answer_headers(std::string const& request) const;
    void begin_answer(exchange_ptr const& exchange, runtime::http_headers const& headers);
    void send_event(std::shared_ptr<stream> const& it);
    std::string header(exchange_ptr const& exchange, char const* name) const;

    runtime::event_loop& loop_;
    runtime::timer_service timers_;
    std::string first_id_;
    std::string id_;
    bool model_engine_;
    upstream_hooks hooks_;
    /// Empty while the upstream is away.
    std::unique_ptr<runtime::http_server> server_;
    std::uint16_t port_ = 0;
    std::uint64_t version_ = 1;
    std::uint64_t orders_ = 0;
    std::uint64_t fence_ = 0;
    unsigned break_off_after_ = 0;
    bool refuses_orders_ = false;
    bool ends_with_connection_ = false;
    unsigned closes_inside_event_ = 0;
    std::string crash_part_;
    std::string limit_;
    bool says_leaving_ = false;
    std::string retry_after_;
    std::string software_;
    base::duration downtime_{};
    unsigned starts_ = 1;
    bool crashing_ = false;
    std::vector<std::weak_ptr<runtime::http_exchange>> running_;
    std::map<std::string, unsigned> executions_;
    json seen_ = json::array();
};

} // namespace savorymount::stand_ins
