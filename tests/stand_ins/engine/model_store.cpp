#include <algorithm>
#include <tests/stand_ins/engine/model_store.hpp>

namespace savorymount::stand_ins
{
namespace
{

// A busy weight store stalls the load until a download is let through.
constexpr base::duration retry_delay = std::chrono::milliseconds(50);

constexpr int ok_status = 200;

} // namespace

model_store::model_store(runtime::event_loop& loop, options const& chosen)
    : loop_(loop), timers_(loop), options_(chosen)
{
}

bool model_store::holds(model_name const& wanted) const
{
    return std::any_of(loaded_.begin(), loaded_.end(),
                       [&](model_name const& it)
                       {
                           return it.model == wanted.model && it.adapter == wanted.adapter &&
                                  (wanted.version.empty() || it.version == wanted.version);
                       });
}

void model_store::handle_order(exchange_ptr const& exchange)
{
    auto const order = parse_object(exchange);
    if (!order)
        return;
    std::uint64_t fence = 0;
    std::string kind;
    std::string role;
    model_name name;
    try
    {
        fence = order->value("fence", std::uint64_t{0});
        kind = order->value("kind", "");
        role = order->value("role", "");
        name = {order->value("model", ""), order->value("adapter", ""),
                order->value("version", "")};
    }
    catch (json::exception const& ec)
    {
        respond_error(exchange, 400, ec.what());
        return;
    }
    if (options_.checks_fencing && fence < fence_)
    {
        respond(exchange, 409, {{"fence", fence_}});
        return;
    }
    if (kind != "load" && kind != "unload" && kind != "role")
    {
        respond_error(exchange, 400, "kind must be load, unload or role");
        return;
    }
    fence_ = std::max(fence_, fence);
    if (kind == "load")
        load(name);
    if (kind == "role")
        role_ = role;
    if (kind == "unload")
    {
        loaded_.erase(name);
        loading_.erase(name);
    }
    respond(exchange, 200, {{"fence", fence_}});
}

json model_store::loading() const
{
    std::set<model_name> names;
    for (auto const& it : loading_)
        names.insert(it.first);
    return describe(names);
}

json model_store::describe(std::set<model_name> const& names)
{
    json out = json::array();
    for (auto const& it : names)
        out.push_back({{"model", it.model}, {"adapter", it.adapter}, {"version", it.version}});
    return out;
}

void model_store::load(model_name const& name)
{
    if (loaded_.count(name) > 0 || loading_.count(name) > 0)
        return;
    loading_[name] = nullptr;
    run_after(timers_, options_.load_time, [this, name] { fetch(name); });
}

void model_store::fetch(model_name const& name)
{
    if (loading_.count(name) == 0)
        return;
    if (!options_.weights)
    {
        handle_fetched(name, true);
        return;
    }
    runtime::http_call_request request;
    request.address = *options_.weights;
    request.method = "GET";
    request.target = "/weights/" + name.model + "/" + name.version;
    auto const status = std::make_shared<int>(0);
    loading_[name] = std::make_unique<runtime::http_call>(
        loop_, std::move(request),
        runtime::http_call_hooks{
            [status](int received, runtime::http_headers const&) { *status = received; }, nullptr,
            [this, name, status](std::optional<runtime::http_failure> const& failure)
            {
                handle_fetched(name, !failure && *status == ok_status);
            }});
}

void model_store::handle_fetched(model_name const& name, bool fetched)
{
    if (!fetched)
    {
        run_after(timers_, retry_delay, [this, name] { fetch(name); });
        return;
    }
    loading_.erase(name);
    loaded_.insert(name);
}

} // namespace savorymount::stand_ins
