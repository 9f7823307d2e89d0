#include <savorymount/membership/peer_report.hpp>

#include <algorithm>
#include <cmath>
#include <string_view>

namespace savorymount::membership
{
namespace
{

constexpr std::size_t max_name_bytes = 256;
constexpr std::chrono::milliseconds max_uptime = std::chrono::hours(24 * 365 * 10);
// Far above any rate times any uptime, and still exact as a sum of doubles.
constexpr double max_tokens = 1e15;
constexpr std::uint32_t max_requests = 1'000'000;
// Above what an instance keeps.
constexpr std::chrono::milliseconds max_notice_age = std::chrono::hours(1);
constexpr std::size_t max_notices = 256;
constexpr std::size_t max_parts = 64;

bool is_name(std::string_view text)
{
    return !text.empty() && text.size() <= max_name_bytes;
}

bool is_token_count(double value)
{
    return std::isfinite(value) && value >= 0 && value <= max_tokens;
}

bool is_usage(std::pair<std::string const, routing::upstream_use> const& it)
{
    return is_name(it.first) && it.second.requests <= max_requests &&
           is_token_count(it.second.tokens);
}

bool is_age(std::chrono::milliseconds age)
{
    return age >= age.zero() && age <= max_notice_age;
}

bool is_loss(loss_notice const& it)
{
    return is_name(it.loss.upstream) && it.loss.parts.size() <= max_parts && is_age(it.age);
}

bool is_limit(limit_notice const& it)
{
    auto const& limit = it.notice.limit;
    bool const is_rate = !limit || (std::isfinite(*limit) && *limit >= 0);
    return is_name(it.notice.upstream) && is_rate && is_age(it.age);
}

bool is_origin(streams::stream_origin const& it)
{
    return is_name(it.service) && it.software_version.size() <= max_name_bytes;
}

bool has_plausible_notices(peer_report const& report)
{
    auto const& losses = report.losses;
    auto const& sound_parts = report.sound_parts;
    return losses.size() <= max_notices && sound_parts.size() <= max_notices &&
           report.limits.size() <= max_notices &&
           std::all_of(losses.begin(), losses.end(), is_loss) &&
           report.streams.size() <= max_notices &&
           std::all_of(report.streams.begin(), report.streams.end(), is_origin) &&
           std::all_of(report.limits.begin(), report.limits.end(), is_limit) &&
           std::all_of(sound_parts.begin(), sound_parts.end(),
                       [](auto const& it) { return is_age(it.age); });
}

bool is_plausible_relayed(peer_report const& report)
{
    return report.relayed.empty() && report.store_updates.empty() && is_plausible(report);
}

} // namespace

bool is_plausible(peer_report const& report)
{
    bool const has_names = is_name(report.instance) && is_name(report.incarnation) &&
                           report.address.size() <= max_name_bytes;
    bool const has_uptime = report.uptime >= report.uptime.zero() && report.uptime <= max_uptime;
    if (!has_names || !has_uptime)
        return false;
    auto const& totals = report.admitted_tokens;
    // Instances of an earlier version report negative totals for workspaces without a limit.
    bool const has_totals = std::all_of(
        totals.begin(), totals.end(),
        [](auto const& it) { return is_name(it.first) && is_token_count(std::abs(it.second)); });
    auto const& use = report.upstream_use;
    bool const has_use = std::all_of(use.begin(), use.end(), is_usage);
    bool const has_data_centre = report.data_centre.size() <= max_name_bytes;
    auto const& relayed = report.relayed;
    return has_totals && has_use && has_data_centre && has_plausible_notices(report) &&
           std::all_of(relayed.begin(), relayed.end(), is_plausible_relayed);
}

} // namespace savorymount::membership
