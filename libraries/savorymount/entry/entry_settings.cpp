#include <savorymount/entry/entry_settings.hpp>

#include <utility>

namespace savorymount::entry
{

void declare_entry_settings(runtime::settings_parser& parser)
{
    runtime::declare_kernel_settings(parser);
    parser.add("http-listen", "127.0.0.1:8080", "IP:port for callers")
        .add("max-body-bytes", "16777216", "longest request body")
        .add("start-deadline-seconds", "30", "how long a request may wait for its upstream");
}

std::optional<entry_settings> parse_entry_settings(runtime::parsed_settings const& settings,
                                                   base::error& reason)
{
    auto kernel = runtime::parse_kernel_settings(settings, "entry", reason);
    if (!kernel)
        return std::nullopt;
    entry_settings out;
    out.kernel = std::move(*kernel);
    auto const listen = runtime::parse_address("http-listen", settings.text("http-listen"), reason);
    auto const body = runtime::parse_number("max-body-bytes", settings.text("max-body-bytes"), 1024,
                                            std::int64_t{24} * 1024 * 1024, reason);
    auto const deadline = runtime::parse_number(
        "start-deadline-seconds", settings.text("start-deadline-seconds"), 1, 3600, reason);
    if (!listen || !body || !deadline)
        return std::nullopt;
    out.http_listen = *listen;
    out.max_body_bytes = static_cast<std::size_t>(*body);
    out.start_deadline = std::chrono::seconds(*deadline);
    return out;
}

} // namespace savorymount::entry
