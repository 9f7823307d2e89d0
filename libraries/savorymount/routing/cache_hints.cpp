#include <savorymount/base/digest.hpp>
#include <savorymount/routing/cache_hints.hpp>

#include <algorithm>
#include <bit>
#include <utility>

namespace savorymount::routing
{
namespace
{

/// Maximum time by which the timestamp of a valid hint may lie ahead of the current time.
constexpr std::int64_t max_clock_lead_ms = 1000;

std::int64_t to_milliseconds(base::time_point now)
{
    return now.time_since_epoch() / std::chrono::milliseconds(1);
}

std::uint32_t to_timestamp_ms(std::int64_t milliseconds)
{
    auto const out = static_cast<std::uint32_t>(milliseconds);
    return out == 0 ? 1 : out;
}

} // namespace

cache_hints::cache_hints(cache_hints_options const& options)
    : entries_(std::bit_ceil(std::max(options.max_digests, ways_per_set))),
      max_age_ms_(options.max_age / std::chrono::milliseconds(1))
{
}

std::optional<std::int64_t> cache_hints::hint_age_ms(std::int64_t now_ms, slot const& it) const
{
    if (it.timestamp_ms == 0)
        return std::nullopt;
    // The signed difference is also correct when the 32-bit timestamp wraps, and for a hint added
    // during an engine restart, whose timestamp lies slightly in the future. A hint that was not
    // updated for 49 days would look new again, which costs at most one cache miss.
    std::int64_t const age = static_cast<std::int32_t>(to_timestamp_ms(now_ms) - it.timestamp_ms);
    if (age > max_age_ms_ || age < -max_clock_lead_ms)
        return std::nullopt;
    if (it.upstream < engines_.size() && now_ms - age < engines_[it.upstream].valid_since_ms)
        return std::nullopt;
    return std::max<std::int64_t>(0, age);
}

cache_hints::digest_entry const* cache_hints::find_entry(std::uint64_t digest) const
{
    std::size_t const set = (digest & (entries_.size() - 1)) & ~(ways_per_set - 1);
    for (std::size_t i = 0; i < ways_per_set; ++i)
    {
        digest_entry const& it = entries_[set + i];
        if (it.digest == digest && it.slots[0].timestamp_ms != 0)
            return &it;
    }
    return nullptr;
}

cache_hints::digest_entry* cache_hints::find_entry(std::uint64_t digest)
{
    return const_cast<digest_entry*>(std::as_const(*this).find_entry(digest));
}

cache_hints::digest_entry& cache_hints::find_or_insert_entry(std::uint64_t digest)
{
    if (digest_entry* it = find_entry(digest))
        return *it;
    std::size_t const set = (digest & (entries_.size() - 1)) & ~(ways_per_set - 1);
    digest_entry* victim = nullptr;
    for (std::size_t i = 0; i < ways_per_set; ++i)
    {
        digest_entry& it = entries_[set + i];
        if (it.slots[0].timestamp_ms == 0)
        {
            victim = &it;
            ++used_entries_;
            break;
        }
        if (victim == nullptr ||
            static_cast<std::int32_t>(it.slots[0].timestamp_ms - victim->slots[0].timestamp_ms) < 0)
            victim = &it;
    }
    *victim = {};
    victim->digest = digest;
    return *victim;
}

cache_hints::engine_state& cache_hints::engine_state_of(upstream_id upstream)
{
    if (upstream >= engines_.size())
        engines_.resize(upstream + 1);
    return engines_[upstream];
}

void cache_hints::add(base::time_point now, std::span<std::uint64_t const> digests,
                      upstream_id upstream)
{
    // Hints added in the same millisecond as an engine restart belong to the new process.
    std::int64_t const recorded_at_ms =
        std::max(to_milliseconds(now), engine_state_of(upstream).valid_since_ms);
    for (std::uint64_t digest : digests)
    {
        auto& slots = find_or_insert_entry(digest).slots;
        // The newest hint comes first. It replaces the upstream's existing hint or else the oldest
        // one.
        std::size_t last = 0;
        while (last + 1 < slots.size() && slots[last].timestamp_ms != 0 &&
               slots[last].upstream != upstream)
            ++last;
        for (; last > 0; --last)
            slots[last] = slots[last - 1];
        slots[0] = {upstream, to_timestamp_ms(recorded_at_ms)};
    }
}

void cache_hints::remove(std::span<std::uint64_t const> digests, upstream_id upstream)
{
    for (std::uint64_t digest : digests)
    {
        digest_entry* const it = find_entry(digest);
        if (it == nullptr)
            continue;
        auto const end = std::remove_if(it->slots.begin(), it->slots.end(),
                                        [upstream](slot const& candidate)
                                        { return candidate.upstream == upstream; });
        std::fill(end, it->slots.end(), slot{});
        if (it->slots[0].timestamp_ms == 0)
        {
            *it = {};
            --used_entries_;
        }
    }
}

bool cache_hints::update_engine_process(base::time_point now, upstream_id upstream,
                                        std::string_view process_id)
{
    if (process_id.empty())
        return false;
    std::uint64_t const process = base::chain_digest(0, process_id);
    engine_state& it = engine_state_of(upstream);
    if (it.current_process == process || it.previous_process == process)
        return false;
    bool const first_report = it.current_process == 0;
    it.previous_process = it.current_process;
    it.current_process = process;
    if (first_report)
        return false;
    it.valid_since_ms = to_milliseconds(now) + 1;
    return true;
}

void cache_hints::remove_upstream(base::time_point now, upstream_id upstream)
{
    engine_state_of(upstream) = {0, 0, to_milliseconds(now) + 1};
}

cache_hints::hint_list cache_hints::find(base::time_point now, std::uint64_t digest) const
{
    hint_list out;
    digest_entry const* const it = find_entry(digest);
    if (it == nullptr)
        return out;
    std::int64_t const now_ms = to_milliseconds(now);
    for (slot const& candidate : it->slots)
    {
        if (auto const age = hint_age_ms(now_ms, candidate))
            out.hints[out.size++] = {candidate.upstream, std::chrono::milliseconds(*age)};
    }
    return out;
}

std::size_t cache_hints::memory_bytes() const
{
    return entries_.capacity() * sizeof(digest_entry) + engines_.capacity() * sizeof(engine_state);
}

} // namespace savorymount::routing
