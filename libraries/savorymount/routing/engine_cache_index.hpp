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

/// A change to the engine's block cache.
struct cache_event
{
    enum class change
    {
        stored,
        evicted
    };

    std::uint64_t sequence = 0;
    change kind = change::stored;
    /// Hash by which the engine identifies the block.
    std::string block_hash;
    /// For a stored block: the request that stored it, and its index in the prompt.
    std::string request_id;
    std::size_t block_index = 0;

    bool operator==(cache_event const&) const = default;
};

/// The engine's response to one poll for cache events.
struct cache_event_page
{
    /// Identifies the engine process; changes on a restart.
    std::string process_id;
    /// Oldest sequence number that the engine retained.
    std::uint64_t oldest_sequence = 0;
    /// Sequence number at which the next poll starts.
    std::uint64_t next_sequence = 0;
    std::vector<cache_event> events;

    bool operator==(cache_event_page const&) const = default;
};

/// Digest of a prompt prefix and the number of engine blocks that the prefix covers.
struct prefix_digest
{
    std::uint64_t digest = 0;
    /// Number of engine blocks that lie completely within the prefix. Never decreases within a
    /// prompt.
    std::size_t complete_engine_blocks = 0;

    bool operator==(prefix_digest const&) const = default;
};

/// Computes how many engine blocks of `block_tokens` tokens each prefix covers. `block_bytes` has
/// the text length of each digest in bytes. `bytes_per_token` and `block_tokens` must be positive.
std::vector<prefix_digest> align_to_engine_blocks(std::span<std::uint64_t const> digests,
                                                  std::span<std::uint32_t const> block_bytes,
                                                  double bytes_per_token, std::size_t block_tokens);

struct engine_cache_index_limits
{
    /// Limit on blocks known from events, and separately on digests known only from usage reports.
    /// Each takes at most `max_bytes_per_indexed_block`.
    std::size_t max_blocks = 100'000;
    /// Requests whose digests are kept to match later events.
    std::size_t max_requests = 4'096;
    /// Total number of digests of these requests.
    std::size_t max_request_digests = 200'000;
    /// How long a block counts as cached if only a usage report says so. Engines evict within
    /// seconds, and eviction events cannot be matched to such a block.
    base::duration usage_report_lifetime = std::chrono::seconds(2);
};

/// Upper bound on the memory that one indexed block takes, for block hashes of up to 64 bytes.
inline constexpr std::size_t max_bytes_per_indexed_block = 400;

/// The agent's index of its engine's block cache: the prefix digests that the engine has cached. A
/// digest is looked up together with the seed (of workspace, model, adapter and version) that it
/// was chained from. The index is cleared when the engine's process id changes or events were lost.
class engine_cache_index
{
public:
    explicit engine_cache_index(engine_cache_index_limits limits = {}) : limits_(limits) {}

    /// Stores the digests of a request before it is sent to the engine, to match later events.
    void track_request(std::string const& request_id, std::uint64_t seed,
                       std::vector<prefix_digest> digests);

    /// Records the engine's usage report that the first `cached_blocks` engine blocks of a tracked
    /// request were cached. Ignored if the engine process changed since `track_request`.
    void record_cached_blocks(std::string const& request_id, std::size_t cached_blocks,
                              base::time_point now);

    enum class apply_result
    {
        applied,
        /// The index was cleared because of a new engine process or lost events. Events after that
        /// point were applied.
        discarded,
        /// The page arrived late from an engine process that was replaced.
        ignored
    };

    /// Applies a page of events and skips events that were already applied.
    apply_result apply(cache_event_page const& page);

    /// Records the process id from a load report, which may arrive before the next page.
    apply_result update_engine_process(std::string const& process_id);

    /// Number of leading digests of a prompt with this seed whose engine blocks are cached. A
    /// digest that covers no complete engine block counts as cached.
    std::size_t cached_prefix_length(std::uint64_t seed, std::span<prefix_digest const> digests,
                                     base::time_point now) const;

    /// The `after` parameter of the next poll for events.
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
    /// Ids of earlier processes, newest last.
    std::deque<std::string> replaced_processes_;
    std::uint64_t last_sequence_ = 0;
    /// False until the first page of the current process. Events before that page were never
    /// indexed, so a gap in front of it loses nothing.
    bool page_received_ = false;
    /// Blocks by the engine's hash; `block_order_` lists the oldest first.
    std::unordered_map<std::string, stored_block> blocks_;
    std::list<std::string const*> block_order_;
    /// Number of stored engine blocks by the shortest prefix that covers them.
    std::unordered_map<block_key, std::size_t, block_key_hash> stored_block_counts_;
    /// Expiry times of digests known only from usage reports.
    std::unordered_map<block_key, base::time_point, block_key_hash> usage_expiry_;
    std::deque<std::pair<base::time_point, block_key>> usage_expiry_order_;
    std::unordered_map<std::string, tracked_request> requests_;
    std::list<std::string> request_order_;
    std::size_t tracked_digest_count_ = 0;
};

} // namespace savorymount::routing
