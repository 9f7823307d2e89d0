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
    std::string block_hash;
    /// The request that stored the block, and the index of the block in its prompt.
    std::string request_id;
    std::size_t block_index = 0;

    bool operator==(cache_event const&) const = default;
};

/// One answer of the engine to a question for cache events.
struct cache_event_page
{
    /// Process id string of the engine.
    std::string process_id;
    /// Oldest sequence number that the engine still had.
    std::uint64_t oldest_sequence = 0;
    /// Sequence number to ask for next.
    std::uint64_t next_sequence = 0;
    std::vector<cache_event> events;

    bool operator==(cache_event_page const&) const = default;
};

/// One digest of a prompt, in relation to the engine's own cut of that prompt.
struct prefix_digest
{
    std::uint64_t digest = 0;
    /// Number of the engine's blocks that lie wholly before the end of the digest's text. Never
    /// decreases within a prompt.
    std::size_t complete_engine_blocks = 0;

    bool operator==(prefix_digest const&) const = default;
};

/// Relates digests over text of the given lengths (in bytes, one per digest) to the engine's
/// blocks of `block_tokens` tokens. `bytes_per_token` and `block_tokens` must be positive.
std::vector<prefix_digest> align_to_engine_blocks(std::span<std::uint64_t const> digests,
                                                  std::span<std::uint32_t const> block_bytes,
                                                  double bytes_per_token, std::size_t block_tokens);

struct engine_cache_index_limits
{
    /// Blocks known from events, and as many digests known from usage only. At most
    /// `max_bytes_per_indexed_block` each.
    std::size_t max_blocks = 100'000;
    /// Requests whose digests are kept for events that are still to come.
    std::size_t max_requests = 4'096;
    /// Digests over all of these requests.
    std::size_t max_request_digests = 200'000;
    /// How long a block counts as cached on the word of a completed request alone. Engines evict
    /// within seconds, and no event can be matched to such a block.
    base::duration usage_lifetime = std::chrono::seconds(2);
};

/// Upper bound of the memory that one block takes, for block hashes of up to 64 bytes.
inline constexpr std::size_t max_bytes_per_indexed_block = 400;

/// The agent's index of its engine's block cache: which digests the engine holds now. Digests count
/// only together with the seed (of workspace, model, adapter and version) that they were chained
/// from. Everything is dropped when the engine's process id changes or events were lost.
class engine_cache_index
{
public:
    explicit engine_cache_index(engine_cache_index_limits limits = {}) : limits_(limits) {}

    /// Remembers the digests of a request that is about to be sent to the engine.
    void track_request(std::string const& request_id, std::uint64_t seed,
                       std::vector<prefix_digest> digests);

    /// Takes the engine's report that the leading `cached_blocks` of its blocks of a noted request
    /// were in its cache. Ignored if the engine's process has changed since the request was noted.
    void record_cached_blocks(std::string const& request_id, std::size_t cached_blocks,
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
    apply_result update_engine_process(std::string const& process_id);

    /// Number of leading digests of a prompt with that seed whose blocks the engine holds. Digests
    /// that end within the engine's first block need none.
    std::size_t cached_prefix_length(std::uint64_t seed, std::span<prefix_digest const> digests,
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
    struct block_key_hash
    {
        std::size_t operator()(block_key const& it) const
        {
            return static_cast<std::size_t>(it.digest ^ (it.seed << 1));
        }
    };
    struct tracked_request
    {
        std::uint64_t seed = 0;
        std::vector<prefix_digest> digests;
        std::list<std::string>::iterator order_position;
    };
    struct stored_block
    {
        block_key key;
        std::list<std::string const*>::iterator order_position;
    };

    void clear_blocks();
    bool is_replaced_process(std::string const& process_id) const;
    void add_block(cache_event const& event);
    void remove_block(std::string const& block_hash);
    bool is_cached(block_key const& key, std::size_t required_blocks, base::time_point now) const;
    void drop_request(std::string const& request_id);
    void expire_usage_reports(base::time_point now);

    engine_cache_index_limits limits_;
    std::string process_id_;
    /// Process ids that were replaced, newest last.
    std::deque<std::string> replaced_processes_;
    std::uint64_t last_sequence_ = 0;
    /// False until the first page of the current process: what came before it was never indexed.
    bool page_received_ = false;
    /// Blocks by the engine's hash, oldest first in `block_order_`.
    std::unordered_map<std::string, stored_block> blocks_;
    std::list<std::string const*> block_order_;
    /// Number of the engine's blocks per digest that covers them first.
    std::unordered_map<block_key, std::size_t, block_key_hash> stored_block_counts_;
    /// Digests known from usage only, until when.
    std::unordered_map<block_key, base::time_point, block_key_hash> usage_expiry_;
    std::deque<std::pair<base::time_point, block_key>> usage_expiry_order_;
    std::unordered_map<std::string, tracked_request> requests_;
    std::list<std::string> request_order_;
    std::size_t tracked_digest_count_ = 0;
};

} // namespace savorymount::routing
