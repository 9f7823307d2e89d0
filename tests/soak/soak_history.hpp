#pragma once

#include <savorymount/base/time.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace savorymount::soak
{

enum class call_kind
{
    stream,
    booking
};

/// One request as its caller saw it.
struct call_record
{
    std::string id;
    call_kind kind = call_kind::stream;
    std::string key;
    /// Its prompt has the crashing part.
    bool has_crashing_part = false;
    std::size_t gateway = 0;
    base::time_point started{};
    base::time_point ended{};
    /// 0 if no head of an answer came.
    int status = 0;
    /// The answer ended as the protocol says it must.
    bool whole = false;
    /// An upstream vouched for the answer.
    bool stamped = false;
    /// The connection had carried other requests.
    bool kept_connection = false;
    std::string body;
    /// Id of the request that began the stream which this one resumes, and what had come of it.
    std::string resumes;
    std::string begun;

    bool operator==(call_record const&) const = default;
};

/// One run of a request at an upstream.
struct run_record
{
    std::string upstream;
    std::string request;
    std::uint64_t version = 0;
    base::time_point at{};

    bool operator==(run_record const&) const = default;
};

/// One order that an engine accepted.
struct order_record
{
    std::string upstream;
    std::string holder;
    std::uint64_t fence = 0;
    std::uint64_t version = 0;
    base::time_point at{};

    bool operator==(order_record const&) const = default;
};

/// A stretch in which something that nobody planned was wrong.
struct disturbance
{
    base::time_point from{};
    base::time_point to{};

    bool operator==(disturbance const&) const = default;
};

/// An engine crashed as it began to answer a request with the crashing part.
struct crash_record
{
    std::string upstream;
    std::string request;
    base::time_point at{};

    bool operator==(crash_record const&) const = default;
};

/// An upstream named a limit in each of its answers from `from` until `to`.
struct named_limit
{
    std::string upstream;
    double requests_per_second = 0;
    base::time_point from{};
    base::time_point to{};

    bool operator==(named_limit const&) const = default;
};

/// An upstream said in each of its answers from `from` on that it leaves.
struct leaving_notice
{
    std::string upstream;
    base::time_point from{};

    bool operator==(leaving_notice const&) const = default;
};

/// Planned work had taken away every upstream that runs calls of a kind, so that none took new
/// ones.
struct service_gap
{
    call_kind kind = call_kind::stream;
    base::time_point from{};
    base::time_point to{};

    bool operator==(service_gap const&) const = default;
};

/// An upstream rejected a request and wanted none for some time.
struct rejection_record
{
    std::string upstream;
    std::string request;
    base::time_point at{};

    bool operator==(rejection_record const&) const = default;
};

/// Operators named a weight version.
struct weights_named
{
    std::uint64_t version = 0;
    base::time_point at{};

    bool operator==(weights_named const&) const = default;
};

/// Operators granted or withdrew the second key.
struct key_change
{
    bool granted = true;
    base::time_point at{};

    bool operator==(key_change const&) const = default;
};

/// A process that ended although nobody ended it, or that ended badly.
struct unexpected_exit
{
    std::string process;
    int code = 0;

    bool operator==(unexpected_exit const&) const = default;
};

/// What callers, upstreams and the operators of one run saw.
struct soak_history
{
    std::vector<call_record> calls;
    std::vector<run_record> runs;
    std::vector<order_record> orders;
    std::vector<crash_record> crashes;
    std::vector<disturbance> disturbances;
    /// Stretches in which a gateway was away or suspended.
    std::vector<disturbance> gateway_outages;
    std::vector<named_limit> limits;
    std::vector<leaving_notice> leaving;
    std::vector<service_gap> service_gaps;
    std::vector<rejection_record> rejected_for_now;
    std::vector<weights_named> weights;
    std::vector<key_change> key_changes;
    std::vector<unexpected_exit> exits;
    /// Engines whose weights were older than the newest at the end, by id.
    std::vector<std::string> outdated_engines;
    base::time_point ended{};

    bool operator==(soak_history const&) const = default;
};

} // namespace savorymount::soak
