#pragma once

#include "utilities/bench/block_cache.hpp"
#include "utilities/bench/deployment.hpp"
#include "utilities/bench/virtual_clock.hpp"
#include "utilities/bench/workload.hpp"
#include <savorymount/queueing/fair_queue.hpp>
#include <savorymount/routing/upstream_load.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace savorymount::bench
{

/// One request at an engine, with the hooks that report its progress.
struct engine_job
{
    simulated_request const* request = nullptr;
    /// Prefill starts with this number of leading blocks cached.
    std::function<void(std::size_t cached)> prefill;
    std::function<void()> first_token;
    /// The job ended; false when the engine crashed.
    std::function<void(bool completed)> ended;
};

/// An agent's fair queue in front of an engine that computes one prompt at a time, decodes up to a
/// number of requests side by side, and caches prompt blocks.
class fake_engine
{
public:
    fake_engine(deployment const& of, virtual_clock& clock, std::size_t index);

    /// False when the engine is down or the queue refuses the job.
    bool submit(engine_job job);

    /// Ends all jobs, clears the cache and starts again under a new process id after a pause.
    void crash();

    bool down() const { return down_; }
    std::string engine_id() const;
    block_cache const& cache() const { return cache_; }

    /// Load as of 100 to 200 ms ago.
    routing::load_report const& lagging_load() const { return lagging_; }

    /// Moves the lagging load on; called every 100 ms.
    void sample_load();

private:
    void pump();
    void finish(std::string const& id, bool completed);

    deployment const& of_;
    virtual_clock& clock_;
    std::size_t index_;
    block_cache cache_;
    queueing::fair_queue queue_;
    /// All jobs by id: queued, in prefill and in decoding.
    std::map<std::string, engine_job> jobs_;
    /// Tokens that queued and prefilling jobs were expected to compute when they came.
    std::map<std::string, std::uint64_t> queued_tokens_;
    std::uint64_t next_job_ = 0;
    std::size_t decoding_ = 0;
    bool prefilling_ = false;
    bool down_ = false;
    std::uint64_t process_ = 0;
    routing::load_report lagging_;
    routing::load_report pending_;
};

} // namespace savorymount::bench
