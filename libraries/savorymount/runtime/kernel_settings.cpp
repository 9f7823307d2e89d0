#include <savorymount/base/digest.hpp>
#include <savorymount/runtime/kernel_settings.hpp>
#include <savorymount/runtime/peer_authentication.hpp>

#include <utility>

namespace savorymount::runtime
{
namespace
{

constexpr std::size_t shortest_secret = 16;
constexpr std::size_t incarnation_length = 12;

} // namespace

void declare_kernel_settings(settings_parser& parser)
{
    parser.add("instance", std::nullopt, "id of this instance in the platform's list")
        .add("incarnation", "", "random string of this process start; empty: made here")
        .add("data-centre", std::nullopt, "data centre of this instance")
        .add("listen", "127.0.0.1:0", "IP:port of the internal port")
        .add("status-listen", "127.0.0.1:0", "IP:port for /status, /metrics, /healthz, /readyz")
        .add("log-plugin", "http", "plug-in for the platform's log")
        .add("log-address", std::nullopt, "IP:port of the platform's log")
        .add("list-plugin", "http", "plug-in for the platform's instance list")
        .add("list-address", std::nullopt, "IP:port of the platform's instance list")
        .add("shared-secret", std::nullopt, "secret that peers prove, at least 16 characters", true)
        .add("log-retention-seconds", "86400", "how long the platform's log keeps a record");
}

std::optional<kernel_settings> parse_kernel_settings(parsed_settings const& settings,
                                                     std::string role, base::error& reason)
{
    kernel_settings out;
    out.role = std::move(role);
    out.instance = settings.text("instance");
    out.incarnation = settings.text("incarnation");
    if (out.incarnation.empty())
        out.incarnation = base::sha256_hex(make_nonce()).substr(0, incarnation_length);
    out.data_centre = settings.text("data-centre");
    out.log_plugin = settings.text("log-plugin");
    out.list_plugin = settings.text("list-plugin");
    out.shared_secret = settings.text("shared-secret");
    if (out.instance.empty() || out.instance.find('#') != std::string::npos)
    {
        reason = {
            base::error_kind::invalid_input,
            "setting instance is empty or contains '#'; give the id from the platform's list"};
        return std::nullopt;
    }
    if (out.shared_secret.size() < shortest_secret)
    {
        reason = {base::error_kind::invalid_input,
                  "setting shared-secret is too short; give at least 16 characters"};
        return std::nullopt;
    }
    auto const listen = parse_address("listen", settings.text("listen"), reason);
    auto const status = parse_address("status-listen", settings.text("status-listen"), reason);
    auto const log = parse_address("log-address", settings.text("log-address"), reason);
    auto const list = parse_address("list-address", settings.text("list-address"), reason);
    auto const retention =
        parse_number("log-retention-seconds", settings.text("log-retention-seconds"), 1,
                     std::int64_t{10} * 365 * 86400, reason);
    if (!listen || !status || !log || !list || !retention)
        return std::nullopt;
    out.listen = *listen;
    out.status_listen = *status;
    out.log_address = *log;
    out.list_address = *list;
    out.log_retention = std::chrono::seconds(*retention);
    return out;
}

} // namespace savorymount::runtime
