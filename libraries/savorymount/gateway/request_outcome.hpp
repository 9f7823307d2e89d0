#pragma once

#include <savorymount/base/error.hpp>
#include <savorymount/base/time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace savorymount::gateway
{

/// How a caller's request ended.
enum class request_end
{
    /// The upstream's response was delivered, whatever its status.
    answered,
    /// The gateway sent an error response; the request was not executed.
    refused,
    /// The gateway sent an error response or aborted the stream; the request may have been
    /// executed.
    failed,
    /// The caller closed the connection before the end of the response.
    abandoned
};

std::string_view to_string(request_end end);

/// An attempt that was followed by a retry.
struct failed_attempt
{
    std::string upstream;
    std::string reason;
    base::duration time_since_arrival{};

    bool operator==(failed_attempt const&) const = default;
};

/// An attempt whose upstream's connection was lost while it executed the request.
struct lost_attempt
{
    std::string upstream;
    /// Whether a part of the response had arrived.
    bool response_started = false;
    base::duration time_since_arrival{};

    bool operator==(lost_attempt const&) const = default;
};

/// The outcome of one request, for the log and the metrics.
struct request_outcome
{
    std::string id;
    std::string route;
    std::string workspace;
    std::string service;
    std::string upstream;
    request_end end = request_end::answered;
    int status = 0;
    /// Why it was refused or failed; empty on success.
    std::string reason;
    /// Set if the request was refused.
    std::optional<base::error_kind> refusal_kind;
    std::uint32_t attempts = 0;
    std::vector<failed_attempt> failed_attempts;
    std::vector<lost_attempt> lost_attempts;
    /// Key of the request in the crash quarantine, and the ids of the prompt parts that it may
    /// share with other requests. Set if an attempt was lost.
    std::string request_digest;
    std::vector<std::string> shared_parts;
    std::uint64_t configuration_version = 0;
    std::uint64_t weight_version = 0;
    /// Software version of the upstream, and the request whose stream this one resumes.
    std::string software_version;
    std::string resumes;
    /// From what the version that began that stream was concluded; empty if it resumes none.
    std::string origin_source;
    /// Age of the list of upstreams then; negative if it was never read.
    base::duration upstreams_age{};
    /// How long that version had been superseded when the upstream was chosen, as far as this
    /// instance knew.
    base::duration weights_superseded_for{};
    /// Time since the platform's store last responded; negative if it never did.
    base::duration store_age{};
    /// Time for which the request waited at the gateway for room.
    base::duration admission_wait{};
    /// Time from the arrival to the choice of the last upstream.
    base::duration time_to_last_attempt{};
    base::duration time_to_first_byte{};
    base::duration total_time{};
    /// Expected wait at the upstream when it was chosen.
    base::duration expected_wait{};
    /// Running and queued requests at the upstream when it was chosen.
    double upstream_requests = 0;
    /// Prompt tokens of the last attempt, and how many of them were not cached at the engine.
    double prompt_tokens = 0;
    double uncached_prompt_tokens = 0;
    /// Tokens that a rate-limited request needed, and the level of the bucket at that time.
    double requested_tokens = 0;
    double bucket_level = 0;

    bool operator==(request_outcome const&) const = default;
};

} // namespace savorymount::gateway
