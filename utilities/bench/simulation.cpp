#include "utilities/bench/simulation.hpp"

#include "utilities/bench/fake_engine.hpp"
#include "utilities/bench/virtual_clock.hpp"
#include <savorymount/base/random_source.hpp>
#include <savorymount/retries/outlier_ejection.hpp>
#include <savorymount/retries/retry_policy.hpp>
#include <savorymount/routing/baselines.hpp>
#include <savorymount/routing/pooled_cache_oracle.hpp>
#include <savorymount/routing/router.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <memory>
#include <optional>
#include <utility>

namespace savorymount::bench
{
namespace
{

constexpr base::duration load_sample_interval = std::chrono::milliseconds(100);
constexpr base::duration heartbeat_interval = std::chrono::seconds(1);
constexpr base::duration recovery_start = std::chrono::seconds(5);
constexpr base::duration recovery_end = std::chrono::seconds(10);

/// One entry with the state that it loses on a restart.
struct entry
{
    entry(arm choice, std::uint64_t seed, std::size_t engines)
        : random(seed), router({}, random), ejection({})
    {
        ejection.set_group_size(engines);
        if (choice == arm::random)
            choose = routing::make_random_policy(random);
        if (choice == arm::round_robin)
            choose = routing::make_round_robin_policy();
        if (choice == arm::least_loaded)
            choose = routing::make_least_loaded_policy(router.load(), random);
        if (choice == arm::consistent_hash)
            choose = routing::make_consistent_hash_policy();
        if (choice == arm::router)
            choose = [this](base::time_point now, routing::route_request const& request,
                            routing::candidate_set const& upstreams)
            {
                return router.choose(now, request, upstreams);
            };
    }

    base::random_source random;
    routing::router router;
    retries::outlier_ejection ejection;
    routing::routing_policy choose;
};

/// The state of one request between its attempts.
struct request_state
{
    simulated_request const* request = nullptr;
    std::vector<routing::upstream_id> tried;
    bool measured_blocks = false;
    std::size_t cached_blocks = 0;
    std::optional<base::time_point> first_token;
    bool completed = false;
    bool refused = false;
};

double percentile(std::vector<double>& values, double share)
{
    if (values.empty())
        return 0;
    auto const at =
        static_cast<std::size_t>(std::lround(share * static_cast<double>(values.size() - 1)));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(at),
                     values.end());
    return values[at];
}

double ratio(double part, double whole)
{
    return whole > 0 ? part / whole : 0;
}

/// Counts hits over all blocks and in the recovery windows.
struct hit_counter
{
    double blocks = 0;
    double hits = 0;
    double recovered_blocks = 0;
    double recovered_hits = 0;

    void add(base::time_point arrival, workload_kind kind, std::size_t shareable,
             std::size_t cached)
    {
        auto const count = static_cast<double>(shareable);
        auto const hit = static_cast<double>(std::min(cached, shareable));
        if (arrival.time_since_epoch() < warm_up)
            return;
        blocks += count;
        hits += hit;
        base::duration since = arrival.time_since_epoch() - event_time;
        if (kind == workload_kind::moving_prefix && since > base::duration(0))
            since %= move_interval;
        if (since < recovery_start || since >= recovery_end)
            return;
        recovered_blocks += count;
        recovered_hits += hit;
    }
};

class simulation
{
public:
    simulation(deployment const& of, workload_kind kind, arm choice, std::uint64_t seed)
        : of_(of), kind_(kind), choice_(choice), seed_(seed), pool_(member_names(of)),
          levels_(of.shares.size())
    {
        for (std::size_t i = 0; i < of.engines; ++i)
            engines_.push_back(std::make_unique<fake_engine>(of, clock_, i));
        restart_entries();
        for (std::size_t i = 0; i < of.shares.size(); ++i)
            levels_[i] = contract_rate(i) * seconds(contract_burst);
        refilled_at_.resize(of.shares.size());
    }

