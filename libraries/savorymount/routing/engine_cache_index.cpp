#include <savorymount/routing/engine_cache_index.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace savorymount::routing
{
namespace
{

constexpr std::size_t retired_engines_kept = 8;

} // namespace

std::vector<indexed_digest> index_digests(std::span<std::uint64_t const> digests,
                                          std::span<std::uint32_t const> block_bytes,
                                          double bytes_per_token, std::size_t block_tokens)
{
    std::vector<indexed_digest> out;
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

void engine_cache_index::note_request(std::string const& request, std::uint64_t seed,
                                      std::vector<indexed_digest> digests)
{
    forget_request(request);
    request_digests_ += digests.size();
    request_order_.push_back(request);
    requests_[request] = {seed, std::move(digests), std::prev(request_order_.end())};
    while (requests_.size() > limits_.requests || request_digests_ > limits_.request_digests)
        forget_request(request_order_.front());
}

void engine_cache_index::complete_request(std::string const& request, std::size_t cached_blocks,
                                          base::time_point now)
{
    expire_usage(now);
    auto const it = requests_.find(request);
    if (it == requests_.end())
        return;
    auto const until = now + limits_.usage_lifetime;
    std::size_t previous_end = 0;
    for (auto const& digest : it->second.digests)
    {
        if (digest.end_block > cached_blocks || reported_order_.size() >= limits_.blocks)
            return;
        if (digest.end_block == std::exchange(previous_end, digest.end_block))
            continue;
        block_key const key{it->second.seed, digest.digest};
        reported_.insert_or_assign(key, until);
        reported_order_.emplace_back(until, key);
    }
}

engine_cache_index::apply_result engine_cache_index::apply(cache_event_page const& page)
{
    auto result = note_engine(page.engine);
    if (result == apply_result::ignored)
        return result;
    if (!std::exchange(any_page_, true) && page.first > 0)
        last_sequence_ = page.first - 1;
    auto const expect = [&](std::uint64_t sequence)
    {
        if (sequence <= last_sequence_ + 1)
            return;
        discard();
        result = apply_result::discarded;
    };
    expect(page.first);
    for (auto const& event : page.events)
    {
        if (event.sequence <= last_sequence_)
            continue;
        expect(event.sequence);
        if (event.kind == cache_event::change::stored)
            store(event);
        else
            remove(event.block);
        last_sequence_ = event.sequence;
    }
    // Events may be missing at the end of the page as well.
    expect(page.next);
    if (page.next > 0)
        last_sequence_ = std::max(last_sequence_, page.next - 1);
    return result;
}

engine_cache_index::apply_result engine_cache_index::note_engine(std::string const& engine)
{
    if (engine == engine_)
        return apply_result::applied;
    if (is_retired(engine))
        return apply_result::ignored;
    bool const first = engine_.empty();
    if (!first)
        retired_engines_.push_back(engine_);
    if (retired_engines_.size() > retired_engines_kept)
        retired_engines_.pop_front();
    engine_ = engine;
    if (first)
        return apply_result::applied;
    discard();
    requests_.clear();
    request_order_.clear();
    request_digests_ = 0;
    last_sequence_ = 0;
    any_page_ = false;
    return apply_result::discarded;
}

std::size_t engine_cache_index::held(std::uint64_t seed, std::span<indexed_digest const> digests,
                                     base::time_point now) const
{
    std::size_t previous_end = 0;
    for (std::size_t n = 0; n < digests.size(); ++n)
    {
        auto const needed =
            digests[n].end_block - std::exchange(previous_end, digests[n].end_block);
        if (needed > 0 && !holds({seed, digests[n].digest}, needed, now))
            return n;
    }
    return digests.size();
}

bool engine_cache_index::holds(block_key const& key, std::size_t needed, base::time_point now) const
{
    auto const stored = held_.find(key);
    if (stored != held_.end() && stored->second >= needed)
        return true;
    auto const reported = reported_.find(key);
    return reported != reported_.end() && now < reported->second;
}

void engine_cache_index::discard()
{
    blocks_.clear();
    block_order_.clear();
    held_.clear();
    reported_.clear();
    reported_order_.clear();
}

bool engine_cache_index::is_retired(std::string const& engine) const
{
    return std::find(retired_engines_.begin(), retired_engines_.end(), engine) !=
           retired_engines_.end();
}

void engine_cache_index::store(cache_event const& event)
{
    auto const request = requests_.find(event.request);
    if (request == requests_.end())
        return;
    auto const& digests = request->second.digests;
    auto const digest =
        std::partition_point(digests.begin(), digests.end(),
                             [&](indexed_digest const& it) { return it.end_block <= event.index; });
    if (digest == digests.end())
        return;
    remove(event.block);
    block_key const key{request->second.seed, digest->digest};
    auto const stored = blocks_.try_emplace(event.block).first;
    block_order_.push_back(&stored->first);
    stored->second = {key, std::prev(block_order_.end())};
    ++held_[key];
    if (blocks_.size() > limits_.blocks)
        remove(std::string(*block_order_.front()));
}

void engine_cache_index::remove(std::string const& block)
{
    auto const it = blocks_.find(block);
    if (it == blocks_.end())
        return;
    auto const key = it->second.key;
    reported_.erase(key);
    auto const count = held_.find(key);
    if (--count->second == 0)
        held_.erase(count);
    block_order_.erase(it->second.order);
    blocks_.erase(it);
}

void engine_cache_index::forget_request(std::string const& request)
{
    auto const it = requests_.find(request);
    if (it == requests_.end())
        return;
    request_digests_ -= it->second.digests.size();
    request_order_.erase(it->second.order);
    requests_.erase(it);
}

void engine_cache_index::expire_usage(base::time_point now)
{
    while (!reported_order_.empty() && reported_order_.front().first <= now)
    {
        auto const it = reported_.find(reported_order_.front().second);
        if (it != reported_.end() && it->second <= now)
            reported_.erase(it);
        reported_order_.pop_front();
    }
}

} // namespace savorymount::routing
