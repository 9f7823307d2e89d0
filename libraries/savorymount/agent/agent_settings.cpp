#include <savorymount/agent/agent_settings.hpp>

#include <utility>

namespace savorymount::agent
{

void declare_agent_settings(runtime::settings_parser& parser)
{
    runtime::declare_kernel_settings(parser);
    parser.add("group", std::nullopt, "upstream group of the upstream beside this agent")
        .add("upstream-plugin", "model", "plug-in for the upstream: model or plain")
        .add("upstream-address", std::nullopt, "IP:port of the upstream")
        .add("concurrency", "16", "requests that run at the upstream at the same time")
        .add("upstream-idle-seconds", "60",
             "longest silence of the upstream while it runs a request; 0 for no limit");
}

std::optional<agent_settings> parse_agent_settings(runtime::parsed_settings const& settings,
                                                   base::error& reason)
{
    auto kernel = runtime::parse_kernel_settings(settings, "agent", reason);
    if (!kernel)
        return std::nullopt;
    agent_settings out;
    out.kernel = std::move(*kernel);
    out.kernel.group = settings.text("group");
    out.upstream_plugin = settings.text("upstream-plugin");
    auto const address =
        runtime::parse_address("upstream-address", settings.text("upstream-address"), reason);
    auto const concurrency =
        runtime::parse_number("concurrency", settings.text("concurrency"), 1, 4096, reason);
    auto const idle = runtime::parse_number(
        "upstream-idle-seconds", settings.text("upstream-idle-seconds"), 0, 3600, reason);
    if (!address || !concurrency || !idle)
        return std::nullopt;
    out.upstream_address = *address;
    out.concurrency = static_cast<std::uint32_t>(*concurrency);
    out.upstream_idle_timeout = std::chrono::seconds(*idle);
    return out;
}

} // namespace savorymount::agent
