#include "fake_fleet.hpp"

#include <algorithm>
#include <cmath>

namespace savorymount::utilities
{

namespace
{

constexpr std::uint64_t fence = 1;
constexpr unsigned most_attempts = 4;
constexpr base::duration tick_interval = std::chrono::milliseconds(100);

} // namespace

fake_fleet::fake_fleet(fleet_load load)
    : load_(load), random_(load.seed),
      bucket_(now_, fence, load.rate, load.burst, limits::workspace_bucket::start_level::full),
      reference_level_(static_cast<double>(load.burst)), reference_updated_(now_)
{
    for (unsigned n = 0; n < load_.agents; ++n)
    {
        agents_.push_back({limits::grant_pool(load_.rate, load_.burst, {}, load_.sizing), {}});
        agents_.back().account.on_owner_changed(now_, fence, true);
        after(delay() * (n + 1), [this, n] { tick(n); });
    }
}

fleet_result fake_fleet::run()
{
    auto const end = now_ + load_.length;
    arrive();
    while (!events_.empty() && events_.begin()->first.first <= end)
    {
        auto event = events_.extract(events_.begin());
        now_ = event.key().first;
        event.mapped()();
    }
    return result_;
}

void fake_fleet::after(base::duration delay, std::function<void()> what)
{
    events_.emplace(std::pair{now_ + delay, ++count_}, std::move(what));
}

void fake_fleet::arrive()
{
    request it;
    // Half of the reservation is the prompt; any part of the largest response is generated.
    it.prompt = 1 + random_.uniform_below(load_.request_tokens);
    it.tokens = 2 * it.prompt;
    it.used = it.prompt + random_.uniform_below(it.prompt + 1);
    it.run = base::duration(static_cast<std::int64_t>(
        random_.uniform_below(static_cast<std::uint64_t>(load_.longest_run.count()))));
    it.fits_reference = reference_admits(it);
    ++result_.requests;
    offer(static_cast<unsigned>(random_.uniform_below(load_.agents)), it);
    auto const used_per_second = load_.load * static_cast<double>(load_.rate);
    auto const mean = 0.75 * static_cast<double>(load_.request_tokens) / used_per_second;
    auto const pause = -mean * std::log(1 - random_.uniform_real());
    after(base::duration(1 + static_cast<std::int64_t>(pause * 1e6)), [this] { arrive(); });
}

bool fake_fleet::reference_admits(request const& it)
{
    refill_reference();
    if (reference_level_ < static_cast<double>(it.used))
        return false;
    reference_level_ -= static_cast<double>(it.used);
    return true;
}

void fake_fleet::refill_reference()
{
    auto const elapsed = std::chrono::duration<double>(now_ - reference_updated_).count();
    reference_updated_ = now_;
    reference_level_ = std::min(reference_level_ + elapsed * static_cast<double>(load_.rate),
                                static_cast<double>(load_.burst));
}

void fake_fleet::offer(unsigned number, request it)
{
    auto& at = agents_[number];
    auto const result = at.account.admit(now_, it.tokens, it.attempt == 0);
    if (result.result == limits::admission::decision::waiting && it.attempt < most_attempts)
        at.waiting.push_back(it);
    else if (result.result == limits::admission::decision::admitted)
    {
        if (load_.report_prompts)
            at.account.record_progress(now_, result.reservation, it.prompt);
        after(it.run,
              [this, number, used = it.used, reservation = result.reservation]
              {
                  agents_[number].account.complete(now_, reservation, used);
                  carry_out(number);
              });
    }
    else
    {
        ++result_.refused;
        result_.refused_wrongly += it.fits_reference ? 1U : 0U;
    }
    carry_out(number);
}

void fake_fleet::carry_out(unsigned number)
{
    for (auto const& action : agents_[number].account.take_actions(now_))
    {
        if (auto const* const what = std::get_if<limits::request_grant>(&action))
        {
            ++result_.asks;
            ask(number, *what);
            continue;
        }
        ++result_.reports;
        after(delay(), [this, report = std::get<limits::report_usage>(action)]
              { bucket_.apply_usage_report(now_, report.grant_id, report.used, report.unused); });
    }
}

void fake_fleet::ask(unsigned number, limits::request_grant const& what)
{
    after(delay(),
          [this, number, what]
          {
              base::duration retry{};
              auto const grant = bucket_.grant(now_, what.tokens, what.min_tokens, retry);
              after(delay(),
                    [this, number, what, grant, retry]
                    {
                        auto& at = agents_[number];
                        if (grant)
                            at.account.on_grant_received(now_, what.request_id, *grant);
                        else
                            at.account.on_grant_refused(now_, what.request_id, retry);
                        auto const waiting = std::exchange(at.waiting, {});
                        for (auto it : waiting)
                        {
                            ++it.attempt;
                            offer(number, it);
                        }
                    });
          });
}

void fake_fleet::tick(unsigned number)
{
    carry_out(number);
    after(tick_interval, [this, number] { tick(number); });
}

base::duration fake_fleet::delay()
{
    return base::duration(500 + static_cast<std::int64_t>(random_.uniform_below(1'000)));
}

} // namespace savorymount::utilities
