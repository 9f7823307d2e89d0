#include "tests/libraries/configuration/log_history.hpp"

#include <algorithm>
#include <utility>

namespace savorymount::configuration::tests
{
namespace
{

nlohmann::json group_document(std::string const& name, std::uint64_t loading_at_once)
{
    return {{"group", name}, {"kind", "plain"}, {"loading_at_once", loading_at_once}};
}

bool has_kind(nlohmann::json const& body, std::string const& kind)
{
    return body.is_object() && body.contains("kind") && body.at("kind") == kind;
}

} // namespace

log_history::log_history(std::vector<std::uint8_t> const& steps, std::uint64_t seed) : random_(seed)
{
    for (auto const it : steps)
        step(it);
}

bool log_history::has_usable_snapshot(std::uint64_t first) const
{
    if (first <= 1)
        return true;
    for (auto const& it : records_)
    {
        if (it.offset < first || !has_kind(it.body, "snapshot"))
            continue;
        // Corrupt snapshots name offsets at or after their own.
        auto const through = it.body.at("through").get<std::uint64_t>();
        auto const version = it.body.at("version").get<std::uint64_t>();
        if (through < it.offset && version <= through && through + 1 >= first)
            return true;
    }
    return false;
}

void log_history::append(std::string id, nlohmann::json body)
{
    auto const offset = end() + 1;
    auto const in_force = versions_.back();
    records_.push_back({offset, std::move(id), std::move(body)});
    versions_.push_back(in_force);
    auto const& record = records_.back().body;
    if (!has_kind(record, "change"))
        return;
    base::error reason;
    auto const parsed = parse_change_record(record, reason);
    if (!parsed || parsed->base != in_force)
        return;
    auto content = contents_.at(in_force);
    content.apply(parsed->changes);
    if (!parse_configuration(offset, content, reason))
        return;
    versions_.back() = offset;
    contents_.emplace(offset, std::move(content));
}

void log_history::step(std::uint8_t kind)
{
    auto const in_force = versions_.back();
    auto const any_earlier = [this]
    {
        return records_.at(random_.uniform_below(end()));
    };
    switch (kind % 14)
    {
    case 0: // A stale base, as of an operator who lost a race.
        append(fresh_id(), change(versions_.at(random_.uniform_below(end() + 1)), true));
        return;
    case 1: // A base that does not exist yet.
        append(fresh_id(), change(end() + random_.uniform_below(4), true));
        return;
    case 2:
        append(fresh_id(), change(in_force, false));
        return;
    case 3: // An append that was repeated after a lost response.
        if (end() > 0)
        {
            auto const it = any_earlier();
            append(it.id, it.body);
        }
        return;
    case 4: // An id that is used again for another change.
        if (end() > 0)
            append(any_earlier().id, change(in_force, true));
        return;
    case 5:
    case 6:
    case 7:
    {
        // A writer that has read the log up to some earlier record, now and then a much earlier
        // one.
        auto const lag = random_.uniform_below(random_.uniform_below(4) == 0 ? 50 : 8);
        auto const through = end() - std::min(end(), lag);
        if (version_at(through) > 0)
            append(fresh_id(), to_json(snapshot_record{version_at(through), through,
                                                       content_of(version_at(through))}));
        return;
    }
    case 8:
        append(fresh_id(), corrupt());
        return;
    case 9:
        append(fresh_id(), {{"kind", "lease"}, {"workspace", "counter"}});
        return;
    default:
        append(fresh_id(), change(in_force, true));
    }
}

nlohmann::json log_history::change(std::uint64_t base, bool valid)
{
    auto const name = "g" + std::to_string(random_.uniform_below(4));
    change_record out{base, "mieke", 1000, {}};
    if (valid && random_.uniform_below(4) == 0)
        out.changes["groups/" + name] = nullptr;
    else
        out.changes["groups/" + name] =
            group_document(name, valid ? 1 + random_.uniform_below(1000) : 0);
    return to_json(out);
}

nlohmann::json log_history::corrupt()
{
    switch (random_.uniform_below(6))
    {
    case 0:
        return "text";
    case 1:
        return {{"kind", 1}};
    case 2:
        return {{"kind", "change"}, {"base", versions_.back()}};
    case 3:
        return {
            {"kind", "snapshot"}, {"version", end() + 5}, {"documents", {}}, {"through", end()}};
    case 4: // A snapshot that claims to cover offsets after its own.
        return {{"kind", "snapshot"},
                {"version", end() + 1},
                {"through", end() + 100},
                {"documents", nlohmann::json::object()}};
    default:
    {
        auto body = change(versions_.back(), true);
        auto deep = nlohmann::json::array();
        for (int i = 0; i < 40; ++i)
            deep = nlohmann::json::array({deep});
        body["documents"]["groups/g0"] = deep;
        return body;
    }
    }
}

std::string log_history::fresh_id()
{
    return "record-" + std::to_string(++ids_);
}

} // namespace savorymount::configuration::tests
