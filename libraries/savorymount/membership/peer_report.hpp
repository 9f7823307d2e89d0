#pragma once

#include <savorymount/base/time.hpp>
#include <savorymount/limits/upstream_limits.hpp>
#include <savorymount/membership/store_update.hpp>
#include <savorymount/orders/leader_lease.hpp>
#include <savorymount/retries/upstream_loss.hpp>
#include <savorymount/routing/upstream_table.hpp>
#include <savorymount/streams/stream_origin.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace savorymount::membership
{

/// An engine that is loading new weights, or is drained before it loads them.
struct weight_load
{
    std::string upstream;
    std::string model;
    std::uint64_t version = 0;
    /// Time until the load or the draining is expected to end.
    base::duration remaining{};
    /// The engine gets no new requests; it starts to load when its running requests have ended.
    bool draining = false;
    /// The engine was ordered to load the version; whether it carries the order out is not known.
    bool ordered = false;

    bool operator==(weight_load const&) const = default;
};

/// A report that an upstream crashed while it ran a request.
struct crash_notice
{
    std::string request_digest;
    std::string upstream;

    bool operator==(crash_notice const&) const = default;
};

/// A request that ran on an upstream when its connection was lost.
struct loss_notice
{
    retries::upstream_loss loss;
    std::chrono::milliseconds age{};

    bool operator==(loss_notice const&) const = default;
};

/// A shared prompt part that was suspected and completed a response at the sender.
struct sound_part_notice
{
    std::uint64_t part = 0;
    std::chrono::milliseconds age{};

    bool operator==(sound_part_notice const&) const = default;
};

/// A limit that an upstream named to the sender, or its end.
struct limit_notice
{
    limits::upstream_limit_notice notice;
    std::chrono::milliseconds age{};

    bool operator==(limit_notice const&) const = default;
};

/// The record by which an instance holds the leader lease.
struct held_lease
{
    /// Era of the store; offsets are given out again in the next one.
    std::uint64_t era = orders::first_log_era;
    std::uint64_t offset = 0;

    bool operator==(held_lease const&) const = default;
};

/// The report that each instance sends to all others at short intervals.
struct peer_report
{
    std::string instance;
    std::string incarnation;
    /// `IP:port` on which the sender receives reports.
    std::string address;
    std::uint64_t sequence = 0;
    /// The process is shutting down and accepts no more requests.
    bool leaving = false;
    /// The report contains only weight loads and notices; the other values of the previous
    /// report stay valid.
    bool partial = false;
    /// Time since the process started, in whole milliseconds.
    std::chrono::milliseconds uptime{};
    /// Tokens admitted since the process started, by workspace.
    std::map<std::string, double> admitted_tokens;
    /// Requests of the sender in progress and the tokens that they may occupy, by upstream.
    std::map<std::string, routing::upstream_use> upstream_use;
    /// Set if the sender holds the leader lease.
    std::optional<held_lease> lease;
    std::vector<weight_load> weight_loads;
    std::vector<crash_notice> crashes;
    std::vector<loss_notice> losses;
    std::vector<sound_part_notice> sound_parts;
    std::vector<limit_notice> limits;
    /// Streams that began at the sender while upstreams of several software versions serve.
    std::vector<streams::stream_origin> streams;
    /// Digests of shared prompt parts in requests that were sent to an engine, by engine.
    std::map<std::string, std::vector<std::uint64_t>> assigned_prefixes;
    /// Version of the configuration in force at the sender; 0 if it has none.
    std::uint64_t configuration_version = 0;
    /// Data centre of the sender; empty if it did not tell.
    std::string data_centre;
    /// Suitability as the relay of its data centre; the highest goes first.
    std::uint32_t relay_weight = 0;
    /// Reports of other instances of the sender's data centre, which it passes on.
    std::vector<peer_report> relayed;
    /// What the sender read from the platform's store, for its data centre.
    std::vector<store_update> store_updates;

    bool operator==(peer_report const&) const = default;
};

/// Whether the values of a decoded report can come from an instance of this deployment: counts and
/// totals are finite and not negative, and times and names have a usual size. Other reports must
/// not reach the decisions, which add and compare these values.
bool is_plausible(peer_report const& report);

} // namespace savorymount::membership