    run_result run(std::vector<simulated_request> const& requests)
    {
        states_.reserve(requests.size());
        for (simulated_request const& it : requests)
            clock_.schedule(it.arrival, [this, &it] { arrive(it); });
        every(load_sample_interval, {}, [this] { sample_loads(); });
        for (std::size_t i = 0; i < of_.engines * of_.entries; ++i)
            every(heartbeat_interval,
                  heartbeat_interval * static_cast<std::int64_t>(i) /
                      static_cast<std::int64_t>(of_.engines * of_.entries),
                  [this, i] { report_load(i / of_.engines, i % of_.engines); });
        if (kind_ == workload_kind::engine_crash)
            clock_.schedule(base::time_point(event_time), [this] { engines_.front()->crash(); });
        if (kind_ == workload_kind::entry_restart)
            clock_.schedule(base::time_point(event_time), [this] { restart_entries(); });
        clock_.run_until(base::time_point(run_length));
        return summarise();
    }

private:
    static double seconds(base::duration time)
    {
        return std::chrono::duration<double>(time).count();
    }

    static std::vector<std::pair<routing::upstream_id, std::string>>
    member_names(deployment const& of)
    {
        std::vector<std::pair<routing::upstream_id, std::string>> out;
        out.reserve(of.engines);
        for (std::size_t i = 0; i < of.engines; ++i)
            out.emplace_back(static_cast<routing::upstream_id>(i),
                             of.name + "-" + std::to_string(i));
        return out;
    }

    void every(base::duration interval, base::duration first, std::function<void()> const& action)
    {
        clock_.schedule(clock_.now() + first,
                        [this, interval, action]
                        {
                            action();
                            every(interval, interval, action);
                        });
    }

    void sample_loads()
    {
        for (auto const& it : engines_)
            it->sample_load();
    }

    void report_load(std::size_t entry_index, std::size_t engine)
    {
        if (engines_[engine]->down())
            return;
        entries_[entry_index]->router.load_reported(
            clock_.now(), static_cast<routing::upstream_id>(engine), engines_[engine]->engine_id(),
            engines_[engine]->lagging_load());
    }

    void restart_entries()
    {
        ++incarnation_;
        entries_.clear();
        for (std::size_t i = 0; i < of_.entries; ++i)
            entries_.push_back(
                std::make_unique<entry>(choice_, seed_ * 100 + incarnation_ * 10 + i, of_.engines));
    }

    /// Contract of a workspace in tokens per second.
    double contract_rate(std::size_t workspace) const
    {
        return contract_margin * of_.shares[workspace] * request_rate(of_) *
               static_cast<double>(prompt_tokens(of_) + of_.answer_tokens);
    }

    /// An exact bucket per workspace in place of the limits module.
    bool admit(simulated_request const& request)
    {
        if (kind_ == workload_kind::overload_unlimited)
            return true;
        std::size_t const workspace = request.workspace;
        double& level = levels_[workspace];
        double const rate = contract_rate(workspace);
        level += rate * seconds(clock_.now() - refilled_at_[workspace]);
        level = std::min(level, rate * seconds(contract_burst));
        refilled_at_[workspace] = clock_.now();
        auto const tokens = static_cast<double>(prompt_tokens(of_) + request.answer_tokens);
        if (level < tokens)
            return false;
        level -= tokens;
        return true;
    }

    void arrive(simulated_request const& request)
    {
        // Hot traffic exceeds the workspace's usual rate; its contract is taken to cover it.
        bool const hot =
            kind_ == workload_kind::hot_prefix || kind_ == workload_kind::moving_prefix;
        if (!(hot && request.workspace == disturbing_workspace) && !admit(request))
            return;
        states_.push_back({&request, {}, false, 0, {}, false, false});
        std::size_t const index = states_.size() - 1;
        std::size_t const shareable = request.prefix.digests.size() - 1;
        oracle_hits_.add(request.arrival, kind_, shareable,
                         oracle_.request(request.prefix.digests));
        attempt(index);
    }

