#include <savorymount/orders/stored_versions.hpp>

#include <algorithm>

namespace savorymount::orders
{
namespace
{

using namespace std::chrono_literals;

// No version is older, so nothing is lost without its record.
constexpr std::uint64_t first_version = 1;
// How long an instance that is not the leader waits for the leader's write.
constexpr base::duration leader_write_time = 900ms;

} // namespace

std::optional<version_record>
stored_versions::next_append(base::time_point now, desired_weights const& desired, bool is_leader)
{
    std::optional<version_record> out;
    for (auto const& [model, version] : desired.newest_versions())
    {
        if (is_recorded(model, version))
        {
            missing_since_.erase(model);
            continue;
        }
        auto const since = missing_since_.try_emplace(model, now).first->second;
        if (!out && (is_leader || now - since >= leader_write_time))
            out = version_record{model, version};
    }
    return out;
}

void stored_versions::on_append_accepted(version_record const& record)
{
    auto& stored = stored_[record.model];
    stored = std::max(stored, record.version);
}

bool stored_versions::is_recorded(std::string const& model, std::uint64_t version) const
{
    auto const stored = stored_.find(model);
    bool const is_stored = stored != stored_.end() && stored->second >= version;
    return version <= first_version || is_stored;
}

} // namespace savorymount::orders
