#include <algorithm>
#include <filesystem>
#include <fstream>
#include <memory>
#include <tests/soak/soak_caller.hpp>
#include <tests/soak/soak_deployment.hpp>
#include <tests/soak/soak_run.hpp>

namespace savorymount::soak
{
namespace
{

using namespace std::chrono_literals;

// From the last mend to the end: the time to become stable, and some seconds of service.
constexpr base::duration calm_end = 16s;
constexpr base::duration watch_interval = 20ms;

/// One run, from its first process to its last check.
class soak_run
{
public:
    explicit soak_run(soak_options options)
        : options_(std::move(options)), deployment_(loop_, timers_, options_.size),
          random_(options_.seed)
    {
        for (std::size_t i = 0; i < options_.callers; ++i)
            callers_.push_back(std::make_unique<soak_caller>(
                loop_, timers_, "c" + std::to_string(i), options_.seed * 1000 + i,
                caller_hooks{[this] { return deployment_.ready_gateway(random_.next()); },
                             [this](call_record const& it)
                             {
                                 deployment_.history().calls.push_back(it);
                             }}));
    }

    soak_report run()
    {
        plan_ = make_plan(options_.seed, options_.length, options_.size);
        // The destructors end the processes of this run.
        loop_.on_termination(
            [this]
            {
                interrupted_ = true;
                loop_.stop();
            });
        watch_timer_ = timers_.every(watch_interval, [this] { watch(); });
        loop_.run();
        if (interrupted_)
            return {.violations = {{"run", "it was interrupted"}}};
        deployment_.collect();
        auto const& history = deployment_.history();
        soak_report out;
        out.violations = check_promises(history, {});
        out.calls = history.calls.size();
        out.answered = static_cast<std::size_t>(
            std::count_if(history.calls.begin(), history.calls.end(),
                          [](call_record const& it) { return it.status == 200 && it.whole; }));
        out.runs = history.runs.size();
        out.steps = plan_.size();
        out.crashes = history.crashes.size();
        out.late_crashes = count_late_crashes(history, {});
        if (!out.violations.empty() && !options_.log_folder.empty())
            write(out);
        return out;
    }

private:
    void watch()
    {
        if (!started_at_)
        {
            if (deployment_.all_ready())
                start();
            return;
        }
        auto const now = timers_.now();
        while (next_step_ < plan_.size() && now - *started_at_ >= plan_[next_step_].at)
        {
            deployment_.apply(plan_[next_step_++]);
            last_step_at_ = now;
        }
        if (next_step_ < plan_.size() || deployment_.mending())
        {
            last_step_at_ = now;
            return;
        }
        if (now - last_step_at_ > calm_end)
            finish();
    }

    void start()
    {
        started_at_ = timers_.now();
        last_step_at_ = timers_.now();
        for (auto const& it : callers_)
            it->start();
    }

    void finish()
    {
        for (auto const& it : callers_)
            it->stop();
        bool const done = std::all_of(callers_.begin(), callers_.end(),
                                      [](auto const& it) { return it->idle(); });
        if (done)
            loop_.stop();
    }

    /// Leaves what is needed to trace a violation.
    void write(soak_report const& report)
    {
        deployment_.write_logs(options_.log_folder);
        std::ofstream out(options_.log_folder + "/history.txt");
        for (auto const& it : report.violations)
            out << "violation " << it.promise << ": " << it.what << "\n";
        for (auto const& it : plan_)
            out << "step at_ms=" << ((*started_at_ + it.at).time_since_epoch().count() / 1000)
                << " " << to_string(it.kind) << " target=" << it.target
                << " length_ms=" << it.length.count() / 1000 << "\n";
        for (auto const& it : deployment_.history().calls)
            out << "call " << it.id << " gateway=" << it.gateway
                << " started_ms=" << it.started.time_since_epoch().count() / 1000
                << " took_ms=" << (it.ended - it.started).count() / 1000 << " status=" << it.status
                << " whole=" << it.whole << " key=" << it.key << "\n";
    }

    soak_options options_;
    runtime::event_loop loop_;
    runtime::timer_service timers_{loop_};
    soak_deployment deployment_;
    base::random_source random_;
    std::vector<std::unique_ptr<soak_caller>> callers_;
    std::vector<planned_fault> plan_;
    std::size_t next_step_ = 0;
    bool interrupted_ = false;
    std::optional<base::time_point> started_at_;
    base::time_point last_step_at_{};
    runtime::timer_service::subscription watch_timer_;
};

} // namespace

soak_report run_soak(soak_options const& options)
{
    return soak_run(options).run();
}

} // namespace savorymount::soak
