#include <savorymount/runtime/http_fetch.hpp>
#include <savorymount/runtime/plugin_registry.hpp>

#include <nlohmann/json.hpp>

#include <utility>

namespace savorymount::plugins
{
namespace
{

using namespace std::chrono_literals;

constexpr base::duration connect_timeout = 2s;
constexpr base::duration report_timeout = 2s;
constexpr std::size_t max_report_bytes = std::size_t{4} * 1024 * 1024;

runtime::http_call_request control_request(runtime::network_address const& address,
                                           std::string method, std::string target,
                                           std::string body = {})
{
    runtime::http_call_request out;
    out.address = address;
    out.method = std::move(method);
    out.target = std::move(target);
    out.headers = {{"content-type", "application/json"}};
    out.body = std::move(body);
    out.connect_timeout = report_timeout;
    out.idle_timeout = report_timeout;
    return out;
}

/// Salts the engine's cache, so that it never shares blocks between workspaces or weight versions.
std::string with_cache_salt(std::string const& body, std::string const& salt)
{
    auto parsed = nlohmann::json::parse(body, nullptr, false);
    if (!parsed.is_object())
        return body;
    parsed["cache_salt"] = salt;
    return parsed.dump();
}

std::unique_ptr<runtime::http_call> run(runtime::event_loop& loop,
                                        runtime::network_address const& address,
                                        runtime::upstream_request const& request,
                                        runtime::http_call_hooks hooks)
{
    runtime::http_call_request out;
    out.address = address;
    out.method = request.method;
    out.target = request.target;
    out.headers = request.headers;
    out.headers.push_back({"x-request-id", request.id});
    out.headers.push_back({"x-priority", std::to_string(request.priority)});
    if (request.resume_from > 0)
        out.headers.push_back({"x-resume-from", std::to_string(request.resume_from)});
    out.body = request.cache_salt.empty() ? request.body
                                          : with_cache_salt(request.body, request.cache_salt);
    out.connect_timeout = connect_timeout;
    out.idle_timeout = request.idle_timeout;
    return std::make_unique<runtime::http_call>(loop, std::move(out), std::move(hooks));
}

std::string text_field(nlohmann::json const& object, char const* name)
{
    auto const it = object.find(name);
    return it != object.end() && it->is_string() ? it->get<std::string>() : std::string();
}

template <typename Number>
Number number_field(nlohmann::json const& object, char const* name)
{
    auto const it = object.find(name);
    return it != object.end() && it->is_number_unsigned() ? it->get<Number>() : Number{0};
}

std::optional<runtime::upstream_report> parse_report(std::string const& text)
{
    auto const parsed = nlohmann::json::parse(text, nullptr, false);
    if (!parsed.is_object())
        return std::nullopt;
    runtime::upstream_report out;
    out.engine = text_field(parsed, "engine");
    out.running = number_field<std::uint32_t>(parsed, "running");
    out.waiting = number_field<std::uint32_t>(parsed, "waiting");
    out.cached_blocks = number_field<std::uint64_t>(parsed, "cached_blocks");
    auto const models = parsed.find("models");
    if (models == parsed.end() || !models->is_array())
        return out;
    for (auto const& it : *models)
    {
        if (it.is_object())
            out.models.push_back(
                {text_field(it, "model"), text_field(it, "adapter"), text_field(it, "version")});
    }
    return out;
}

std::optional<runtime::cache_event_page> parse_events(std::string const& text)
{
    auto const parsed = nlohmann::json::parse(text, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("events") || !parsed["events"].is_array())
        return std::nullopt;
    runtime::cache_event_page out;
    out.engine = text_field(parsed, "engine");
    out.first = number_field<std::uint64_t>(parsed, "first");
    out.next = number_field<std::uint64_t>(parsed, "next");
    for (auto const& it : parsed["events"])
    {
        if (!it.is_object())
            continue;
        out.events.push_back({.sequence = number_field<std::uint64_t>(it, "sequence"),
                              .stored = text_field(it, "kind") == "stored",
                              .block = text_field(it, "block"),
                              .request = text_field(it, "request"),
                              .index = number_field<std::uint32_t>(it, "index")});
    }
    return out;
}

/// Fetches a document from the upstream and parses it.
template <typename Result>
void fetch_parsed(runtime::event_loop& loop, runtime::http_call_request const& request,
                  std::optional<Result> (*parse)(std::string const&),
                  std::function<void(std::optional<Result>, base::error const&)> done)
{
    auto const target = request.target;
    runtime::http_fetch(
        loop, request, max_report_bytes,
        [parse, target, done = std::move(done)](std::optional<runtime::http_answer> const& answer,
                                                std::optional<runtime::http_failure> const& failure)
        {
            if (failure)
            {
                done(std::nullopt, failure->reason);
                return;
            }
            auto parsed = answer->status == 200 ? parse(answer->body) : std::nullopt;
            base::error reason;
            if (!parsed)
                reason = {base::error_kind::unavailable,
                          "the upstream sent no usable answer to " + target +
                              "; check the upstream address in the settings"};
            done(std::move(parsed), reason);
        });
}

void send_order(runtime::event_loop& loop, runtime::network_address const& address,
                runtime::upstream_order const& order, runtime::upstream_adapter::order_done done)
{
    nlohmann::json const body{{"kind", order.kind},
                              {"model", order.model.model},
                              {"adapter", order.model.adapter},
                              {"version", order.model.version},
                              {"role", order.role},
                              {"fence", order.fence}};
    runtime::http_fetch(
        loop, control_request(address, "POST", "/orders", body.dump()), max_report_bytes,
        [done = std::move(done)](std::optional<runtime::http_answer> const& answer,
                                 std::optional<runtime::http_failure> const& failure)
        {
            if (failure)
                done(false, failure->reason);
            else if (answer->status == 200)
                done(true, {});
            else
                done(false,
                     {base::error_kind::conflict, "the upstream refused the order with status " +
                                                      std::to_string(answer->status)});
        });
}

runtime::upstream_adapter make_plain(runtime::event_loop& loop,
                                     runtime::network_address const& address)
{
    runtime::upstream_adapter out;
    out.run =
        [&loop, address](runtime::upstream_request const& request, runtime::http_call_hooks hooks)
    {
        return run(loop, address, request, std::move(hooks));
    };
    out.report = [&loop, address](runtime::upstream_adapter::report_done done)
    {
        fetch_parsed<runtime::upstream_report>(loop, control_request(address, "GET", "/load"),
                                               parse_report, std::move(done));
    };
    out.cancel = [](std::string const&) {
    };
    return out;
}

runtime::upstream_adapter make_model(runtime::event_loop& loop,
                                     runtime::network_address const& address)
{
    auto out = make_plain(loop, address);
    out.cache_events =
        [&loop, address](std::uint64_t after, runtime::upstream_adapter::events_done done)
    {
        auto const target = "/cache/events?after=" + std::to_string(after);
        fetch_parsed<runtime::cache_event_page>(loop, control_request(address, "GET", target),
                                                parse_events, std::move(done));
    };
    out.order = [&loop, address](runtime::upstream_order const& order,
                                 runtime::upstream_adapter::order_done done)
    {
        send_order(loop, address, order, std::move(done));
    };
    out.cancel = [&loop, address](std::string const& id)
    {
        runtime::http_fetch(loop, control_request(address, "DELETE", "/v1/requests/" + id),
                            max_report_bytes, [](auto const&, auto const&) {});
    };
    return out;
}

bool const plain_registered =
    runtime::plugin_registry<runtime::upstream_adapter>::instance().add("plain", make_plain);
bool const model_registered =
    runtime::plugin_registry<runtime::upstream_adapter>::instance().add("model", make_model);

} // namespace
} // namespace savorymount::plugins
