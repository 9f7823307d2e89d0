#pragma once

#include <savorymount/base/error.hpp>
#include <savorymount/configuration/deployment.hpp>
#include <savorymount/gateway/append_outcome.hpp>
#include <savorymount/gateway/caller_request.hpp>
#include <savorymount/membership/upstream_record.hpp>
#include <savorymount/orders/duty_lease.hpp>
#include <savorymount/orders/weight_rollout.hpp>
#include <savorymount/runtime/http_message.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace savorymount::gateway
{

/// What following the platform's store reports. Called from the loop.
struct platform_events
{
    std::function<void(configuration::deployment)> deployment;
    std::function<void(std::string const& model, std::uint64_t version)> desired_version_changed;
    std::function<void(membership::upstream_record)> upstream_listed;
    std::function<void(std::string const& upstream)> upstream_unlisted;
    /// An entry could not be read and is left out.
    std::function<void(std::string const& key, base::error const& reason)> entry_unreadable;
    /// The store answered, or failed to.
    std::function<void()> store_answered;
    std::function<void(base::error const& reason)> store_failed;
};

/// Another instance of the gateway, as it announced itself.
struct member_record
{
    std::string instance;
    std::string incarnation;
    std::string data_centre;
    /// `IP:port` of its datagram socket.
    std::string address;

    bool operator==(member_record const&) const = default;
};

/// What the system keeps in the platform's store.
struct membership_page
{
    std::vector<member_record> members;
    std::optional<orders::logged_lease> lease;
    std::uint64_t end_offset = 0;

    bool operator==(membership_page const&) const = default;
};

/// What following a cache store reports.
struct cache_store_events
{
    std::function<void(std::string const& salt, std::string const& part)> stored;
    std::function<void(std::string const& salt, std::string const& part)> dropped;
    /// It started again and is empty, or events were lost.
    std::function<void()> emptied;
    std::function<void(bool answers)> reachable;
};

/// The users' platform as the gateway sees it. Filled in by a plug-in.
struct platform_adapter
{
    /// Starts to follow configuration, weight versions and upstreams. `list_interval` tells how
    /// long the next read of the upstreams waits.
    std::function<void(platform_events, std::function<base::duration()> upstream_poll_interval)>
        follow;

    std::function<void(std::function<void(std::optional<membership_page>)>)> read_membership;
    std::function<void(orders::lease_append const&,
                       std::function<void(append_outcome, std::uint64_t end_offset)>)>
        append_lease;
    std::function<void(member_record const&, std::function<void(append_outcome)>)>
        announce_instance;

    std::function<void(orders::weight_order const&, std::string const& holder,
                       std::function<void(orders::order_outcome)>)>
        send_order;
    std::function<void(std::string const& address,
                       std::function<void(std::optional<orders::order_report>)>)>
        read_engine_report;
    /// Follows the cache store at an address; replaces the one followed before.
    std::function<void(std::string const& address, cache_store_events)> follow_cache_store;

    std::function<std::optional<caller_request>(runtime::http_head const&, base::error& reason)>
        decode_request;
    /// The serialised head of the request to an upstream.
    std::function<std::string(caller_request const&, upstream_request const&)>
        encode_upstream_request;
    std::function<response_metadata(runtime::http_head const&)> decode_response_metadata;
    /// The header fields of an upstream's answer that go to the caller.
    std::function<runtime::http_headers(runtime::http_head const&)> response_headers;
};

} // namespace savorymount::gateway
