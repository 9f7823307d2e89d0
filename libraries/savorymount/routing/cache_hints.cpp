#include <savorymount/base/digest.hpp>
#include <savorymount/routing/cache_hints.hpp>

#include <algorithm>
#include <bit>
#include <utility>

namespace savorymount::routing
{
namespace
{

/// Farthest that a valid hint may be dated ahead of the current time.
constexpr std::int64_t farthest_ahead_ms = 1000;

std::int64_t to_milliseconds(base::time_point now)
{
    return now.time_since_epoch() / std::chrono::milliseconds(1);
}

std::uint32_t low_bits(std::int64_t milliseconds)
{
    auto const out = static_cast<std::uint32_t>(milliseconds);
    return out == 0 ? 1 : out;
}

} // namespace

cache_hints::cache_hints(cache_hints_options const& options)
    : entries_(std::bit_ceil(std::max(options.digests, ways))),
      max_age_ms_(options.max_age / std::chrono::milliseconds(1))
{
}

std::optional<std::int64_t> cache_hints::age_of(std::int64_t now_ms, slot const& it) const
{
    if (it.tick == 0)
        return std::nullopt;
    // The signed difference also holds across the wrap of the low bits and for a hint of an engine
    // restart, which is dated just ahead. A hint left untouched for 49 days would look new again;
    // it would only cost one wrong guess.
    std::int64_t const age = static_cast<std::int32_t>(low_bits(now_ms) - it.tick);
    if (age > max_age_ms_ || age < -farthest_ahead_ms)
        return std::nullopt;
    if (it.upstream < engines_.size() && now_ms - age < engines_[it.upstream].valid_since)
        return std::nullopt;
    return std::max<std::int64_t>(0, age);
}

cache_hints::entry const* cache_hints::find_entry(std::uint64_t digest) const
{
    std::size_t const set = (digest & (entries_.size() - 1)) & ~(ways - 1);
    for (std::size_t i = 0; i < ways; ++i)
    {
        entry const& it = entries_[set + i];
        if (it.digest == digest && it.slots[0].tick != 0)
            return &it;
    }
    return nullptr;
}

cache_hints::entry* cache_hints::find_entry(std::uint64_t digest)
{
    return const_cast<entry*>(std::as_const(*this).find_entry(digest));
}

cache_hints::entry& cache_hints::entry_for(std::uint64_t digest)
{
    if (entry* it = find_entry(digest))
        return *it;
    std::size_t const set = (digest & (entries_.size() - 1)) & ~(ways - 1);
    entry* oldest = nullptr;
    for (std::size_t i = 0; i < ways; ++i)
    {
        entry& it = entries_[set + i];
        if (it.slots[0].tick == 0)
        {
            oldest = &it;
            ++used_;
            break;
        }
        if (oldest == nullptr ||
            static_cast<std::int32_t>(it.slots[0].tick - oldest->slots[0].tick) < 0)
            oldest = &it;
    }
    *oldest = {};
    oldest->digest = digest;
    return *oldest;
}

cache_hints::engine_state& cache_hints::state_of(upstream_id upstream)
{
    if (upstream >= engines_.size())
        engines_.resize(upstream + 1);
    return engines_[upstream];
}

void cache_hints::learn(base::time_point now, std::span<std::uint64_t const> digests,
                        upstream_id upstream)
{
    // Hints learned in the millisecond of an engine's restart belong to the new process.
    std::int64_t const learned_at = std::max(to_milliseconds(now), state_of(upstream).valid_since);
    for (std::uint64_t digest : digests)
    {
        auto& slots = entry_for(digest).slots;
        // The newest hint comes first; it replaces the upstream's older one, else the oldest.
        std::size_t last = 0;
        while (last + 1 < slots.size() && slots[last].tick != 0 && slots[last].upstream != upstream)
            ++last;
        for (; last > 0; --last)
            slots[last] = slots[last - 1];
        slots[0] = {upstream, low_bits(learned_at)};
    }
}

void cache_hints::forget(std::span<std::uint64_t const> digests, upstream_id upstream)
{
    for (std::uint64_t digest : digests)
    {
        entry* const it = find_entry(digest);
        if (it == nullptr)
            continue;
        auto const end = std::remove_if(it->slots.begin(), it->slots.end(),
                                        [upstream](slot const& candidate)
                                        { return candidate.upstream == upstream; });
        std::fill(end, it->slots.end(), slot{});
        if (it->slots[0].tick == 0)
        {
            *it = {};
            --used_;
        }
    }
}

bool cache_hints::note_engine(base::time_point now, upstream_id upstream, std::string_view engine)
{
    if (engine.empty())
        return false;
    std::uint64_t const id = base::chain_digest(0, engine);
    engine_state& it = state_of(upstream);
    if (it.current == id || it.previous == id)
        return false;
    bool const first = it.current == 0;
    it.previous = it.current;
    it.current = id;
    if (first)
        return false;
    it.valid_since = to_milliseconds(now) + 1;
    return true;
}

void cache_hints::forget_upstream(base::time_point now, upstream_id upstream)
{
    state_of(upstream) = {0, 0, to_milliseconds(now) + 1};
}

cache_hints::found cache_hints::find(base::time_point now, std::uint64_t digest) const
{
    found out;
    entry const* const it = find_entry(digest);
    if (it == nullptr)
        return out;
    std::int64_t const now_ms = to_milliseconds(now);
    for (slot const& candidate : it->slots)
    {
        if (auto const age = age_of(now_ms, candidate))
            out.hints[out.size++] = {candidate.upstream, std::chrono::milliseconds(*age)};
    }
    return out;
}

std::size_t cache_hints::memory_bytes() const
{
    return entries_.capacity() * sizeof(entry) + engines_.capacity() * sizeof(engine_state);
}

} // namespace savorymount::routing
