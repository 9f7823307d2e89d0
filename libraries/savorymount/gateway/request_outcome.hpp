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
    /// The upstream's answer was delivered, whatever its status.
    answered,
    /// Answered by the gateway; the request did not run.
    refused,
    /// Answered by the gateway, or cut off; the request may have run.
    failed,
    /// The caller left before the answer.
    abandoned
};

std::string_view to_string(request_end end);

/// A send after which the request went to another upstream.
struct failed_attempt
{
    std::string upstream;
    std::string reason;
    /// From the request's arrival.
    base::duration time_since_arrival{};

    bool operator==(failed_attempt const&) const = default;
};

/// What one request came to, for the log and the metrics.
struct request_outcome
{
    std::string id;
    std::string route;
    std::string workspace;
    std::string service;
    std::string upstream;
    request_end end = request_end::answered;
    int status = 0;
    /// Why it was refused or failed; empty for an answer.
    std::string reason;
    /// Kind of the reason of a refusal.
    std::optional<base::error_kind> refusal_kind;
    std::uint32_t attempts = 0;
    std::vector<failed_attempt> failed_attempts;
    std::uint64_t configuration_version = 0;
    std::uint64_t weight_version = 0;
    /// Age of the newest answer of the platform's store; negative when there was none.
    base::duration store_age{};
    base::duration time_to_first_byte{};
    base::duration total_time{};
    /// Expected wait that decided the placement.
    base::duration expected_wait{};
    /// Requests that ran or waited at the upstream when it was chosen.
    double upstream_requests = 0;
    /// Prompt tokens of the last send, and how many of them the engine has to read.
    double prompt_tokens = 0;
    double uncached_prompt_tokens = 0;
    /// Tokens that a request above its workspace's rate asked for, and the bucket's level then.
    double requested_tokens = 0;
    double bucket_level = 0;

    bool operator==(request_outcome const&) const = default;
};

} // namespace savorymount::gateway