    void attempt(std::size_t index)
    {
        request_state& state = states_[index];
        entry& from = *entries_[state.request->entry];
        routing::route_request const route{&state.request->prefix, state.tried};
        auto const share = [this, &from](routing::upstream_id id)
        {
            return from.ejection.traffic_share(clock_.now(), id);
        };
        routing::ranked_upstreams const ranked = from.choose(clock_.now(), route, {&pool_, share});
        if (ranked.empty() || state.tried.size() >= retries::max_attempts)
        {
            state.refused = true;
            return;
        }
        routing::ranked_upstream const chosen = ranked.front();
        from.router.sent(clock_.now(), route, chosen);
        state.tried.push_back(chosen.upstream);
        clock_.schedule(clock_.now() + of_.delay, [this, index, chosen, incarnation = incarnation_]
                        { submit(index, chosen, incarnation); });
    }

    void submit(std::size_t index, routing::ranked_upstream const& chosen, std::size_t incarnation)
    {
        fake_engine& engine = *engines_[chosen.upstream];
        engine_job job;
        job.request = states_[index].request;
        job.prefill = [this, index, chosen](std::size_t cached)
        {
            count_blocks(index, chosen.upstream, cached);
        };
        job.first_token = [this, index, chosen, incarnation]
        {
            clock_.schedule(clock_.now() + of_.delay,
                            [this, index, chosen, incarnation]
                            {
                                request_state& state = states_[index];
                                if (!state.first_token)
                                    state.first_token = clock_.now();
                                if (incarnation == incarnation_)
                                    entry_of(index).router.prefill_finished(clock_.now(), chosen);
                            });
        };
        job.ended = [this, index, chosen, incarnation](bool completed)
        {
            clock_.schedule(clock_.now() + of_.delay, [this, index, chosen, incarnation, completed]
                            { end(index, chosen, incarnation, completed); });
        };
        if (engine.submit(std::move(job)))
            return;
        clock_.schedule(clock_.now() + of_.delay, [this, index, chosen, incarnation]
                        { end(index, chosen, incarnation, false); });
    }

    entry& entry_of(std::size_t index) { return *entries_[states_[index].request->entry]; }

    void end(std::size_t index, routing::ranked_upstream const& chosen, std::size_t incarnation,
             bool completed)
    {
        request_state& state = states_[index];
        fake_engine const& engine = *engines_[chosen.upstream];
        state.completed = completed;
        if (incarnation == incarnation_)
        {
            entry& at = entry_of(index);
            routing::route_request const route{&state.request->prefix, {}};
            if (!completed)
            {
                at.ejection.record_failure(clock_.now(), chosen.upstream);
                if (!state.first_token)
                    at.router.prefill_finished(clock_.now(), chosen);
                at.router.finished(clock_.now(), route, chosen, {}, 0);
            }
            else
            {
                at.ejection.record_success(clock_.now(), chosen.upstream);
                std::string const id = engine.engine_id();
                at.router.finished(clock_.now(), route, chosen, id,
                                   engine.cache().leading(state.request->prefix.digests),
                                   state.cached_blocks);
                report_load(state.request->entry, chosen.upstream);
            }
        }
        if (!completed)
            attempt(index);
    }

    void count_blocks(std::size_t index, std::size_t chosen, std::size_t cached)
    {
        request_state& state = states_[index];
        state.cached_blocks = cached;
        if (std::exchange(state.measured_blocks, true))
            return;
        auto const& digests = state.request->prefix.digests;
        std::size_t const shareable = digests.size() - 1;
        hits_.add(state.request->arrival, kind_, shareable, cached);
        if (state.request->arrival.time_since_epoch() < warm_up)
            return;
        for (std::size_t block = cached; block < shareable; ++block)
        {
            for (std::size_t i = 0; i < engines_.size(); ++i)
            {
                if (i == chosen || !engines_[i]->cache().contains(digests[block]))
                    continue;
                ++recomputed_;
                break;
            }
        }
    }

