#pragma once

#include <savorymount/base/time.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace savorymount::routing
{

/// One change of the engine's block cache.
struct cache_event
{
    enum class change
    {
        stored,
        evicted
    };

    std::uint64_t sequence = 0;
    change kind = change::stored;
    /// The engine's own hash of the block.
    std::string block;
    /// The request that stored the block, and the index of the block in its prompt.
    std::string request;
    std::size_t index = 0;

    bool operator==(cache_event const&) const = default;
};

/// One answer of the engine to a question for cache events.
struct cache_event_page
{
    /// Process id string of the engine.
    std::string engine;
    /// Oldest sequence number that the engine still had.
    std::uint64_t first = 0;
    /// Sequence number to ask for next.
    std::uint64_t next = 0;
    std::vector<cache_event> events;

    bool operator==(cache_event_page const&) const = default;
};

/// One digest of a prompt, in relation to the engine's own cut of that prompt.
struct indexed_digest
{
    std::uint64_t digest = 0;
    /// Number of the engine's blocks that lie wholly before the end of the digest's text. Never
    /// decreases within a prompt.
    std::size_t end_block = 0;

    bool operator==(indexed_digest const&) const = default;
};

/// Relates digests over text of the given lengths (in bytes, one per digest) to the engine's
/// blocks of `block_tokens` tokens. `bytes_per_token` and `block_tokens` must be positive.
std::vector<indexed_digest> index_digests(std::span<std::uint64_t const> digests,
                                          std::span<std::uint32_t const> block_bytes,
                                          double bytes_per_token, std::size_t block_tokens);

struct engine_cache_index_limits
{
    /// Blocks known from events, and as many digests known from usage only. At most
    /// `engine_cache_block_bytes` each.
    std::size_t blocks = 100'000;
    /// Requests whose digests are kept for events that are still to come.
    std::size_t requests = 4'096;
    /// Digests over all of these requests.
    std::size_t request_digests = 200'000;
    /// How long a block counts as cached on the word of a completed request alone. Engines evict
    /// within seconds, and no event can be matched to such a block.
    base::duration usage_lifetime = std::chrono::seconds(2);
};

/// Upper bound of the memory that one block takes, for block hashes of up to 64 bytes.
inline constexpr std::size_t engine_cache_block_bytes = 400;

/// The agent's index of its engine's block cache: which digests the engine holds now. Digests count
/// only together with the seed (of workspace, model, adapter and version) that they were chained
/// from. Everything is dropped when the engine's process id changes or events were lost.
class engine_cache_index
{
public:
    explicit engine_cache_index(engine_cache_index_limits limits = {}) : limits_(limits) {}

    /// Remembers the digests of a request that is about to be sent to the engine.
    void note_request(std::string const& request, std::uint64_t seed,
                      std::vector<indexed_digest> digests);

    /// Takes the engine's report that the leading `cached_blocks` of its blocks of a noted request
    /// were in its cache. Ignored if the engine's process has changed since the request was noted.
    void complete_request(std::string const& request, std::size_t cached_blocks,
                          base::time_point now);

    enum class apply_result
    {
        applied,
        /// The index was dropped: a new engine process, or lost events. Later events were applied.
        discarded,
        /// The page came late from an engine process that was replaced.
        ignored
    };

    /// Applies a page of events. Events that were applied before are skipped.
    apply_result apply(cache_event_page const& page);

    /// Takes the process id string from a load report, which may come before the next page.
    apply_result note_engine(std::string const& engine);

    /// Number of leading digests of a prompt with that seed whose blocks the engine holds. Digests
    /// that end within the engine's first block need none.
    std::size_t held(std::uint64_t seed, std::span<indexed_digest const> digests,
                     base::time_point now) const;

    /// The `after` of the next question for events.
    std::uint64_t last_sequence() const { return last_sequence_; }

    /// Blocks known from events.
    std::size_t size() const { return blocks_.size(); }

private:
    struct block_key
    {
        std::uint64_t seed = 0;
        std::uint64_t digest = 0;

        bool operator==(block_key const&) const = default;
    };
    struct key_hash
    {
        std::size_t operator()(block_key const& it) const
        {
            return static_cast<std::size_t>(it.digest ^ (it.seed << 1));
        }
    };
    struct noted_request
    {
        std::uint64_t seed = 0;
        std::vector<indexed_digest> digests;
        std::list<std::string>::iterator order;
    };
    struct stored_block
    {
        block_key key;
        std::list<std::string const*>::iterator order;
    };

    void discard();
    bool is_retired(std::string const& engine) const;
    void store(cache_event const& event);
    void remove(std::string const& block);
    bool holds(block_key const& key, std::size_t needed, base::time_point now) const;
    void forget_request(std::string const& request);
    void expire_usage(base::time_point now);

    engine_cache_index_limits limits_;
    std::string engine_;
    /// Process ids that were replaced, newest last.
    std::deque<std::string> retired_engines_;
    std::uint64_t last_sequence_ = 0;
    /// False until the first page of the current process: what came before it was never indexed.
    bool any_page_ = false;
    /// Blocks by the engine's hash, oldest first in `block_order_`.
    std::unordered_map<std::string, stored_block> blocks_;
    std::list<std::string const*> block_order_;
    /// Number of the engine's blocks per digest that covers them first.
    std::unordered_map<block_key, std::size_t, key_hash> held_;
    /// Digests known from usage only, until when.
    std::unordered_map<block_key, base::time_point, key_hash> reported_;
    std::deque<std::pair<base::time_point, block_key>> reported_order_;
    std::unordered_map<std::string, noted_request> requests_;
    std::list<std::string> request_order_;
    std::size_t request_digests_ = 0;
};

} // namespace savorymount::routing
