#pragma once

#include <savorymount/runtime/http_header.hpp>

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace savorymount::stand_ins
{

/// Which weights a request needs or an engine has loaded.
struct model_name
{
    std::string model;
    std::string adapter;
    std::string version;

    bool operator==(model_name const&) const = default;

    bool operator<(model_name const& other) const
    {
        return std::tie(model, adapter, version) <
               std::tie(other.model, other.adapter, other.version);
    }
};

/// A chat completion request in the terms of the engine.
struct chat_request
{
    std::string id;
    /// An empty adapter means none; an empty version means any.
    model_name model;
    bool stream = false;
    std::int64_t priority = 0;
    std::size_t resume_from = 0;
    std::size_t answer_tokens = 0;
    std::size_t prompt_tokens = 0;
    /// Names of the whole blocks of the prompt, chained from the cache salt.
    std::vector<std::uint64_t> blocks;
    /// Four hexadecimal digits that every token of the answer repeats.
    std::string mark;

    /// Blocks to compute without a cache; the last one may be partial.
    std::size_t prefill_blocks(std::size_t block_tokens) const
    {
        return (prompt_tokens + block_tokens - 1) / block_tokens;
    }
};

/// The text of token `index` of the answer.
std::string answer_token(chat_request const& request, std::size_t index);

/// Nothing if the body is no chat completion request.
std::optional<chat_request> parse_chat_request(nlohmann::json const& body,
                                               runtime::http_headers const& headers,
                                               std::size_t block_tokens,
                                               std::size_t default_answer_tokens);

} // namespace savorymount::stand_ins
