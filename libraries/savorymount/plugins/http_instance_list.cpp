#include <savorymount/runtime/http_fetch.hpp>
#include <savorymount/runtime/plugin_registry.hpp>

#include <utility>

namespace savorymount::plugins
{
namespace
{

using namespace std::chrono_literals;

constexpr base::duration connect_timeout = 1s;
constexpr base::duration answer_timeout = 3s;
constexpr std::size_t max_list_bytes = std::size_t{16} * 1024 * 1024;

std::string text_field(nlohmann::json const& object, char const* name)
{
    auto const it = object.find(name);
    return it != object.end() && it->is_string() ? it->get<std::string>() : std::string();
}

std::optional<std::vector<runtime::instance_record>> parse_list(std::string const& text)
{
    auto const parsed = nlohmann::json::parse(text, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("instances") || !parsed["instances"].is_array())
        return std::nullopt;
    std::vector<runtime::instance_record> out;
    for (auto const& it : parsed["instances"])
    {
        if (!it.is_object() || text_field(it, "id").empty())
            continue;
        out.push_back({.id = text_field(it, "id"),
                       .role = text_field(it, "role"),
                       .address = text_field(it, "address"),
                       .status_address = text_field(it, "status_address"),
                       .data_centre = text_field(it, "data_centre"),
                       .group = text_field(it, "group"),
                       .state = text_field(it, "state")});
    }
    return out;
}

void read_list(runtime::event_loop& loop, runtime::network_address const& address,
               runtime::instance_list::read_done done)
{
    runtime::http_call_request request;
    request.address = address;
    request.method = "GET";
    request.target = "/instances";
    request.connect_timeout = connect_timeout;
    request.idle_timeout = answer_timeout;
    runtime::http_fetch(
        loop, std::move(request), max_list_bytes,
        [done = std::move(done)](std::optional<runtime::http_answer> const& answer,
                                 std::optional<runtime::http_failure> const& failure)
        {
            if (failure)
            {
                done(std::nullopt, failure->reason);
                return;
            }
            auto list = answer->status == 200 ? parse_list(answer->body) : std::nullopt;
            base::error reason;
            if (!list)
                reason = {base::error_kind::unavailable, "the instance list answered with status " +
                                                             std::to_string(answer->status) +
                                                             "; check its address in the settings"};
            done(std::move(list), reason);
        });
}

runtime::instance_list make_list(runtime::event_loop& loop, runtime::network_address const& address)
{
    runtime::instance_list out;
    out.read = [&loop, address](runtime::instance_list::read_done done)
    {
        read_list(loop, address, std::move(done));
    };
    return out;
}

bool const registered =
    runtime::plugin_registry<runtime::instance_list>::instance().add("http", make_list);

} // namespace
} // namespace savorymount::plugins
