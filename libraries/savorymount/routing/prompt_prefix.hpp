#pragma once

#include <savorymount/base/error.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace savorymount::routing
{

/// What the digests of a prompt are chained from: prompts share a digest only within one workspace
/// and one version of the weights.
struct prefix_seed
{
    std::string workspace;
    std::string model;
    std::string adapter;
    std::string version;

    bool operator==(prefix_seed const&) const = default;
};

/// Bounds on the cost of reading one body.
struct prefix_limits
{
    /// Longest body that is read.
    std::size_t max_body_bytes = std::size_t{16} * 1024 * 1024;
    /// Deepest nesting of JSON values.
    std::size_t max_depth = 64;
    /// Most blocks that get a digest; the text after them counts only towards `text_bytes`.
    std::size_t max_blocks = 1024;
    /// Longest block; about 2,000 tokens.
    std::size_t max_block_bytes = 8000;
};

/// The leading blocks of a prompt. Each message ends a block; a longer one is cut every
/// `block_bytes` of its text.
struct prompt_prefix
{
    /// Chained digest at the end of each block.
    std::vector<std::uint64_t> digests;
    /// Length of the message text in each block, in bytes. May be zero.
    std::vector<std::uint32_t> block_bytes;
    /// Number of blocks up to the end of each message, ascending.
    std::vector<std::uint32_t> message_ends;
    /// Length of all message text, in bytes.
    std::uint64_t text_bytes = 0;
    /// Whether text beyond the limit on blocks was left without a digest.
    bool truncated = false;

    bool operator==(prompt_prefix const&) const = default;
};

/// Digests the messages of a chat-completions body. Fails with `invalid_input` on malformed JSON
/// and on a body without messages, and with `too_large` beyond a limit; the cost is linear in the
/// body.
std::optional<prompt_prefix> parse_prompt_prefix(std::string_view body, prefix_seed const& seed,
                                                 prefix_limits const& limits, base::error& reason);

/// Number of leading blocks that lie wholly within the first `tokens` tokens of the prompt, for the
/// given bytes per token. A report of cached tokens is rounded down.
std::size_t blocks_within(prompt_prefix const& prefix, std::uint64_t tokens,
                          double bytes_per_token);

} // namespace savorymount::routing
