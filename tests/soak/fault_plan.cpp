#include <savorymount/base/random_source.hpp>

#include <algorithm>
#include <tests/soak/fault_plan.hpp>

namespace savorymount::soak
{
namespace
{

using namespace std::chrono_literals;

constexpr base::duration longest_gap = 1200ms;
constexpr base::duration shortest_fault = 200ms;
constexpr base::duration longest_fault = 4s;
// Several steps at once from time to time.
constexpr double series_share = 0.3;
constexpr base::duration longest_gap_of_later_kinds = 6s;

/// Kinds that came later than those of the first generator, with a generator of their own.
struct later_kinds
{
    std::uint64_t seed = 0;
    std::size_t first = 0;
    std::size_t end = 0;
};

constexpr later_kinds second_kinds{0x6c61746572, first_fault_kinds, second_fault_kinds};
constexpr later_kinds third_kinds{0x7468697264, second_fault_kinds, third_fault_kinds};
constexpr later_kinds fourth_kinds{0x666f75727468, third_fault_kinds, fourth_fault_kinds};
constexpr later_kinds fifth_kinds{0x6669667468, fourth_fault_kinds, fault_kinds};

bool is_upstream_fault(fault_kind kind)
{
    return kind >= fault_kind::kill_upstream && kind <= fault_kind::mute_upstream_link;
}

base::duration draw(base::random_source& random, base::duration least, base::duration most)
{
    auto const span = static_cast<std::uint64_t>((most - least).count()) + 1;
    return least + base::duration(static_cast<std::int64_t>(random.uniform_below(span)));
}

/// Steps of the kinds that the first generator does not draw.
std::vector<planned_fault> make_later_steps(std::uint64_t seed, base::duration length,
                                            deployment_size const& size, later_kinds const& kinds)
{
    base::random_source random(seed ^ kinds.seed);
    std::vector<planned_fault> out;
    base::duration at = draw(random, base::duration::zero(), longest_gap_of_later_kinds);
    while (at < length)
    {
        planned_fault step;
        step.at = at;
        step.kind =
            static_cast<fault_kind>(kinds.first + random.uniform_below(kinds.end - kinds.first));
        bool const any_upstream = step.kind == fault_kind::end_answers_with_connection ||
                                  step.kind == fault_kind::name_limit ||
                                  step.kind == fault_kind::say_leaving ||
                                  step.kind == fault_kind::reject_for_now;
        step.target = random.uniform_below(any_upstream ? size.upstreams() : size.engines);
        step.length = draw(random, shortest_fault, longest_fault);
        out.push_back(step);
        at += draw(random, base::duration::zero(), longest_gap_of_later_kinds);
    }
    return out;
}

} // namespace

std::string_view to_string(fault_kind kind)
{
    switch (kind)
    {
    case fault_kind::kill_gateway:
        return "kill_gateway";
    case fault_kind::pause_gateway:
        return "pause_gateway";
    case fault_kind::stop_gateway:
        return "stop_gateway";
    case fault_kind::hang_up_gateway:
        return "hang_up_gateway";
    case fault_kind::kill_upstream:
        return "kill_upstream";
    case fault_kind::pause_upstream:
        return "pause_upstream";
    case fault_kind::drain_upstream:
        return "drain_upstream";
    case fault_kind::delay_upstream_link:
        return "delay_upstream_link";
    case fault_kind::reset_upstream_link:
        return "reset_upstream_link";
    case fault_kind::silence_upstream_link:
        return "silence_upstream_link";
    case fault_kind::mute_upstream_link:
        return "mute_upstream_link";
    case fault_kind::cut_store_link:
        return "cut_store_link";
    case fault_kind::silence_store_link:
        return "silence_store_link";
    case fault_kind::delay_store_link:
        return "delay_store_link";
    case fault_kind::refuse_store:
        return "refuse_store";
    case fault_kind::lose_appends:
        return "lose_appends";
    case fault_kind::compact_store:
        return "compact_store";
    case fault_kind::new_configuration:
        return "new_configuration";
    case fault_kind::withdraw_key:
        return "withdraw_key";
    case fault_kind::name_weights:
        return "name_weights";
    case fault_kind::end_answers_with_connection:
        return "end_answers_with_connection";
    case fault_kind::close_inside_event:
        return "close_inside_event";
    case fault_kind::crash_on_part:
        return "crash_on_part";
    case fault_kind::restore_store:
        return "restore_store";
    case fault_kind::name_limit:
        return "name_limit";
    case fault_kind::say_leaving:
        return "say_leaving";
    case fault_kind::reject_for_now:
        return "reject_for_now";
    case fault_kind::new_software:
        return "new_software";
    case fault_kind::kill_all_gateways:
        return "kill_all_gateways";
    case fault_kind::upgrade_during_pause:
        break;
    }
    return "upgrade_during_pause";
}

bool is_planned_work(fault_kind kind)
{
    switch (kind)
    {
    case fault_kind::stop_gateway:
    case fault_kind::hang_up_gateway:
    case fault_kind::drain_upstream:
    case fault_kind::compact_store:
    case fault_kind::new_configuration:
    case fault_kind::withdraw_key:
    case fault_kind::name_weights:
    case fault_kind::end_answers_with_connection:
        return true;
    default:
        return false;
    }
}

std::vector<planned_fault> make_plan(std::uint64_t seed, base::duration length,
                                     deployment_size const& size)
{
    base::random_source random(seed);
    std::vector<planned_fault> out;
    // A run of planned work alone shows requests that such work loses.
    bool const planned_only = random.uniform_below(4) == 0;
    base::duration at = draw(random, base::duration::zero(), longest_gap);
    while (at < length)
    {
        planned_fault step;
        step.at = at;
        step.kind = static_cast<fault_kind>(random.uniform_below(first_fault_kinds));
        step.target =
            random.uniform_below(is_upstream_fault(step.kind) ? size.upstreams() : size.gateways);
        step.length = draw(random, shortest_fault, longest_fault);
        if (!planned_only || is_planned_work(step.kind))
            out.push_back(step);
        if (random.uniform_real() > series_share)
            at += draw(random, base::duration::zero(), longest_gap);
    }
    for (auto const& kinds : {second_kinds, third_kinds, fourth_kinds, fifth_kinds})
    {
        for (auto const& step : make_later_steps(seed, length, size, kinds))
        {
            if (!planned_only || is_planned_work(step.kind))
                out.push_back(step);
        }
    }
    std::stable_sort(out.begin(), out.end(),
                     [](planned_fault const& a, planned_fault const& b) { return a.at < b.at; });
    return out;
}

} // namespace savorymount::soak
