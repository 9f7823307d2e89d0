#include <savorymount/routing/engine_cache_index.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace savorymount::routing
{
namespace
{

constexpr std::size_t max_replaced_processes = 8;

} // namespace

std::vector<prefix_digest> align_to_engine_blocks(std::span<std::uint64_t const> digests,
                                                  std::span<std::uint32_t const> block_bytes,
                                                  double bytes_per_token, std::size_t block_tokens)
{
    std::vector<prefix_digest> out;
    double const engine_block_bytes = bytes_per_token * static_cast<double>(block_tokens);
    std::uint64_t bytes = 0;
    auto const count = std::min(digests.size(), block_bytes.size());
    for (std::size_t n = 0; n < count; ++n)
    {
        bytes += block_bytes[n];
        auto const blocks = static_cast<double>(bytes) / engine_block_bytes;
        out.push_back({digests[n], static_cast<std::size_t>(blocks)});
    }
    return out;
}

void engine_cache_index::track_request(std::string const& request_id, std::uint64_t seed,
                                       std::vector<prefix_digest> digests)
{
    drop_request(request_id);
    tracked_digest_count_ += digests.size();
    request_order_.push_back(request_id);
    requests_[request_id] = {seed, std::move(digests), std::prev(request_order_.end())};
    while (requests_.size() > limits_.max_requests ||
           tracked_digest_count_ > limits_.max_request_digests)
        drop_request(request_order_.front());
}

void engine_cache_index::record_cached_blocks(std::string const& request_id,
                                              std::size_t cached_blocks, base::time_point now)
{
    expire_usage_reports(now);
    auto const it = requests_.find(request_id);
    if (it == requests_.end())
        return;
    auto const expires_at = now + limits_.usage_report_lifetime;
    std::size_t previous_end = 0;
    for (auto const& digest : it->second.digests)
    {
        if (digest.complete_engine_blocks > cached_blocks ||
            usage_expiry_order_.size() >= limits_.max_blocks)
            return;
        if (digest.complete_engine_blocks ==
            std::exchange(previous_end, digest.complete_engine_blocks))
            continue;
        block_key const key{it->second.seed, digest.digest};
        usage_expiry_.insert_or_assign(key, expires_at);
        usage_expiry_order_.emplace_back(expires_at, key);
    }
}

engine_cache_index::apply_result engine_cache_index::apply(cache_event_page const& page)
{
    auto result = update_engine_process(page.process_id);
    if (result == apply_result::ignored)
        return result;
    if (!std::exchange(page_received_, true) && page.oldest_sequence > 0)
        last_sequence_ = page.oldest_sequence - 1;
    auto const clear_on_gap = [&](std::uint64_t sequence)
    {
        if (sequence <= last_sequence_ + 1)
            return;
        clear_blocks();
        result = apply_result::discarded;
    };
    clear_on_gap(page.oldest_sequence);
    for (auto const& event : page.events)
    {
        if (event.sequence <= last_sequence_)
            continue;
        clear_on_gap(event.sequence);
        if (event.kind == cache_event::change::stored)
            add_block(event);
        else
            remove_block(event.block_hash);
        last_sequence_ = event.sequence;
    }
    // Events may also be missing at the end of the page.
    clear_on_gap(page.next_sequence);
    if (page.next_sequence > 0)
        last_sequence_ = std::max(last_sequence_, page.next_sequence - 1);
    return result;
}

engine_cache_index::apply_result
engine_cache_index::update_engine_process(std::string const& process_id)
{
    if (process_id == process_id_)
        return apply_result::applied;
    if (is_replaced_process(process_id))
        return apply_result::ignored;
    bool const first = process_id_.empty();
    if (!first)
        replaced_processes_.push_back(process_id_);
    if (replaced_processes_.size() > max_replaced_processes)
        replaced_processes_.pop_front();
    process_id_ = process_id;
    if (first)
        return apply_result::applied;
    clear_blocks();
    requests_.clear();
    request_order_.clear();
    tracked_digest_count_ = 0;
    last_sequence_ = 0;
    page_received_ = false;
    return apply_result::discarded;
}

std::size_t engine_cache_index::cached_prefix_length(std::uint64_t seed,
                                                     std::span<prefix_digest const> digests,
                                                     base::time_point now) const
{
    std::size_t previous_end = 0;
    for (std::size_t n = 0; n < digests.size(); ++n)
    {
        auto const required_blocks = digests[n].complete_engine_blocks -
                                     std::exchange(previous_end, digests[n].complete_engine_blocks);
        if (required_blocks > 0 && !is_cached({seed, digests[n].digest}, required_blocks, now))
            return n;
    }
    return digests.size();
}

bool engine_cache_index::is_cached(block_key const& key, std::size_t required_blocks,
                                   base::time_point now) const
{
    auto const stored = stored_block_counts_.find(key);
    if (stored != stored_block_counts_.end() && stored->second >= required_blocks)
        return true;
    auto const reported = usage_expiry_.find(key);
    return reported != usage_expiry_.end() && now < reported->second;
}

void engine_cache_index::clear_blocks()
{
    blocks_.clear();
    block_order_.clear();
    stored_block_counts_.clear();
    usage_expiry_.clear();
    usage_expiry_order_.clear();
}

bool engine_cache_index::is_replaced_process(std::string const& process_id) const
{
    return std::find(replaced_processes_.begin(), replaced_processes_.end(), process_id) !=
           replaced_processes_.end();
}

void engine_cache_index::add_block(cache_event const& event)
{
    auto const request = requests_.find(event.request_id);
    if (request == requests_.end())
        return;
    auto const& digests = request->second.digests;
    auto const digest = std::partition_point(
        digests.begin(), digests.end(),
        [&](prefix_digest const& it) { return it.complete_engine_blocks <= event.block_index; });
    if (digest == digests.end())
        return;
    remove_block(event.block_hash);
    block_key const key{request->second.seed, digest->digest};
    auto const stored = blocks_.try_emplace(event.block_hash).first;
    block_order_.push_back(&stored->first);
    stored->second = {key, std::prev(block_order_.end())};
    ++stored_block_counts_[key];
    if (blocks_.size() > limits_.max_blocks)
        remove_block(std::string(*block_order_.front()));
}

void engine_cache_index::remove_block(std::string const& block_hash)
{
    auto const it = blocks_.find(block_hash);
    if (it == blocks_.end())
        return;
    auto const key = it->second.key;
    usage_expiry_.erase(key);
    auto const count = stored_block_counts_.find(key);
    if (--count->second == 0)
        stored_block_counts_.erase(count);
    block_order_.erase(it->second.order_position);
    blocks_.erase(it);
}

void engine_cache_index::drop_request(std::string const& request_id)
{
    auto const it = requests_.find(request_id);
    if (it == requests_.end())
        return;
    tracked_digest_count_ -= it->second.digests.size();
    request_order_.erase(it->second.order_position);
    requests_.erase(it);
}

void engine_cache_index::expire_usage_reports(base::time_point now)
{
    while (!usage_expiry_order_.empty() && usage_expiry_order_.front().first <= now)
    {
        auto const it = usage_expiry_.find(usage_expiry_order_.front().second);
        if (it != usage_expiry_.end() && it->second <= now)
            usage_expiry_.erase(it);
        usage_expiry_order_.pop_front();
    }
}

} // namespace savorymount::routing
