#include <savorymount/base/random_source.hpp>

#include <chrono>
#include <stdexcept>
#include <tests/system/support/deployment.hpp>
#include <thread>
#include <utility>

namespace savorymount::tests
{
namespace
{

using namespace std::chrono_literals;
using nlohmann::json;

// Only ends a test that hangs; far above what a loaded machine needs.
constexpr auto hang_limit = 60s;
constexpr char shared_secret[] = "a shared secret of the tests";

runtime::network_address local(std::string const& port)
{
    return {"127.0.0.1", static_cast<std::uint16_t>(std::stoul(port))};
}

runtime::network_address parse(std::string const& text)
{
    base::error reason;
    auto const out = runtime::parse_address("address", text, reason);
    if (!out)
        throw std::runtime_error(reason.message);
    return *out;
}

} // namespace

deployment::deployment(deployment_options options)
    : platform("savorymount-platform-stand-in", options.platform_arguments),
      options_(std::move(options))
{
    platform_address = local(platform.wait_for_field("listening", "port"));
    for (unsigned i = 0; i < options_.engines; ++i)
    {
        std::vector<std::string> arguments{"--models", "assay::1"};
        arguments.insert(arguments.end(), options_.engine_arguments.begin(),
                         options_.engine_arguments.end());
        engines.push_back(
            start_pair("engines", "savorymount-engine-stand-in", "model", arguments, i + 1));
    }
    for (unsigned i = 0; i < options_.services; ++i)
        services.push_back(
            start_pair("services", "savorymount-service-stand-in", "plain", {}, i + 1));
    for (unsigned i = 0; i < options_.entries; ++i)
        add_entry();
    publish_contracts();
    wait_until_serving();
}

std::shared_ptr<caller_answer> deployment::prompt(std::size_t i, std::string const& workspace,
                                                  std::vector<std::string> const& levels,
                                                  bool stream, std::uint64_t max_tokens)
{
    json messages = json::array();
    for (auto const& it : levels)
        messages.push_back({{"role", "user"}, {"content", it}});
    json const body{
        {"model", "assay"}, {"messages", messages}, {"stream", stream}, {"max_tokens", max_tokens}};
    return client_.start(entry(i), "POST", "/v1/chat/completions",
                         {{"authorization", "Bearer " + key(workspace)}}, body.dump());
}

std::shared_ptr<caller_answer> deployment::book(std::size_t i, std::string const& workspace,
                                                std::string const& idempotency_key)
{
    runtime::http_headers headers{{"authorization", "Bearer " + key(workspace)}};
    if (!idempotency_key.empty())
        headers.push_back({"idempotency-key", idempotency_key});
    return client_.start(entry(i), "POST", "/bookings", headers, "{}");
}

std::uint64_t deployment::publish(json const& documents)
{
    auto const version = status(entries.front().status_address)["version"].get<std::uint64_t>();
    json const body{{"kind", "change"},
                    {"base", version},
                    {"operator", "test"},
                    {"time_ms", 0},
                    {"documents", documents}};
    json const record{{"id", "change-" + std::to_string(next_change_++)}, {"body", body}};
    auto const answer = client_.request(platform_address, "POST", "/log/append", {}, record.dump());
    return answer.json()["offset"].get<std::uint64_t>();
}

void deployment::wait_for_version(std::uint64_t version)
{
    auto const limit = std::chrono::steady_clock::now() + hang_limit;
    std::vector<std::pair<process*, runtime::network_address>> all;
    for (auto& it : engines)
        all.emplace_back(&it.agent, it.status_address);
    for (auto& it : services)
        all.emplace_back(&it.agent, it.status_address);
    for (auto& it : entries)
        all.emplace_back(&it.program, it.status_address);
    for (auto const& it : all)
    {
        while (it.first->running() && status(it.second)["version"].get<std::uint64_t>() < version)
        {
            if (std::chrono::steady_clock::now() > limit)
                throw std::runtime_error("version " + std::to_string(version) +
                                         " did not come into force: " + it.first->output());
            std::this_thread::sleep_for(10ms);
        }
    }
}

void deployment::control(runtime::network_address const& address, json const& command)
{
    client_.request(address, "POST", "/control", {}, command.dump());
}

std::map<std::string, std::uint64_t> deployment::executions()
{
    std::map<std::string, std::uint64_t> out;
    for (auto const& it : services)
    {
        auto const counts = client_.request(it.upstream_address, "GET", "/executions").json();
        for (auto const& [id, count] : counts.items())
            out[id] += count.get<std::uint64_t>();
    }
    return out;
}

json deployment::status(runtime::network_address const& address)
{
    return client_.request(address, "GET", "/status").json();
}

json deployment::contract(std::string const& workspace) const
{
    return contracts_.at("workspaces/" + workspace);
}

entry_process& deployment::add_entry()
{
    auto const id = "entry-" + std::to_string(entries.size() + 1);
    auto const incarnation = "e" + std::to_string(next_incarnation_++);
    auto arguments = common_arguments(id, incarnation);
    arguments.insert(arguments.end(), {"--http-listen", "127.0.0.1:0"});
    process program("savorymount-entry", arguments);
    auto const marker = "name=started";
    entry_process out{id, std::move(program), {}, {}};
    out.http = parse(out.program.wait_for_field(marker, "http"));
    auto const listen = out.program.wait_for_field(marker, "listen");
    auto const status_listen = out.program.wait_for_field(marker, "status");
    out.status_address = parse(status_listen);
    list(id + "#" + incarnation, "entry", listen, status_listen, "");
    entries.push_back(std::move(out));
    return entries.back();
}

void deployment::replace_agent(upstream_pair& pair)
{
    control(platform_address, {{"remove_instance", pair.agent_id + "#" + pair.incarnation}});
    start_agent(pair, pair.group == "engines" ? "model" : "plain");
}

upstream_pair deployment::start_pair(std::string const& group, std::string const& program,
                                     std::string const& plugin,
                                     std::vector<std::string> const& arguments, unsigned number)
{
    process upstream(program, arguments);
    auto const address = local(upstream.wait_for_field("listening", "port"));
    upstream_pair out{.agent_id = group + "-" + std::to_string(number),
                      .incarnation = {},
                      .group = group,
                      .upstream = std::move(upstream),
                      .upstream_address = address,
                      .agent = process("savorymount-agent", {"--help"}),
                      .agent_address = {},
                      .status_address = {}};
    start_agent(out, plugin);
    return out;
}

void deployment::start_agent(upstream_pair& pair, std::string const& plugin)
{
    pair.incarnation = "a" + std::to_string(next_incarnation_++);
    auto arguments = common_arguments(pair.agent_id, pair.incarnation);
    arguments.insert(arguments.end(),
                     {"--group", pair.group, "--upstream-plugin", plugin, "--upstream-address",
                      runtime::to_string(pair.upstream_address), "--concurrency",
                      std::to_string(options_.concurrency)});
    pair.agent = process("savorymount-agent", arguments);
    auto const marker = "name=started";
    auto const listen = pair.agent.wait_for_field(marker, "listen");
    auto const status_listen = pair.agent.wait_for_field(marker, "status");
    pair.agent_address = parse(listen);
    pair.status_address = parse(status_listen);
    auto const reachable = options_.relayed ? start_relay(pair, listen) : listen;
    list(pair.agent_id + "#" + pair.incarnation, "agent", reachable, status_listen, pair.group);
}

std::string deployment::start_relay(upstream_pair& pair, std::string const& target)
{
    pair.relay.emplace("savorymount-fault-relay", std::vector<std::string>{"--target", target});
    pair.relay_control = local(pair.relay->wait_for_field("listening", "port"));
    return "127.0.0.1:" + pair.relay->wait_for_field("relaying", "port");
}

std::vector<std::string> deployment::common_arguments(std::string const& id,
                                                      std::string const& incarnation)
{
    auto const platform_text = runtime::to_string(platform_address);
    return {"--instance",      id,
            "--incarnation",   incarnation,
            "--data-centre",   "dc-1",
            "--log-address",   platform_text,
            "--list-address",  platform_text,
            "--shared-secret", shared_secret};
}

void deployment::list(std::string const& id, std::string const& role, std::string const& address,
                      std::string const& status_address, std::string const& group)
{
    control(platform_address, {{"add_instance",
                                {{"id", id},
                                 {"role", role},
                                 {"address", address},
                                 {"status_address", status_address},
                                 {"data_centre", "dc-1"},
                                 {"group", group},
                                 {"state", "live"}}}});
}

void deployment::publish_contracts()
{
    base::random_source random(1);
    configuration::random_bytes const bytes = [&random](std::size_t size)
    {
        std::string out;
        for (std::size_t i = 0; i < size; ++i)
            out += static_cast<char>(random.uniform_below(256));
        return out;
    };
    contracts_ = json::object();
    for (std::string const workspace : {"large", "small"})
    {
        auto const key = configuration::generate_caller_key(bytes);
        keys_[workspace] = configuration::to_string(key);
        contracts_["workspaces/" + workspace] = {
            {"workspace", workspace},
            {"rate_tokens_per_second", 100000},
            {"burst_tokens", 1000000},
            {"weight", 1},
            {"routes", {"chat", "bookings"}},
            {"keys", {configuration::to_json(configuration::make_key_record(key, bytes))}}};
    }
    contracts_["routes/chat"] = {{"route", "chat"},    {"path_prefix", "/v1/chat/completions"},
                                 {"group", "engines"}, {"kind", "model"},
                                 {"open", false},      {"repeatable_methods", {"GET"}}};
    contracts_["routes/bookings"] = {{"route", "bookings"}, {"path_prefix", "/bookings"},
                                     {"group", "services"}, {"kind", "plain"},
                                     {"open", false},       {"repeatable_methods", {"GET", "HEAD"}},
                                     {"cost_tokens", 10}};
    contracts_["groups/engines"] = {{"group", "engines"},
                                    {"kind", "model"},
                                    {"checks_fencing", true},
                                    {"loading_at_once", 3},
                                    {"models",
                                     {{{"model", "assay"},
                                       {"adapter", ""},
                                       {"version", "1"},
                                       {"engines", 2},
                                       {"max_answer_tokens", 1024}}}}};
    contracts_["groups/services"] = {{"group", "services"},
                                     {"kind", "plain"},
                                     {"checks_fencing", false},
                                     {"loading_at_once", 1},
                                     {"models", json::array()}};
    wait_for_version(publish(contracts_));
}

void deployment::wait_until_serving()
{
    for (std::size_t i = 0; i < entries.size(); ++i)
    {
        for (std::string const workspace : {"large", "small"})
        {
            while (options_.engines > 0)
            {
                auto const answer = prompt(i, workspace, {"warm up"}, false, 1);
                client_.wait({answer});
                if (answer->status == 200)
                    break;
                std::this_thread::sleep_for(50ms);
            }
            while (options_.services > 0)
            {
                auto const answer = book(i, workspace);
                client_.wait({answer});
                if (answer->status == 200 || answer->status == 201)
                    break;
                std::this_thread::sleep_for(50ms);
            }
        }
    }
}

} // namespace savorymount::tests
