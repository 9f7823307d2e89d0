#include <savorymount/base/digest.hpp>
#include <savorymount/base/random_source.hpp>
#include <savorymount/configuration/configuration_log.hpp>
#include <savorymount/gateway/route_history.hpp>
#include <savorymount/limits/agent_list.hpp>
#include <savorymount/limits/grant_pool.hpp>
#include <savorymount/limits/workspace_bucket.hpp>
#include <savorymount/membership/peer_subset.hpp>
#include <savorymount/queueing/fair_queue.hpp>
#include <savorymount/routing/engine_cache_index.hpp>
#include <savorymount/routing/engine_placement.hpp>
#include <savorymount/routing/router.hpp>
#include <savorymount/wire/savorymount.capnp.h>

#include <benchmark/benchmark.h>
#include <capnp/message.h>
#include <capnp/serialize.h>

#include <memory>
#include <string>
#include <vector>

// Slopes behind docs/CAPACITY.md: each decision at three sizes or more, with the fitted complexity
// and its error, and the encoded size of each message between instances.

namespace
{

using namespace savorymount;
using nlohmann::json;

base::time_point at(std::int64_t microseconds)
{
    return base::time_point(base::duration(microseconds));
}

json contract(std::size_t number, std::size_t weight)
{
    return {{"workspace", "workspace-" + std::to_string(number)},
            {"rate_tokens_per_second", 2000},
            {"burst_tokens", 40000},
            {"weight", weight},
            {"routes", {"chat"}},
            {"keys",
             {{{"id", "key" + std::to_string(number)},
               {"salt", std::string(32, 'a')},
               {"digest", std::string(64, 'b')}}}}};
}

json base_documents(std::size_t workspaces)
{
    json out{{"routes/chat",
              {{"route", "chat"},
               {"path_prefix", "/v1/chat/completions"},
               {"group", "engines"},
               {"kind", "model"},
               {"open", false},
               {"repeatable_methods", {"GET"}}}},
             {"groups/engines",
              {{"group", "engines"},
               {"kind", "model"},
               {"checks_fencing", true},
               {"loading_at_once", 3},
               {"models",
                {{{"model", "m"},
                  {"adapter", ""},
                  {"version", "1"},
                  {"engines", 1},
                  {"max_answer_tokens", 512}}}}}}};
    for (std::size_t i = 0; i < workspaces; ++i)
        out["workspaces/workspace-" + std::to_string(i)] = contract(i, 1);
    return out;
}

json change(std::uint64_t base, json const& documents)
{
    return {{"kind", "change"},
            {"base", base},
            {"operator", "slopes"},
            {"time_ms", 0},
            {"documents", documents}};
}

/// Folding one change of one contract, by the number of workspaces.
void fold_change(benchmark::State& state)
{
    configuration::configuration_log fold;
    fold.apply(1, "first", change(0, base_documents(static_cast<std::size_t>(state.range(0)))));
    std::uint64_t offset = 2;
    for (auto _ : state)
    {
        json const documents{{"workspaces/workspace-0", contract(0, 1 + offset % 100)}};
        fold.apply(offset, "change-" + std::to_string(offset), change(fold.version(), documents));
        ++offset;
    }
    state.counters["document_bytes"] = static_cast<double>(fold.content().serialize().size());
    state.SetComplexityN(state.range(0));
}
BENCHMARK(fold_change)->Arg(66)->Arg(165)->Arg(330)->Arg(660)->Complexity(benchmark::oN);

/// Choosing the owner candidate of one workspace, by the number of agents in the list.
void choose_bucket_owner(benchmark::State& state)
{
    std::vector<limits::agent_list::entry> entries;
    for (std::int64_t i = 0; i < state.range(0); ++i)
        entries.push_back({"agent-" + std::to_string(i) + "#1", false});
    limits::agent_list const list(std::move(entries));
    for (auto _ : state)
        benchmark::DoNotOptimize(list.preferred_owner("workspace-17"));
    state.SetComplexityN(state.range(0));
}
BENCHMARK(choose_bucket_owner)->Arg(120)->Arg(1200)->Arg(12000)->Complexity(benchmark::oN);

/// One grant and its settlement at the bucket's owner, by the number of open grants.
void grant_and_settle(benchmark::State& state)
{
    limits::workspace_bucket bucket(at(0), 1, 4'000'000'000U, 4'000'000'000U,
                                    limits::workspace_bucket::start_level::full);
    std::int64_t now = 1;
    base::duration retry{};
    for (std::int64_t i = 0; i < state.range(0); ++i)
        benchmark::DoNotOptimize(bucket.grant(at(now), 1000, 1000, retry));
    for (auto _ : state)
    {
        auto const grant = bucket.grant(at(now), 1000, 1000, retry);
        if (grant)
            bucket.apply_usage_report(at(now), grant->id, 900, 100);
    }
    state.SetComplexityN(state.range(0));
}
BENCHMARK(grant_and_settle)->Arg(16)->Arg(256)->Arg(4096)->Complexity(benchmark::oN);

/// One routing decision for an unseen prompt of 16 blocks, by the number of upstreams.
void route(benchmark::State& state)
{
    base::random_source random(1);
    routing::router router(routing::router_options{}, random);
    std::vector<std::pair<routing::upstream_id, std::string>> members;
    for (std::int64_t i = 0; i < state.range(0); ++i)
        members.emplace_back(static_cast<routing::upstream_id>(i), "agent-" + std::to_string(i));
    routing::candidate_pool const pool(members);
    routing::candidate_set const candidates{&pool, {}};
    std::int64_t now = 1;
    for (auto _ : state)
    {
        routing::prompt_prefix prefix;
        for (unsigned i = 0; i < 16; ++i)
        {
            prefix.digests.push_back(random.next());
            prefix.block_bytes.push_back(8000);
        }
        prefix.message_ends = {4, 8, 16};
        prefix.text_bytes = 128'000;
        routing::route_request const request{&prefix, {}};
        benchmark::DoNotOptimize(router.choose(at(now), request, candidates));
        now += 10;
    }
    state.counters["state_bytes"] =
        static_cast<double>(router.memory_bytes() + pool.memory_bytes());
    state.SetComplexityN(state.range(0));
}
BENCHMARK(route)->Arg(120)->Arg(1200)->Arg(12000)->Complexity(benchmark::oLogN);

/// The choice of an engine for a prompt that begins with a part that all engines have, by the
/// number of engines. With `tells_pace`, the engines tell how long work takes on their machines.
void choose_engine(benchmark::State& state, bool tells_pace)
{
    routing::upstream_table table;
    routing::part_locations locations;
    orders::desired_weights desired;
    desired.add_version("model", 1, at(0));
    routing::prompt_description prompt;
    prompt.model = "model";
    prompt.parts = {{"rules", 2520}, {"session", 3780}, {"request", 2890}};
    auto const digests = routing::part_digests(routing::cache_salt("model", 1, ""), prompt.parts);
    for (std::int64_t i = 0; i < state.range(0); ++i)
    {
        membership::upstream_record record;
        record.id = "engine-" + std::to_string(i);
        record.service = "engines";
        record.slots = 24;
        record.weights["model"] = 1;
        locations.record_assignment(at(1), digests[0], record.id);
        auto const id = record.id;
        table.apply_listing(at(1), std::move(record));
        routing::server_load load;
        load.slots = 24;
        if (tells_pace)
            load.pace_percent = 120;
        table.load_reported(at(1), id, load);
    }
    routing::engine_pool_config pool;
    pool.service = "engines";

    routing::engine_request request;
    request.target_event_gap = std::chrono::milliseconds(200);
    request.prompt = prompt;
    for (auto _ : state)
        benchmark::DoNotOptimize(
            routing::choose_engine(at(2), pool, request, table, locations, desired));
    state.SetComplexityN(state.range(0));
}
BENCHMARK_CAPTURE(choose_engine, without_pace, false)
    ->Arg(18)
    ->Arg(180)
    ->Arg(720)
    ->Complexity(benchmark::oN);
BENCHMARK_CAPTURE(choose_engine, with_pace, true)
    ->Arg(18)
    ->Arg(180)
    ->Arg(720)
    ->Complexity(benchmark::oN);

configuration::deployment make_deployment(std::int64_t routes)
{
    configuration::deployment out;
    for (std::int64_t i = 0; i < routes; ++i)
    {
        configuration::service_route added;
        added.host = "chat.example";
        added.path_prefix = "/club" + std::to_string(i) + "/";
        added.kind = configuration::repeat_rule::streaming;
        added.shares = {{"engines", 1}};
        out.routes.push_back(std::move(added));
    }
    return out;
}

/// Adopting a configuration after eleven others within half a minute, by the number of routes.
void adopt_configuration(benchmark::State& state)
{
    constexpr int former_changes = 11;
    constexpr auto lifetime = std::chrono::seconds(30);
    auto const index =
        std::make_shared<configuration::deployment_index const>(make_deployment(state.range(0)));
    gateway::route_history history;
    for (int i = 0; i < former_changes; ++i)
        history.adopt(at(i), index, lifetime);
    for (auto _ : state)
    {
        history.adopt(at(former_changes), index, lifetime);
        benchmark::DoNotOptimize(history.shared_services(at(former_changes)));
    }
    state.SetComplexityN(state.range(0));
}
BENCHMARK(adopt_configuration)->Arg(100)->Arg(1000)->Arg(10000)->Complexity(benchmark::oNLogN);

/// Finding the route of a path, by the number of routes on its host.
void find_route(benchmark::State& state)
{
    configuration::deployment_index const index(make_deployment(state.range(0)));
    for (auto _ : state)
        benchmark::DoNotOptimize(index.find_route("chat.example", "/club50/ask"));
    state.SetComplexityN(state.range(0));
}
BENCHMARK(find_route)->Arg(100)->Arg(1000)->Arg(10000)->Complexity(benchmark::oLogN);

/// Queueing and taking one request, by the number of waiting requests.
void queue_request(benchmark::State& state)
{
    queueing::fair_queue queue;
    base::duration retry{};
    base::error reason;
    std::uint64_t number = 0;
    auto const add = [&]
    {
        queueing::queued_request request;
        request.id = std::to_string(number);
        request.workspace = "workspace-" + std::to_string(number++ % 660);
        request.tokens = 1000;
        queue.enqueue(at(1), std::move(request), retry, reason);
    };
    for (std::int64_t i = 0; i < state.range(0); ++i)
        add();
    std::vector<queueing::queued_request> expired;
    for (auto _ : state)
    {
        add();
        auto const taken = queue.next(at(1), expired);
        if (taken)
            queue.on_completed(at(1), *taken, 900);
    }
    state.SetComplexityN(state.range(0));
}
BENCHMARK(queue_request)->Arg(16)->Arg(256)->Arg(2048)->Complexity(benchmark::oLogN);

/// Applying one cache event at the agent, by the number of indexed blocks.
void apply_cache_event(benchmark::State& state)
{
    routing::engine_cache_index index;
    std::uint64_t sequence = 1;
    auto const event = [&](std::int64_t block)
    {
        routing::cache_event_page page;
        page.process_id = "engine";
        page.oldest_sequence = sequence;
        page.next_sequence = sequence + 1;
        routing::cache_event it;
        it.sequence = sequence++;
        it.block_hash = "block-" + std::to_string(block);
        it.request_id = "request";
        it.block_index = static_cast<std::size_t>(block % 16);
        page.events.push_back(std::move(it));
        return page;
    };
    index.update_engine_process("engine");
    index.track_request("request", 1, std::vector<routing::prefix_digest>(16));
    for (std::int64_t i = 0; i < state.range(0); ++i)
        index.apply(event(i));
    std::int64_t block = state.range(0);
    for (auto _ : state)
        index.apply(event(block++ % state.range(0)));
    state.SetComplexityN(state.range(0));
}
BENCHMARK(apply_cache_event)->Arg(1000)->Arg(10000)->Arg(50000)->Complexity(benchmark::oLogN);

/// Computing one entry's subset of the upstreams, by the number of upstreams.
void choose_peer_subset(benchmark::State& state)
{
    constexpr int entry_count = 1500;
    std::vector<membership::entry_instance> entries;
    entries.reserve(entry_count);
    for (int i = 0; i < entry_count; ++i)
        entries.push_back({"entry-" + std::to_string(i), "dc-" + std::to_string(i % 10)});
    membership::peer_subset const subset(std::move(entries), {});
    std::vector<std::string> upstreams;
    for (std::int64_t i = 0; i < state.range(0); ++i)
        upstreams.push_back("agent-" + std::to_string(i));
    std::size_t peers = 0;
    for (auto _ : state)
    {
        peers = subset.upstreams_of("entry-7", upstreams).size();
        benchmark::DoNotOptimize(peers);
    }
    state.counters["peers"] = static_cast<double>(peers);
    state.SetComplexityN(state.range(0));
}
BENCHMARK(choose_peer_subset)->Arg(120)->Arg(1200)->Arg(12000)->Complexity(benchmark::oN);

void write_context(wire::Context::Builder context)
{
    context.setInstance("agent-12000#0123456789ab");
    context.setVersion(123456789);
}

/// Encodes one message and reports its size on the wire without the RPC envelope.
template <typename Build>
void encode(benchmark::State& state, Build build)
{
    std::size_t bytes = 0;
    for (auto _ : state)
    {
        capnp::MallocMessageBuilder message;
        build(message);
        auto const words = capnp::messageToFlatArray(message);
        bytes = words.asBytes().size();
        benchmark::DoNotOptimize(bytes);
    }
    state.counters["message_bytes"] = static_cast<double>(bytes);
}

void encode_heartbeat(benchmark::State& state)
{
    encode(state,
           [&state](capnp::MallocMessageBuilder& message)
           {
               auto result = message.initRoot<wire::Peer::PingResults>();
               write_context(result.initContext());
               auto load = result.initLoad();
               load.setEngine("1234567890-1234567890");
               auto models = load.initModels(static_cast<unsigned>(state.range(0)));
               for (auto it : models)
               {
                   it.setModel("model-name");
                   it.setVersion("2026-12");
               }
           });
}
BENCHMARK(encode_heartbeat)->Arg(1)->Arg(2)->Arg(6);

void encode_reserve(benchmark::State& state)
{
    encode(state,
           [](capnp::MallocMessageBuilder& message)
           {
               auto request = message.initRoot<wire::Peer::ReserveParams>();
               write_context(request.initContext());
               request.setWorkspace("workspace-660");
               request.setTokens(100000);
           });
}
BENCHMARK(encode_reserve);

void encode_settle(benchmark::State& state)
{
    encode(state,
           [](capnp::MallocMessageBuilder& message)
           {
               auto request = message.initRoot<wire::Peer::SettleParams>();
               write_context(request.initContext());
               request.setWorkspace("workspace-660");
               request.setUsed(100000);
           });
}
BENCHMARK(encode_settle);

} // namespace

BENCHMARK_MAIN();
