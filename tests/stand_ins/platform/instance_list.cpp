#include <tests/stand_ins/platform/instance_list.hpp>
#include <utility>

namespace savorymount::stand_ins
{
namespace
{

// Older versions than this can't be asked for, since no lag is longer.
constexpr base::duration kept_time = std::chrono::hours(1);

} // namespace

void instance_list::add(nlohmann::json instance, base::time_point now)
{
    if (!instance.contains("state"))
        instance["state"] = "live";
    std::string const id = instance.value("id", "");
    instances_[id] = std::move(instance);
    record(now);
}

void instance_list::remove(std::string const& id, base::time_point now)
{
    instances_.erase(id);
    record(now);
}

void instance_list::set_leaving(std::string const& id, base::time_point now)
{
    auto const it = instances_.find(id);
    if (it == instances_.end())
        return;
    it->second["state"] = "leaving";
    record(now);
}

nlohmann::json instance_list::view(base::time_point now)
{
    if (frozen_)
        return *frozen_;
    nlohmann::json shown = nlohmann::json::array();
    for (auto const& it : versions_)
    {
        if (it.time + lag_ <= now)
            shown = it.instances;
    }
    return {{"instances", std::move(shown)}};
}

void instance_list::record(base::time_point now)
{
    nlohmann::json all = nlohmann::json::array();
    for (auto const& it : instances_)
        all.push_back(it.second);
    versions_.push_back({now, std::move(all)});
    while (versions_.size() > 1 && versions_[1].time + kept_time < now)
        versions_.pop_front();
}

} // namespace savorymount::stand_ins
