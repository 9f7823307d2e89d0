#pragma once

#include <savorymount/configuration/configuration_log.hpp>
#include <savorymount/configuration/key_table.hpp>
#include <savorymount/configuration/snapshot_policy.hpp>
#include <savorymount/runtime/list_follower.hpp>
#include <savorymount/runtime/log_follower.hpp>
#include <savorymount/runtime/timer_service.hpp>
#include <savorymount/wire/savorymount.capnp.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace savorymount::runtime
{

/// Keeps the configuration in force at this instance: follows the log, fetches newer versions from
/// peers, and appends snapshots when it is this instance's turn.
class configuration_service
{
public:
    using change_hook = std::function<void(configuration::configuration const&)>;

    configuration_service(event_loop& loop, timer_service& timers, log_follower& log,
                          list_follower& list, std::string instance, base::duration retention);

    /// Called with each newer configuration.
    void on_change(change_hook hook) { hooks_.push_back(std::move(hook)); }

    /// Whether any configuration is held, so that requests can be served.
    bool ready() const { return fold_.ready() && fold_.version() > 0; }

    std::uint64_t version() const { return fold_.version(); }
    configuration::configuration const& current() const { return *fold_.current(); }
    configuration::key_table const& keys() const { return keys_; }

    /// The documents in force as canonical text, for peers.
    std::string const& serialized();

    /// Fetches the configuration from `peer` if the peer's version is newer than the one held.
    void observe(std::uint64_t peer_version, wire::Peer::Client peer);

private:
    void handle_record(log_record const& record);
    void adopt(std::uint64_t version, std::string_view text);
    void consider_snapshot();

    event_loop& loop_;
    timer_service& timers_;
    log_follower& log_;
    list_follower& list_;
    std::string instance_;
    configuration::configuration_log fold_;
    configuration::key_table keys_;
    configuration::snapshot_policy snapshots_;
    std::vector<change_hook> hooks_;
    std::string serialized_;
    std::uint64_t serialized_version_ = 0;
    bool fetching_ = false;
    bool appending_ = false;
};

} // namespace savorymount::runtime
