#pragma once

#include <savorymount/base/error.hpp>
#include <savorymount/configuration/deployment.hpp>
#include <savorymount/gateway/append_outcome.hpp>
#include <savorymount/gateway/caller_request.hpp>
#include <savorymount/membership/store_update.hpp>
#include <savorymount/membership/upstream_record.hpp>
#include <savorymount/orders/leader_lease.hpp>
#include <savorymount/orders/stored_versions.hpp>
#include <savorymount/orders/weight_rollout.hpp>
#include <savorymount/runtime/http_message.hpp>
#include <savorymount/streams/stream_origin.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace savorymount::gateway
{

/// A read of the platform's store that failed.
struct store_failure
{
    std::string topic;
    base::error reason;
    /// Time from sending the read to its failure.
    base::duration waited{};
    /// Failed reads of the topic in a row, with this one.
    std::uint32_t failures = 0;

    bool operator==(store_failure const&) const = default;
};

/// Callbacks for changes in the platform's store. They run on the event loop.
struct platform_events
{
    std::function<void(configuration::deployment)> deployment_changed;
    /// Operators published a weight version, not before `not_before`; empty if that is unknown.
    std::function<void(std::string const& model, std::uint64_t version,
                       std::optional<base::time_point> not_before)>
        desired_version_changed;
    std::function<void(membership::upstream_record)> upstream_listed;
    /// `unreadable_at` is set if the entry went in an outage, and is the last time at which the
    /// list was found to be unreadable.
    std::function<void(std::string const& upstream, std::optional<base::time_point> unreadable_at)>
        upstream_unlisted;
    /// An entry could not be parsed and is ignored.
    std::function<void(std::string const& key, base::error const& reason)> entry_invalid;
    /// Every change of the configuration before `complete_until` was reported.
    std::function<void(base::time_point complete_until)> configuration_read;
    /// Every change of the list of upstreams before `complete_until` was reported.
    std::function<void(base::time_point complete_until)> upstreams_read;
    /// A read of the list of upstreams that was sent at that time failed.
    std::function<void(base::time_point sent_at)> upstreams_unreadable;
    /// A read of the store succeeded or failed.
    std::function<void()> store_responded;
    std::function<void(store_failure const&)> store_failed;
    /// The store came back from an older copy: what was written there since is gone. `era` counts
    /// how often that has happened.
    std::function<void(std::uint64_t era)> store_restored;
    /// A read of a topic succeeded; for the other instances of the data centre.
    std::function<void(membership::store_update)> store_read;
};

/// How an instance follows the platform's store.
struct store_follow_options
{
    /// Delay before the next read of the upstreams.
    std::function<base::duration()> upstream_poll_interval;
    /// Whether this instance reads the store itself although updates of another one arrive.
    std::function<bool()> reads_store;
};

/// The announcement of a gateway instance in the platform's store.
struct member_record
{
    std::string instance;
    std::string incarnation;
    std::string data_centre;
    /// `IP:port` of its UDP socket for peer reports.
    std::string address;

    bool operator==(member_record const&) const = default;
};

/// The announced instances and the leader lease, as stored in the platform's store.
struct membership_page
{
    std::vector<member_record> members;
    std::optional<orders::lease_log_entry> lease;
    /// The newest weight version of each model that an instance recorded.
    std::map<std::string, std::uint64_t> weights;
    std::uint64_t end_offset = 0;
    /// Era of the store.
    std::uint64_t era = orders::first_log_era;

    bool operator==(membership_page const&) const = default;
};

/// Callbacks for changes in the cache store.
struct cache_store_events
{
    std::function<void(std::string const& salt, std::string const& part)> part_stored;
    std::function<void(std::string const& salt, std::string const& part)> part_evicted;
    /// The store restarted empty, or events were lost.
    std::function<void()> cleared;
    std::function<void(bool reachable)> reachability_changed;
};

/// The interface of the gateway to the users' platform. A plug-in sets the functions.
struct platform_adapter
{
    /// Reports the configuration, the weight versions and the upstreams, and every later change.
    std::function<void(platform_events, store_follow_options)> follow;
    /// Reads the list of upstreams now, whatever the interval of its reads.
    std::function<void()> read_upstreams;
    /// Applies what another instance read; its message arrived not before `arrived_at`. Nothing is
    /// read while such updates arrive, unless `reads_store` holds.
    std::function<void(membership::store_update const&, base::time_point arrived_at)>
        apply_store_update;

    std::function<void(std::function<void(std::optional<membership_page>)>)> read_membership;
    std::function<void(orders::conditional_lease_append const&,
                       std::function<void(append_outcome, std::uint64_t end_offset)>)>
        append_lease;
    std::function<void(member_record const&, std::function<void(append_outcome)>)>
        announce_instance;
    /// Records a weight version beside the lease, if that topic still ends at `expected_end`. A
    /// late write can't replace a newer version.
    std::function<void(orders::version_record const&, std::uint64_t expected_end,
                       std::function<void(append_outcome, std::uint64_t end_offset)>)>
        append_version;

    /// Which software versions began the streams that may still run, as all instances recorded it:
    /// everything at the first call, what was recorded since at later ones. Empty if the store does
    /// not answer.
    std::function<void(std::string const& instance,
                       std::function<void(std::optional<streams::stored_origins>)>)>
        read_streams;
    std::function<void(std::string const& instance, streams::origin_record const&,
                       std::function<void(append_outcome)>)>
        write_stream_origins;
    std::function<void(std::string const& instance, std::vector<streams::service_version> const&,
                       std::function<void(append_outcome)>)>
        write_stream_versions;

    /// `may_send` tells at the moment of sending whether this instance is still the leader. The
    /// reason says why there is no answer.
    std::function<void(orders::weight_order const&, std::string const& leader,
                       std::function<bool()> may_send,
                       std::function<void(orders::order_outcome, base::error const& reason)>)>
        send_order;
    std::function<void(
        std::string const& address,
        std::function<void(std::optional<orders::order_report>, base::error const& reason)>)>
        read_engine_report;
    /// Follows the cache store at an address instead of the previous one.
    std::function<void(std::string const& address, cache_store_events)> follow_cache_store;

    std::function<std::optional<caller_request>(runtime::http_head const&, base::error& reason)>
        decode_request;
    /// Serializes the head of the request to an upstream.
    std::function<std::string(caller_request const&, upstream_request const&)>
        encode_upstream_request;
    std::function<response_metadata(runtime::http_head const&)> decode_response_metadata;
    /// The header fields of an upstream's response that are forwarded to the caller.
    std::function<runtime::http_headers(runtime::http_head const&)> response_headers;
};

} // namespace savorymount::gateway
