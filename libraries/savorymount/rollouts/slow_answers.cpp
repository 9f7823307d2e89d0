#include <savorymount/rollouts/slow_answers.hpp>

#include <algorithm>
#include <bit>
#include <cstdint>

namespace savorymount::rollouts
{
namespace
{

using namespace std::chrono_literals;

constexpr std::size_t kept_samples = 64;
constexpr std::size_t min_samples = 16;
// Versions are bad whose answers take several times the usual time.
constexpr int slow_ratio = 3;
// Shorter times vary by more than this ratio without any load.
constexpr base::duration min_slow_time = 40ms;

base::duration slow_limit(std::vector<base::duration> samples)
{
    auto const middle = samples.begin() + static_cast<std::ptrdiff_t>(samples.size() / 2);
    std::nth_element(samples.begin(), middle, samples.end());
    return std::max(*middle * slow_ratio, min_slow_time);
}

void keep(std::vector<base::duration>& samples, std::size_t position, base::duration it)
{
    if (samples.size() < kept_samples)
        samples.push_back(it);
    else
        samples[position] = it;
}

} // namespace

slow_answers::work_class slow_answers::class_of(std::string const& route, double prompt_tokens)
{
    auto const tokens = static_cast<std::uint64_t>(std::clamp(prompt_tokens, 0.0, 1e12));
    return {route, static_cast<unsigned>(std::bit_width(tokens))};
}

void slow_answers::record_usual(work_class const& it, answer_times const& times)
{
    auto& known = usual_[it];
    keep(known.first_events, known.next, times.first_event);
    keep(known.longest_pauses, known.next, times.longest_pause);
    known.next = (known.next + 1) % kept_samples;
}

bool slow_answers::is_slow(work_class const& it, answer_times const& times) const
{
    auto const found = usual_.find(it);
    if (found == usual_.end() || found->second.first_events.size() < min_samples)
        return false;
    return times.first_event > slow_limit(found->second.first_events) ||
           times.longest_pause > slow_limit(found->second.longest_pauses);
}

} // namespace savorymount::rollouts
