#pragma once

#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <tests/stand_ins/engine/chat_request.hpp>
#include <vector>

namespace savorymount::stand_ins
{

/// A request while it waits and runs.
struct running_request
{
    chat_request request;
    std::size_t cached_blocks = 0;
    std::size_t computed_blocks = 0;
    /// Index of the next token.
    std::size_t position = 0;
};

/// What the batch asks of its engine.
struct batch_hooks
{
    /// A request got a slot; returns how many of its blocks are cached.
    std::function<std::size_t(running_request const&)> begin;
    /// Block `index` of the prompt has been computed.
    std::function<void(running_request const&, std::size_t index)> computed;
    /// Whether the request can take a token now.
    std::function<bool(running_request const&)> ready;
    /// The next token is computed; false breaks the request off.
    std::function<bool(running_request const&)> token;
    /// All tokens are computed.
    std::function<void(running_request const&)> finish;
};

/// Continuous batching: in each step one request computes one block of its prompt, and every
/// request whose prompt is computed gets one token. Slots go to the highest priority first, then
/// to the first come.
class batch
{
public:
    batch(std::size_t slots, std::size_t block_tokens, batch_hooks hooks);

    void add(chat_request request);

    /// Forgets the request; false if it is not here.
    bool cancel(std::string const& id);

    /// Starts a step: fills the slots and says whether the step computes a block.
    bool begin_step();

    /// Ends the step, after its time has passed: hands out the tokens.
    void end_step();

    bool idle() const { return waiting_.empty() && running_.empty(); }
    std::size_t running() const { return running_.size(); }
    std::size_t waiting() const { return waiting_.size(); }

private:
    void fill_slots();
    bool compute_block();
    bool emit_token(running_request& it);
    std::size_t prefill_blocks(running_request const& it) const;

    std::size_t slots_;
    std::size_t block_tokens_;
    batch_hooks hooks_;
    std::list<running_request> waiting_;
    std::list<running_request> running_;
};

} // namespace savorymount::stand_ins
