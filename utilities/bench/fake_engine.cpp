#include "utilities/bench/fake_engine.hpp"

#include <utility>
#include <vector>

namespace savorymount::bench
{
namespace
{

constexpr std::size_t decode_slots = 16;
constexpr base::duration restart_pause = std::chrono::seconds(5);

std::uint64_t missed_tokens(simulated_request const& request, std::size_t cached)
{
    std::uint64_t bytes = 0;
    for (std::size_t i = cached; i < request.prefix.block_bytes.size(); ++i)
        bytes += request.prefix.block_bytes[i];
    return bytes / bytes_per_token;
}

} // namespace

fake_engine::fake_engine(deployment const& of, virtual_clock& clock, std::size_t index)
    : of_(of), clock_(clock), index_(index), cache_(of.cached_blocks_per_engine)
{
}

std::string fake_engine::engine_id() const
{
    return std::to_string(index_) + "#" + std::to_string(process_);
}

bool fake_engine::submit(engine_job job)
{
    if (down_)
        return false;
    simulated_request const& request = *job.request;
    std::string const id = std::to_string(next_job_++);
    std::uint64_t const missed = missed_tokens(request, cache_.leading(request.prefix.digests));
    queueing::queued_request queued;
    queued.id = id;
    queued.workspace = std::to_string(request.workspace);
    queued.tokens = request.prefix.text_bytes / bytes_per_token + request.answer_tokens;
    queued.weight = of_.shares[request.workspace];
    base::duration retry_after{};
    base::error reason;
    if (!queue_.enqueue(clock_.now(), queued, retry_after, reason))
        return false;
    jobs_.emplace(id, std::move(job));
    queued_tokens_.emplace(id, missed);
    pump();
    return true;
}

void fake_engine::pump()
{
    if (down_ || prefilling_ || decoding_ >= decode_slots)
        return;
    std::vector<queueing::queued_request> expired;
    auto const next = queue_.next(clock_.now(), expired);
    if (!next)
        return;
    prefilling_ = true;
    engine_job const& job = jobs_.at(next->id);
    std::size_t const cached = cache_.leading(job.request->prefix.digests);
    std::uint64_t const missed = missed_tokens(*job.request, cached);
    job.prefill(cached);
    base::duration const prefill =
        request_overhead + prefill_per_token * static_cast<std::int64_t>(missed);
    base::duration const decode =
        decode_per_token * static_cast<std::int64_t>(job.request->answer_tokens);
    auto const decoded = [this, process = process_, request = *next, missed]
    {
        if (process != process_)
            return;
        --decoding_;
        // Shares are charged by computed tokens: hits cost the engine next to nothing.
        std::uint64_t const used = missed + jobs_.at(request.id).request->answer_tokens;
        queue_.on_completed(clock_.now(), request, used);
        finish(request.id, true);
        pump();
    };
    auto const prefilled = [this, process = process_, id = next->id, decode, decoded]
    {
        if (process != process_)
            return;
        prefilling_ = false;
        ++decoding_;
        queued_tokens_.erase(id);
        engine_job const& done = jobs_.at(id);
        cache_.store(done.request->prefix.digests);
        done.first_token();
        clock_.schedule(clock_.now() + decode, decoded);
        pump();
    };
    clock_.schedule(clock_.now() + prefill, prefilled);
}

void fake_engine::finish(std::string const& id, bool completed)
{
    engine_job const job = std::move(jobs_.at(id));
    jobs_.erase(id);
    job.ended(completed);
}

void fake_engine::crash()
{
    ++process_;
    down_ = true;
    prefilling_ = false;
    decoding_ = 0;
    cache_.clear();
    queue_ = queueing::fair_queue{};
    queued_tokens_.clear();
    std::vector<std::string> ids;
    ids.reserve(jobs_.size());
    for (auto const& it : jobs_)
        ids.push_back(it.first);
    for (std::string const& id : ids)
        finish(id, false);
    clock_.schedule(clock_.now() + restart_pause, [this] { down_ = false; });
}

void fake_engine::sample_load()
{
    lagging_ = std::exchange(pending_, {});
    pending_.running = static_cast<std::uint32_t>(decoding_ + (prefilling_ ? 1 : 0));
    pending_.waiting = static_cast<std::uint32_t>(queue_.size());
    for (auto const& it : queued_tokens_)
        pending_.queued_tokens += it.second;
}

} // namespace savorymount::bench
