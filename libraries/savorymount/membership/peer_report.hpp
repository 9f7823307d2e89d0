#pragma once

#include <savorymount/base/time.hpp>
#include <savorymount/routing/upstream_table.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace savorymount::membership
{

/// An engine that loads new weights, or soon will.
struct weight_load
{
    std::string upstream;
    std::string model;
    std::uint64_t version = 0;
    base::duration remaining{};
    /// It does not load yet, but gets no new requests.
    bool draining = false;

    bool operator==(weight_load const&) const = default;
};

/// An upstream was lost while it ran a request.
struct crash_notice
{
    std::string request_digest;
    std::string upstream;

    bool operator==(crash_notice const&) const = default;
};

/// What one instance tells the others at short intervals.
struct peer_report
{
    std::string instance;
    std::string incarnation;
    /// Where the sender takes reports, as `IP:port`.
    std::string address;
    std::uint64_t sequence = 0;
    /// The process ends now and takes no more requests.
    bool leaving = false;
    /// Only loads and crashes are told; what was told before of the rest still holds.
    bool partial = false;
    /// Time since the process started, in whole milliseconds.
    std::chrono::milliseconds uptime{};
    /// Tokens admitted since the process started, by workspace.
    std::map<std::string, double> admitted_tokens;
    std::map<std::string, routing::upstream_use> upstream_use;
    /// The offset of the record by which the sender holds the duty to order weights.
    std::optional<std::uint64_t> lease_offset;
    std::vector<weight_load> weight_loads;
    std::vector<crash_notice> crashes;
    /// Digests of shared prompt parts that engines were sent to read, by engine.
    std::map<std::string, std::vector<std::uint64_t>> assigned_prefixes;

    bool operator==(peer_report const&) const = default;
};

} // namespace savorymount::membership