    run_result summarise() const
    {
        run_result out;
        out.hit_rate = ratio(hits_.hits, hits_.blocks);
        out.oracle_hit_rate = ratio(oracle_hits_.hits, oracle_hits_.blocks);
        out.recovered_hit_rate = ratio(hits_.recovered_hits, hits_.recovered_blocks);
        out.recovered_oracle_hit_rate =
            ratio(oracle_hits_.recovered_hits, oracle_hits_.recovered_blocks);
        out.recomputed_share = ratio(static_cast<double>(recomputed_), hits_.blocks);
        std::vector<double> all;
        std::vector<std::vector<double>> by_workspace(of_.shares.size());
        std::vector<double> admitted(of_.shares.size());
        std::vector<double> served(of_.shares.size());
        double refused = 0;
        double count = 0;
        for (request_state const& it : states_)
        {
            base::duration const arrival = it.request->arrival.time_since_epoch();
            if (arrival < warm_up)
                continue;
            ++count;
            refused += it.refused ? 1 : 0;
            // A request without a first token by the end has waited at least this long.
            base::duration const wait = it.first_token.value_or(clock_.now()) - it.request->arrival;
            double const milliseconds = seconds(wait) * 1000;
            all.push_back(milliseconds);
            if (arrival >= event_time)
                by_workspace[it.request->workspace].push_back(milliseconds);
            // The last seconds' requests may still run at the end.
            if (arrival >= run_length - recovery_end)
                continue;
            auto const tokens = static_cast<double>(it.request->prefix.text_bytes);
            admitted[it.request->workspace] += tokens;
            served[it.request->workspace] += it.completed ? tokens : 0;
        }
        out.first_token_p50 = percentile(all, 0.5);
        out.first_token_p95 = percentile(all, 0.95);
        out.first_token_p99 = percentile(all, 0.99);
        out.wrongful_refusals = ratio(refused, count);
        bool const overload =
            kind_ == workload_kind::overload || kind_ == workload_kind::overload_unlimited;
        out.worst_served_share = 1;
        for (std::size_t i = 0; i < by_workspace.size(); ++i)
        {
            out.workspace_p99.push_back(percentile(by_workspace[i], 0.99));
            if (overload && i == disturbing_workspace)
                continue;
            out.worst_p99 = std::max(out.worst_p99, out.workspace_p99.back());
            out.worst_served_share =
                std::min(out.worst_served_share, ratio(served[i], admitted[i]));
        }
        return out;
    }

    deployment const& of_;
    workload_kind kind_;
    arm choice_;
    std::uint64_t seed_;
    virtual_clock clock_;
    routing::candidate_pool pool_;
    std::vector<std::unique_ptr<fake_engine>> engines_;
    std::vector<std::unique_ptr<entry>> entries_;
    std::size_t incarnation_ = 0;
    std::vector<request_state> states_;
    std::vector<double> levels_;
    std::vector<base::time_point> refilled_at_;
    routing::pooled_cache_oracle oracle_{of_.engines * of_.cached_blocks_per_engine};
    hit_counter hits_;
    hit_counter oracle_hits_;
    std::uint64_t recomputed_ = 0;
};

} // namespace

std::vector<arm> const& all_arms()
{
    static std::vector<arm> const all{arm::random, arm::round_robin, arm::least_loaded,
                                      arm::consistent_hash, arm::router};
    return all;
}

std::string_view to_string(arm of)
{
    constexpr std::array<std::string_view, 5> names{"random", "round-robin", "least-loaded",
                                                    "consistent-hash", "router"};
    return names[static_cast<std::size_t>(of)];
}

run_result simulate(deployment const& of, workload_kind kind,
                    std::vector<simulated_request> const& requests, arm choice, std::uint64_t seed)
{
    return simulation(of, kind, choice, seed).run(requests);
}

} // namespace savorymount::bench
