#pragma once

#include <savorymount/base/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace savorymount::bench
{

/// One level of nested prefixes.
struct level_shape
{
    /// Different prefixes below each prefix of the level above, or per workspace at the first
    /// level.
    std::size_t count = 1;
    std::size_t blocks = 1;
    /// Exponent of the Zipf distribution over them.
    double skew = 1.0;
};

/// A deployment of section 1.1 of the design page, reduced to what the decisions see.
struct deployment
{
    std::string name;
    std::size_t engines = 1;
    std::size_t entries = 4;
    std::size_t cached_blocks_per_engine = 60;
    /// Share of the traffic per workspace; sums to one.
    std::vector<double> shares;
    std::array<level_shape, 3> levels;
    std::uint64_t question_tokens = 400;
    std::uint64_t answer_tokens = 64;
    /// One way between entry and agent.
    base::duration delay = std::chrono::milliseconds(1);
};

constexpr std::uint64_t block_tokens = 2000;
constexpr std::uint64_t bytes_per_token = 4;
/// Costs of the fake engine.
constexpr base::duration prefill_per_token = std::chrono::microseconds(20);
constexpr base::duration request_overhead = std::chrono::milliseconds(5);
constexpr base::duration decode_per_token = std::chrono::milliseconds(15);

/// Offered load: prefill work without any cache over the prefill capacity of all engines.
constexpr double load_without_cache = 1.2;

/// Tokens of all blocks of one prompt.
std::uint64_t prompt_tokens(deployment const& of);

/// Requests per second of the whole deployment.
double request_rate(deployment const& of);

/// Kōwhai Replating and Coöperatie Vlotnummer Maasland.
std::vector<deployment> const& deployments();

} // namespace savorymount::bench
