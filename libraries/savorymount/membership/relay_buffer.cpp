#include <savorymount/membership/relay_buffer.hpp>

#include <utility>

namespace savorymount::membership
{
namespace
{

// A changed total is sent this many times, since a datagram may be lost.
constexpr std::uint64_t sends_of_a_change = 3;
// One report in this many carries all totals, for receivers that missed more.
constexpr std::uint64_t full_report_period = 10;
// An instance that has not reported for so many calls of `take` is dropped.
constexpr std::uint64_t calls_until_dropped = 40;

} // namespace

void relay_buffer::record(peer_report const& report)
{
    auto& it = entries_[report.instance];
    if (it.report.incarnation != report.incarnation)
        it = {};
    it.updated = true;
    it.updated_after = takes_;
    auto previous = std::exchange(it.report, report);
    it.report.relayed.clear();
    it.report.store_updates.clear();
    it.report.streams.clear();
    it.report.partial = false;
    if (report.partial)
    {
        it.report.admitted_tokens = std::move(previous.admitted_tokens);
        it.report.upstream_use = std::move(previous.upstream_use);
        it.report.assigned_prefixes = std::move(previous.assigned_prefixes);
        return;
    }
    for (auto const& [workspace, total] : report.admitted_tokens)
    {
        auto const known = previous.admitted_tokens.find(workspace);
        if (known == previous.admitted_tokens.end() || known->second != total)
            it.changed_after[workspace] = takes_;
    }
    for (auto& [engine, digests] : previous.assigned_prefixes)
    {
        auto& all = it.report.assigned_prefixes[engine];
        all.insert(all.begin(), digests.begin(), digests.end());
    }
}

std::vector<peer_report> relay_buffer::take()
{
    std::vector<peer_report> out;
    for (auto& [instance, it] : entries_)
    {
        if (std::exchange(it.updated, false))
            out.push_back(make_report(it));
    }
    ++takes_;
    std::erase_if(entries_, [this](auto const& it)
                  { return it.second.updated_after + calls_until_dropped < takes_; });
    return out;
}

peer_report relay_buffer::make_report(entry& it) const
{
    auto out = it.report;
    out.assigned_prefixes = std::exchange(it.report.assigned_prefixes, {});
    if (takes_ % full_report_period == 0)
        return out;
    std::erase_if(out.admitted_tokens,
                  [&](auto const& total)
                  {
                      auto const changed = it.changed_after.find(total.first);
                      return changed == it.changed_after.end() ||
                             changed->second + sends_of_a_change <= takes_;
                  });
    return out;
}

} // namespace savorymount::membership
