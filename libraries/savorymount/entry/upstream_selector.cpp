#include <savorymount/entry/upstream_selector.hpp>
#include <savorymount/membership/peer_subset.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace savorymount::entry
{
namespace
{

std::uint64_t random_seed()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32) | device();
}

} // namespace

upstream_selector::upstream_selector(runtime::kernel& owner)
    : kernel_(owner), random_(random_seed()), router_(routing::router_options{}, random_)
{
    kernel_.list().on_list([this](std::vector<runtime::instance_record> const&) { connect(); });
    kernel_.on_heartbeat([this](std::string const& name, wire::Context::Reader,
                                wire::LoadReport::Reader load) { take_load(name, load); });
}

std::optional<selected_upstream>
upstream_selector::select(routed_request const& request,
                          std::vector<routing::upstream_id> const& tried)
{
    auto& state = group(request.group);
    auto const pool = state.pools.find(request.model.value_or(runtime::held_model{}));
    if (pool == state.pools.end() || pool->second.size() == 0)
        return std::nullopt;
    auto const now = kernel_.now();
    auto excluded = tried;
    routing::candidate_set const candidates{&pool->second, [&state, now](routing::upstream_id id)
                                            {
                                                return state.ejection.traffic_share(now, id);
                                            }};
    // An agent without a usable connection is passed over; each round excludes at least one.
    while (excluded.size() <= tried.size() + pool->second.size())
    {
        routing::route_request const wanted{request.model ? &request.prefix : nullptr, excluded};
        auto const ranked = router_.choose(now, wanted, candidates);
        if (ranked.empty())
            return std::nullopt;
        for (auto const& it : ranked)
        {
            auto const known = reports_.find(ids_.name(it.upstream));
            if (known != reports_.end() && kernel_.peers().find(known->second.name) != nullptr)
                return selected_upstream{it, known->second.name};
            excluded.push_back(it.upstream);
        }
    }
    return std::nullopt;
}

bool upstream_selector::serves(std::string const& name, runtime::held_model const& model)
{
    auto const& pools = group(name).pools;
    auto const it = pools.find(model);
    return it != pools.end() && it->second.size() > 0;
}

void upstream_selector::sent(routed_request const& request, selected_upstream const& upstream)
{
    routing::route_request const wanted{request.model ? &request.prefix : nullptr, {}};
    router_.sent(kernel_.now(), wanted, upstream.choice);
}

void upstream_selector::started(selected_upstream const& upstream)
{
    router_.prefill_finished(kernel_.now(), upstream.choice);
}

void upstream_selector::finished(routed_request const& request, selected_upstream const& upstream,
                                 runtime::request_outcome const& outcome)
{
    auto const now = kernel_.now();
    auto& state = group(request.group);
    bool const completed = outcome.end == runtime::request_outcome::kind::completed;
    if (completed)
    {
        state.ejection.record_success(now, upstream.choice.upstream);
        state.budget.record_success(now);
    }
    else if (outcome.end == runtime::request_outcome::kind::failed)
        state.ejection.record_failure(now, upstream.choice.upstream);
    auto const known = reports_.find(ids_.name(upstream.choice.upstream));
    routing::route_request const wanted{request.model ? &request.prefix : nullptr, {}};
    std::optional<std::size_t> held;
    std::optional<std::size_t> cached;
    if (completed && outcome.prompt_tokens > 0)
    {
        double const bytes_per_token = static_cast<double>(request.prefix.text_bytes) /
                                       static_cast<double>(outcome.prompt_tokens);
        held = outcome.held_blocks;
        cached = routing::blocks_within(request.prefix, outcome.cached_tokens,
                                        std::max(bytes_per_token, 0.1));
    }
    router_.finished(now, wanted, upstream.choice,
                     known == reports_.end() ? std::string() : known->second.engine, held, cached);
}

void upstream_selector::lost(routed_request const& request, selected_upstream const& upstream)
{
    runtime::request_outcome failed;
    finished(request, upstream, failed);
}

void upstream_selector::take_load(std::string const& name, wire::LoadReport::Reader load)
{
    auto const instance = membership::parse_instance_name(name);
    auto& known = reports_[instance.id];
    report next{name, load.getEngine(), {}, load.getReady()};
    for (auto const it : load.getModels())
        next.models.insert({it.getModel(), it.getAdapter(), it.getVersion()});
    bool const changed =
        next.name != known.name || next.models != known.models || next.ready != known.ready;
    known = std::move(next);
    if (changed)
        ++report_revision_;
    routing::load_report const measured{load.getRunning(), load.getWaiting(),
                                        load.getQueuedTokens()};
    router_.load_reported(kernel_.now(), ids_.intern(instance.id), known.engine, measured);
}

std::size_t upstream_selector::ready_upstreams() const
{
    return static_cast<std::size_t>(std::count_if(reports_.begin(), reports_.end(),
                                                  [](auto const& it) { return it.second.ready; }));
}

retries::retry_budget& upstream_selector::budget(std::string const& name)
{
    return group(name).budget;
}

upstream_selector::group_state& upstream_selector::group(std::string const& name)
{
    auto it = groups_.find(name);
    if (it == groups_.end())
        it = groups_.emplace(name, group_state(kernel_.now())).first;
    auto const revision = kernel_.directory().revision() + report_revision_;
    if (it->second.revision != revision)
    {
        rebuild(name, it->second);
        it->second.revision = revision;
    }
    return it->second;
}

void upstream_selector::rebuild(std::string const& name, group_state& state)
{
    using member = std::pair<routing::upstream_id, std::string>;
    std::map<runtime::held_model, std::vector<member>> members;
    std::size_t size = 0;
    for (auto const& it : kernel_.directory().candidates(name))
    {
        if (it.role != "agent")
            continue;
        ++size;
        auto const known = reports_.find(it.id);
        bool const current = known != reports_.end() && known->second.ready &&
                             known->second.name == membership::to_string({it.id, it.incarnation});
        if (!current)
            continue;
        member const entry{ids_.intern(it.id), it.id};
        members[runtime::held_model{}].push_back(entry);
        for (auto const& model : known->second.models)
            members[model].push_back(entry);
    }
    state.pools.clear();
    for (auto const& it : members)
        state.pools.emplace(it.first, routing::candidate_pool(it.second));
    state.ejection.set_group_size(size);
}

void upstream_selector::connect()
{
    auto& directory = kernel_.directory();
    if (connected_revision_ == directory.revision())
        return;
    connected_revision_ = directory.revision();
    std::vector<membership::entry_instance> entries;
    for (auto const& it : directory.instances_with_role("entry"))
        entries.push_back({it.id, it.data_centre});
    auto const& own = kernel_.settings();
    membership::peer_subset const subset(std::move(entries), {});
    bool const listed = directory.find(own.instance).has_value();
    std::set<std::string> wanted;
    for (auto const& it : directory.instances_with_role("agent"))
    {
        // An entry that the lagging list does not show yet connects everywhere, so it serves at
        // once.
        if (listed && !subset.connects(own.instance, it.id))
            continue;
        base::error ignored;
        auto const address = runtime::parse_address("address", it.address, ignored);
        if (!address)
            continue;
        auto const name = membership::to_string({it.id, it.incarnation});
        wanted.insert(name);
        kernel_.peers().ensure(name, *address);
    }
    // A usable connection stays even if the lagging list has lost its agent: streams may run on it.
    kernel_.peers().retain(
        [this, &wanted](std::string const& name)
        { return wanted.contains(name) || kernel_.peers().find(name) != nullptr; });
}

} // namespace savorymount::entry
