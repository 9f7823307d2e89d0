#pragma once

#include <savorymount/base/random_source.hpp>
#include <savorymount/base/time.hpp>
#include <savorymount/limits/grant_pool.hpp>
#include <savorymount/limits/workspace_bucket.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace savorymount::utilities
{

/// One workspace's load on a fleet of agents without faults.
struct fleet_load
{
    std::uint64_t seed = 1;
    unsigned agents = 3;
    std::uint64_t rate = 2000;
    std::uint64_t burst = 40'000;
    /// Used tokens per second as a part of the rate.
    double load = 0.9;
    /// Mean of the reserved tokens of a request: half prompt, half largest response.
    std::uint64_t request_tokens = 600;
    base::duration longest_run = std::chrono::seconds(8);
    /// Whether the part of the used tokens that is the prompt is reported at admission.
    bool report_prompts = true;
    base::duration length = std::chrono::minutes(20);
    limits::grant_sizing sizing;
};

struct fleet_result
{
    std::uint64_t requests = 0;
    std::uint64_t refused = 0;
    /// Refused although the workspace is within its rate: a bucket of rate and burst that is
    /// charged for the used tokens only, at admission and without delay, would have admitted it.
    std::uint64_t refused_wrongly = 0;
    std::uint64_t asks = 0;
    std::uint64_t reports = 0;
};

/// Agents, a bucket owner and messages of 0.5 ms to 1.5 ms under a virtual clock.
class fake_fleet
{
public:
    explicit fake_fleet(fleet_load load);

    fleet_result run();

private:
    struct request
    {
        std::uint64_t tokens = 0;
        std::uint64_t prompt = 0;
        std::uint64_t used = 0;
        base::duration run{};
        bool fits_reference = false;
        unsigned attempt = 0;
    };

    struct agent
    {
        limits::grant_pool account;
        std::vector<request> waiting;
    };

    void after(base::duration delay, std::function<void()> what);
    void arrive();
    bool reference_admits(request const& it);
    void refill_reference();
    void offer(unsigned number, request it);
    void carry_out(unsigned number);
    void ask(unsigned number, limits::request_grant const& what);
    void tick(unsigned number);
    base::duration delay();

    fleet_load load_;
    base::random_source random_;
    base::time_point now_{std::chrono::seconds(1)};
    std::uint64_t count_ = 0;
    std::map<std::pair<base::time_point, std::uint64_t>, std::function<void()>> events_;
    std::vector<agent> agents_;
    limits::workspace_bucket bucket_;
    double reference_level_;
    base::time_point reference_updated_;
    fleet_result result_;
};

} // namespace savorymount::utilities
