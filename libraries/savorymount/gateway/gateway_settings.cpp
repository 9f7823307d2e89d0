#include <savorymount/base/digest.hpp>
#include <savorymount/gateway/gateway_settings.hpp>

#include <algorithm>
#include <cmath>
#include <random>

namespace savorymount::gateway
{
namespace
{

constexpr std::int64_t max_time_ms = 600'000;
constexpr double max_relay_weight = 1e9;
constexpr double min_memory_mb = 32;
constexpr double max_memory_mb = 1e6;
// What running requests keep of their heads may use this share of the process's memory.
constexpr double request_memory_share = 0.1;
// Responses may use this share of the process's memory.
constexpr double response_memory_share = 0.23;
constexpr std::int64_t max_size_kib = std::int64_t{1024} * 1024;

/// Parses settings one by one and records whether all of them are valid.
class settings_reader
{
public:
    settings_reader(runtime::parsed_settings const& settings, base::error& reason)
        : settings_(settings), reason_(reason)
    {
    }

    bool is_valid() const { return valid_; }

    std::string const& text(std::string const& name) const { return settings_.text(name); }

    runtime::network_address address(std::string const& name)
    {
        return value_or_default(runtime::parse_address(name, text(name), reason_));
    }

    std::int64_t number(std::string const& name, std::int64_t min, std::int64_t max)
    {
        return value_or_default(runtime::parse_number(name, text(name), min, max, reason_));
    }

    base::duration milliseconds(std::string const& name)
    {
        return std::chrono::milliseconds(number(name, 1, max_time_ms));
    }

    /// A size that is set in KiB, in bytes.
    std::size_t kibibytes(std::string const& name)
    {
        return static_cast<std::size_t>(number(name, 1, max_size_kib)) * 1024;
    }

    double decimal(std::string const& name, double min, double max)
    {
        return value_or_default(runtime::parse_decimal(name, text(name), min, max, reason_));
    }

    bool boolean(std::string const& name)
    {
        return value_or_default(runtime::parse_truth(name, text(name), reason_));
    }

private:
    template <typename T>
    T value_or_default(std::optional<T> value)
    {
        valid_ = valid_ && value.has_value();
        return value.value_or(T{});
    }

