#pragma once

#include <savorymount/runtime/event_loop.hpp>
#include <savorymount/runtime/http_server.hpp>
#include <savorymount/runtime/settings_parser.hpp>
#include <savorymount/runtime/timer_service.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>

/// What the stand-ins share: start-up, JSON responses and request targets.
namespace savorymount::stand_ins
{

using nlohmann::json;
using exchange_ptr = std::shared_ptr<runtime::http_exchange>;
using exchange_handler = std::function<void(exchange_ptr const&)>;

/// Path and query parameters of a request target; nothing is decoded.
struct request_target
{
    std::string path;
    std::map<std::string, std::string> query;

    /// A query parameter as a number; `fallback` if it is missing or no number.
    std::uint64_t number(std::string const& name, std::uint64_t fallback) const
    {
        auto const it = query.find(name);
        if (it == query.end() || it->second.empty() ||
            it->second.find_first_not_of("0123456789") != std::string::npos)
            return fallback;
        return std::strtoull(it->second.c_str(), nullptr, 10);
    }
};

inline request_target parse_target(std::string const& target)
{
    request_target out;
    auto const question = target.find('?');
    out.path = target.substr(0, question);
    std::string rest = question == std::string::npos ? "" : target.substr(question + 1);
    while (!rest.empty())
    {
        auto const end = rest.find('&');
        std::string const pair = rest.substr(0, end);
        auto const equals = pair.find('=');
        out.query[pair.substr(0, equals)] =
            equals == std::string::npos ? "" : pair.substr(equals + 1);
        rest = end == std::string::npos ? "" : rest.substr(end + 1);
    }
    return out;
}

/// The path below `prefix`, or nothing if the path is not below it.
inline std::optional<std::string> path_below(std::string const& path, std::string const& prefix)
{
    if (path.size() <= prefix.size() || path.compare(0, prefix.size(), prefix) != 0)
        return std::nullopt;
    return path.substr(prefix.size());
}

inline void respond(exchange_ptr const& exchange, int status, json const& body)
{
    exchange->respond(status, {{"Content-Type", "application/json"}}, body.dump() + "\n");
}

inline void respond_error(exchange_ptr const& exchange, int status, std::string const& message)
{
    respond(exchange, status, {{"error", {{"message", message}}}});
}

/// The body as a JSON object; otherwise responds with 400.
inline std::optional<json> parse_object(exchange_ptr const& exchange)
{
    json out = json::parse(exchange->body(), nullptr, false);
    if (out.is_object())
        return out;
    respond_error(exchange, 400, "the body must be a JSON object");
    return std::nullopt;
}

/// A new string on each start of a process.
inline std::string make_process_id()
{
    std::random_device device;
    return std::to_string(device()) + "-" + std::to_string(device());
}

/// Calls `hook` once after `delay`; needs no owner.
inline void run_after(runtime::timer_service& timers, base::duration delay,
                      std::function<void()> hook)
{
    auto const owner = std::make_shared<runtime::timer_service::subscription>();
    *owner = timers.after(delay,
                          [owner, hook = std::move(hook)]
                          {
                              auto const ended = std::move(*owner);
                              hook();
                          });
}

/// A whole-number setting, `least` or above; ends the process with 2 on any other text.
inline std::int64_t number(runtime::parsed_settings const& settings, std::string const& name,
                           std::int64_t least = 0)
{
    base::error reason;
    auto const out =
        runtime::parse_number(name, settings.text(name), least, std::int64_t{1} << 40, reason);
    if (out)
        return *out;
    std::cerr << reason.message << "\n";
    std::exit(2);
}

inline base::duration milliseconds(runtime::parsed_settings const& settings,
                                   std::string const& name)
{
    return std::chrono::milliseconds(number(settings, name));
}

/// The settings of the command line. Ends the process with 0 after `--help`, and with 2 on a wrong
/// setting.
inline runtime::parsed_settings parse_settings(int argc, char const* const* argv,
                                               runtime::settings_parser const& parser)
{
    base::error reason;
    auto out = parser.parse(argc, argv, reason);
    if (!out)
    {
        std::cerr << reason.message << "\n";
        std::exit(2);
    }
    if (out->help)
    {
        std::cout << parser.help();
        std::exit(0);
    }
    return std::move(*out);
}

/// Parses the settings, serves HTTP on `--port` of `--host` and runs until SIGTERM. `make` builds
/// the handler and may print further lines once the first line is printed.
inline int run(int argc, char const* const* argv, runtime::settings_parser& parser,
               std::function<exchange_handler(runtime::event_loop&,
                                              runtime::parsed_settings const&)> const& make)
{
    parser.add("host", "127.0.0.1", "IPv4 number to listen on")
        .add("port", "0", "port to listen on; 0 lets the kernel choose");
    auto const settings = parse_settings(argc, argv, parser);
    base::error reason;
    runtime::event_loop loop;
    exchange_handler handler;
    runtime::http_server server(loop, {}, [&handler](exchange_ptr const& it) { handler(it); });
    auto const port = server.listen(
        {settings.text("host"), static_cast<std::uint16_t>(number(settings, "port"))}, reason);
    if (!port)
    {
        std::cerr << reason.message << "\n";
        return 1;
    }
    loop.on_termination([&loop] { loop.stop(); });
    std::cout << "listening port=" << *port << std::endl;
    handler = make(loop, settings);
    loop.run();
    return 0;
}

} // namespace savorymount::stand_ins
