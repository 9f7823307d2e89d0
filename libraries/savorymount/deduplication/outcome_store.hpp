#pragma once

#include <savorymount/base/digest.hpp>
#include <savorymount/base/time.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace savorymount::deduplication
{

struct outcome_limits
{
    base::duration retention = std::chrono::minutes(10);
    /// Maximum number of finished outcomes.
    std::size_t max_outcomes = 20'000;
    /// Maximum sum of the sizes passed to `finish`.
    std::size_t max_bytes = std::size_t{32} * 1024 * 1024;
    /// Maximum number of request ids: running, finished, and evicted ones of which only a digest is
    /// kept (about 50 bytes each).
    std::size_t max_ids = 200'000;
};

/// The state of a request id in the store.
enum class outcome_state
{
    absent,
    running,
    finished,
    /// The request ran, but its outcome was evicted.
    unknown
};

/// Result of `begin`.
enum class begin_result
{
    started,
    running,
    finished,
    unknown,
    /// Refused as not run, because the store is full.
    overloaded
};

/// Request ids and outcomes of one agent. A started id is never started again within `retention` of
/// its end, even if its outcome is evicted: a 64-bit digest of the id is kept, and lookups return
/// `unknown` until the outcome itself would have expired. If there is no room for more ids, new
/// requests are refused instead of removing old ids. A digest collision returns `unknown` for a new
/// id and never causes a second run.
template <typename Payload>
class outcome_store
{
public:
    /// Result of `find`; `payload` is null unless the state is `finished`.
    struct lookup_result
    {
        outcome_state state = outcome_state::absent;
        Payload const* payload = nullptr;
    };

    explicit outcome_store(outcome_limits limits = {}) : limits_(limits) {}

    /// Registers `id` as running if it is absent; otherwise returns its state.
    begin_result begin(std::string const& id, base::time_point now);

    /// Stores the outcome of a running request; `bytes` is its size. Returns false if `id` is not
    /// running.
    bool finish(std::string const& id, Payload payload, std::size_t bytes, base::time_point now);

    /// Removes a running request that was refused before anything reached the upstream, so that it
    /// can be sent again. Returns false if `id` is not running.
    bool withdraw(std::string const& id);

    lookup_result find(std::string const& id, base::time_point now);

    /// Removes entries older than the retention. `begin`, `finish` and `find` do so as well.
    void remove_expired(base::time_point now);

    std::size_t running_count() const { return entries_.size() - finished_.size(); }
    std::size_t finished_count() const { return finished_.size(); }
    std::size_t evicted_count() const { return evicted_.size(); }
    std::size_t bytes() const { return bytes_; }

private:
    struct entry
    {
        bool finished = false;
        std::size_t bytes = 0;
        Payload payload{};
    };
    struct finished_id
    {
        base::time_point finished_at;
        std::string id;
    };
    struct evicted_id
    {
        base::time_point finished_at;
        std::uint64_t digest;
    };

    static std::uint64_t digest_of(std::string_view id) { return base::chain_digest(0, id); }
    finished_id remove_oldest_finished();
    void evict_excess();

    outcome_limits limits_;
    std::size_t bytes_ = 0;
    std::unordered_map<std::string, entry> entries_;
    std::deque<finished_id> finished_;
    std::unordered_multiset<std::uint64_t> evicted_;
    std::deque<evicted_id> eviction_order_;
};

template <typename Payload>
begin_result outcome_store<Payload>::begin(std::string const& id, base::time_point now)
{
    switch (find(id, now).state)
    {
    case outcome_state::running:
        return begin_result::running;
    case outcome_state::finished:
        return begin_result::finished;
    case outcome_state::unknown:
        return begin_result::unknown;
    case outcome_state::absent:
        break;
    }
    if (entries_.size() + evicted_.size() >= limits_.max_ids)
        return begin_result::overloaded;
    entries_.try_emplace(id);
    return begin_result::started;
}

template <typename Payload>
bool outcome_store<Payload>::finish(std::string const& id, Payload payload, std::size_t bytes,
                                    base::time_point now)
{
    remove_expired(now);
    auto const it = entries_.find(id);
    if (it == entries_.end() || it->second.finished)
        return false;
    it->second = entry{true, bytes, std::move(payload)};
    bytes_ += bytes;
    finished_.push_back({now, id});
    evict_excess();
    return true;
}

template <typename Payload>
bool outcome_store<Payload>::withdraw(std::string const& id)
{
    auto const it = entries_.find(id);
    if (it == entries_.end() || it->second.finished)
        return false;
    entries_.erase(it);
    return true;
}

template <typename Payload>
typename outcome_store<Payload>::lookup_result outcome_store<Payload>::find(std::string const& id,
                                                                            base::time_point now)
{
    remove_expired(now);
    auto const it = entries_.find(id);
    if (it != entries_.end() && it->second.finished)
        return {outcome_state::finished, &it->second.payload};
    if (it != entries_.end())
        return {outcome_state::running, nullptr};
    if (evicted_.contains(digest_of(id)))
        return {outcome_state::unknown, nullptr};
    return {};
}

template <typename Payload>
void outcome_store<Payload>::remove_expired(base::time_point now)
{
    while (!finished_.empty() && finished_.front().finished_at + limits_.retention <= now)
        remove_oldest_finished();
    while (!eviction_order_.empty() &&
           eviction_order_.front().finished_at + limits_.retention <= now)
    {
        evicted_.erase(evicted_.find(eviction_order_.front().digest));
        eviction_order_.pop_front();
    }
}

template <typename Payload>
typename outcome_store<Payload>::finished_id outcome_store<Payload>::remove_oldest_finished()
{
    auto oldest = std::move(finished_.front());
    finished_.pop_front();
    auto const it = entries_.find(oldest.id);
    bytes_ -= it->second.bytes;
    entries_.erase(it);
    return oldest;
}

template <typename Payload>
void outcome_store<Payload>::evict_excess()
{
    while (finished_.size() > limits_.max_outcomes || bytes_ > limits_.max_bytes)
    {
        auto const oldest = remove_oldest_finished();
        auto const digest = digest_of(oldest.id);
        evicted_.insert(digest);
        eviction_order_.push_back({oldest.finished_at, digest});
    }
}

} // namespace savorymount::deduplication