    runtime::parsed_settings const& settings_;
    base::error& reason_;
    bool valid_ = true;
};

std::string make_incarnation()
{
    std::random_device device;
    return base::to_hex(std::uint64_t{device()} << 32 | device());
}

} // namespace

void declare_gateway_settings(runtime::settings_parser& parser)
{
    parser.add("instance", std::nullopt, "name of this instance")
        .add("incarnation", "", "name of this process start; random when empty")
        .add("data-centre", std::nullopt, "data centre of this instance")
        .add("http-listen", std::nullopt, "IP:port for callers")
        .add("ready-listen", std::nullopt, "IP:port of the readiness check")
        .add("metrics-listen", std::nullopt, "IP:port of the metrics")
        .add("peer-listen", std::nullopt, "IP:port for UDP reports from the other instances")
        .add("platform-plugin", "users-platform", "name of the platform plug-in")
        .add("store-address", std::nullopt, "IP:port of the platform's store")
        .add("first-start", "false", "whether the whole deployment starts for the first time")
        .add("relay-weight", "0",
             "suitability as the relay of the data centre, for example the link in Mbit/s; the "
             "highest goes first")
        .add("grace-s", "8", "seconds between SIGTERM and SIGKILL")
        .add("lease-ms", "3000", "duration of the leader lease for weight rollouts, milliseconds")
        .add("version-ms", "8000",
             "milliseconds after a new weight version is published in which requests may start on "
             "older weights")
        .add("drain-ms", "2000", "milliseconds in which a draining upstream may get new requests")
        .add("retry-ratio", "0.2", "retries per request, over all instances")
        .add("retry-slack", "50",
             "retries per window that are allowed at any load, over all instances")
        .add("retry-window-s", "10", "window of the two settings above, seconds")
        .add("quota-window-s", "0",
             "seconds over which a workspace's rate and burst are counted; 0 means every interval")
        .add(
            "quota-overshoot-tokens", "0",
            "tokens by which a workspace may exceed its limit while reports between many instances "
            "are on the way")
        .add("loading-at-once", "0",
             "engines that may load weights at the same time; 0 derives it from the number of "
             "engines")
        .add(
            "order-by-urgency", "false",
            "whether requests wait or are refused in the order of their priority while the engines "
            "of a service can't begin all of them")
        .add("response-body-kib", "4096", "largest body of a response that is no stream, KiB")
        .add("response-event-kib", "256", "largest event of a stream, KiB")
        .add("response-memory-kib", "24576",
             "memory for bodies and incomplete events of all requests, KiB")
        .add("response-overhead-kib", "256",
             "heads, interim responses, trailers, chunk extensions and responses to other requests "
             "that one call may receive, KiB")
        .add("memory-mb", "110",
             "memory that the process may use, MB; bounds request bodies and responses")
        .add("log-lines", "200", "log lines per second");
}

std::optional<gateway_settings> parse_gateway_settings(runtime::parsed_settings const& settings,
                                                       base::error& reason)
{
    settings_reader reader(settings, reason);
    gateway_settings out;
    out.instance = reader.text("instance");
    out.incarnation = reader.text("incarnation");
    if (out.incarnation.empty())
        out.incarnation = make_incarnation();
    out.data_centre = reader.text("data-centre");
    out.http_listen = reader.address("http-listen");
    out.ready_listen = reader.address("ready-listen");
    out.metrics_listen = reader.address("metrics-listen");
    out.peer_listen = reader.address("peer-listen");
    out.platform_plugin = reader.text("platform-plugin");
    out.store_address = reader.address("store-address");
    out.first_start = reader.boolean("first-start");
    out.relay_weight =
        static_cast<std::uint32_t>(reader.decimal("relay-weight", 0, max_relay_weight));
    out.shutdown_grace_period = std::chrono::milliseconds(
        static_cast<std::int64_t>(std::llround(reader.decimal("grace-s", 1, 600) * 1000)));
    out.leader_lease = reader.milliseconds("lease-ms");
    out.max_old_version_time = reader.milliseconds("version-ms");
    out.max_drain_time = reader.milliseconds("drain-ms");
    out.retries.ratio = reader.decimal("retry-ratio", 0, 10);
    out.retries.slack = reader.decimal("retry-slack", 0, 1'000'000);
    out.retries.window = std::chrono::milliseconds(
        static_cast<std::int64_t>(std::llround(reader.decimal("retry-window-s", 1, 3600) * 1000)));
    out.quota_window = std::chrono::milliseconds(
        static_cast<std::int64_t>(std::llround(reader.decimal("quota-window-s", 0, 3600) * 1000)));
    out.quota_overshoot_tokens = reader.decimal("quota-overshoot-tokens", 0, 1e12);
    out.max_concurrent_loads =
        static_cast<std::size_t>(reader.number("loading-at-once", 0, 10'000));
    out.order_by_urgency = reader.boolean("order-by-urgency");
    out.responses = {reader.kibibytes("response-body-kib"), reader.kibibytes("response-event-kib"),
                     reader.kibibytes("response-memory-kib")};
    out.max_response_overhead_bytes = reader.kibibytes("response-overhead-kib");
    out.log_lines_per_second = static_cast<std::size_t>(reader.number("log-lines", 1, 100'000));
    out.memory_bytes =
        static_cast<std::size_t>(reader.decimal("memory-mb", min_memory_mb, max_memory_mb) * 1e6);
    out.responses.max_total_bytes = std::min(
        out.responses.max_total_bytes,
        static_cast<std::size_t>(static_cast<double>(out.memory_bytes) * response_memory_share));
    out.request_memory_bytes =
        static_cast<std::size_t>(static_cast<double>(out.memory_bytes) * request_memory_share);
    if (!reader.is_valid())
        return std::nullopt;
    return out;
}

} // namespace savorymount::gateway
