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

/// Initial values of the digest chain: prompts share a digest only within one workspace and one
/// version of the weights.
struct prefix_seed
{
    std::string workspace;
    std::string model;
    std::string adapter;
    std::string version;

    bool operator==(prefix_seed const&) const = default;
};

/// Limits on the cost of parsing one request body.
struct prefix_limits
{
    std::size_t max_body_bytes = std::size_t{16} * 1024 * 1024;
    /// Maximum nesting depth of JSON values.
    std::size_t max_depth = 64;
    /// Maximum number of blocks that get a digest; later text counts only towards `text_bytes`.
    std::size_t max_blocks = 1024;
    /// Maximum length of the text of a block; about 2,000 tokens.
    std::size_t max_block_bytes = 8000;
};

/// The leading blocks of a prompt. The end of a message also ends a block; a longer message is
/// split every `max_block_bytes` of its text.
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
    /// Whether the prompt has text after the last block with a digest.
    bool truncated = false;

    bool operator==(prompt_prefix const&) const = default;
};

/// Computes the digests of the messages of a chat-completions body. Fails with `invalid_input` on
/// malformed JSON and on a body without messages, and with `too_large` if a limit is exceeded. The
/// cost is linear in the size of the body.
std::optional<prompt_prefix> parse_prompt_prefix(std::string_view body, prefix_seed const& seed,
                                                 prefix_limits const& limits, base::error& reason);

/// Number of leading blocks that lie completely within the first `tokens` tokens of the prompt, at
/// the given number of bytes per token. A partial block is not counted.
std::size_t blocks_within(prompt_prefix const& prefix, std::uint64_t tokens,
                          double bytes_per_token);

} // namespace savorymount::routing
