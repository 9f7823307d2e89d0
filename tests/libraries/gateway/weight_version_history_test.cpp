#include <savorymount/base/random_source.hpp>
#include <savorymount/gateway/cluster_state.hpp>
#include <savorymount/orders/stored_versions.hpp>
#include <savorymount/orders/weight_rollout.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <tests/libraries/seeded_property.hpp>
#include <tests/libraries/time_points.hpp>
#include <vector>

namespace savorymount::gateway
{
namespace
{

using namespace std::chrono_literals;
using tests::at;

constexpr std::size_t engine_count = 4;
constexpr std::size_t steps = 300;
constexpr base::duration step_length = 100ms;

/// One process: what it knows, and what it does as the leader.
struct instance_process
{
    instance_process(base::time_point now, configuration::deployment data) : cluster({}, now)
    {
        cluster.apply_deployment(now, std::move(data));
        rollout.set_order_condition([this](std::string const& model, std::uint64_t version)
                                    { return records.is_recorded(model, version); });
    }

    cluster_state cluster;
    orders::stored_versions records;
    orders::weight_rollout rollout{{}};
};

/// A write of one weight version that the store executes later, if its condition still holds.
struct late_write
{
    base::time_point executed_at{};
    std::uint64_t version = 0;
    /// Of an own record: the number of own records that the store holds then.
    std::optional<std::uint64_t> expected_end;
};

/// Operators name versions, their writes and those of the system are executed late, engines and
/// processes end, the store comes back from older copies, and an entry of another writer and one
/// faulty engine claim a version that nobody named.
class generated_history
{
public:
    explicit generated_history(std::uint32_t seed) : random_(seed)
    {
        for (std::size_t i = 0; i < engine_count; ++i)
            engines_.push_back(engine_record(i));
        start_processes();
    }

    /// Returns whether the newest version that was recorded or loaded was never forgotten, and none
    /// was taken for published that nobody named.
    bool run()
    {
        for (std::size_t i = 0; i < steps && holds_; ++i)
        {
            now_ += step_length;
            if (happens(8))
                write_version(++newest_named_);
            if (happens(20))
                start_processes();
            execute_late_writes();
            for (auto& it : processes_)
                read_store(*it);
            claim_unnamed_version();
            lead();
        }
        return holds_;
    }

private:
    bool happens(std::uint64_t one_in) { return random_.uniform_below(one_in) == 0; }

    static membership::upstream_record engine_record(std::size_t n)
    {
        membership::upstream_record out;
        out.id = "engine-" + std::to_string(n);
        out.service = "bench";
        out.weights["crew"] = 1;
        return out;
    }

    static configuration::deployment deployment()
    {
        configuration::deployment out;
        out.version = 1;
        out.services["bench"].name = "bench";
        return out;
    }

    base::time_point later()
    {
        return now_ + std::chrono::milliseconds(1000 + random_.uniform_below(5000));
    }

    /// Each write is repeated at once if it gets no answer.
    void write_version(std::uint64_t version)
    {
        operators_record_ = version;
        if (happens(2))
            late_.push_back({later(), version, std::nullopt});
    }

    void start_processes()
    {
        processes_.clear();
        for (int i = 0; i < 2; ++i)
            processes_.push_back(std::make_unique<instance_process>(now_, deployment()));
    }

    void execute_late_writes()
    {
        for (auto const& it : late_)
        {
            if (it.executed_at > now_)
                continue;
            if (!it.expected_end)
                operators_record_ = it.version;
            else if (*it.expected_end == own_records_)
                append_own(it.version);
        }
        std::erase_if(late_, [this](auto const& it) { return it.executed_at <= now_; });
    }

    void append_own(std::uint64_t version)
    {
        ++own_records_;
        own_record_ = version;
        safe_ = std::max(safe_, version);
    }

    void read_store(instance_process& it)
    {
        if (operators_record_ > 0)
            it.cluster.set_desired_version("crew", operators_record_, now_);
        auto const stored = own_record_ > 0
                                ? std::map<std::string, std::uint64_t>{{"crew", own_record_}}
                                : std::map<std::string, std::uint64_t>{};
        it.cluster.stored_versions_read(stored);
        it.records.on_read(stored);
        for (auto const& engine : engines_)
            it.cluster.upstream_listed(now_, engine);
        holds_ = holds_ && it.cluster.desired_weights().newest_version("crew") >= safe_;
    }

    void claim_unnamed_version()
    {
        auto const claimed = newest_named_ + 1 + random_.uniform_below(100);
        auto odd = engine_record(engine_count);
        odd.weights["crew"] = claimed;
        for (auto& it : processes_)
        {
            if (happens(10))
                it->cluster.upstream_listed(now_, odd);
            if (happens(10))
                it->cluster.weights_observed("engine-0", "crew", claimed);
            holds_ =
                holds_ && it->cluster.desired_weights().newest_version("crew") <= newest_named_;
        }
    }

    void lead()
    {
        auto& leader = *processes_[random_.uniform_below(processes_.size())];
        auto const& desired = leader.cluster.desired_weights();
        if (auto const append = leader.records.next_append(now_, desired, true))
        {
            if (happens(3))
                late_.push_back({later(), append->version, own_records_});
            else
                append_own(append->version);
        }
        std::vector<orders::rollout_engine> engines;
        for (auto const& it : engines_)
            engines.push_back({it, 0, false});
        auto const step = leader.rollout.next_step(now_, 1, desired, engines);
        for (auto const& it : step.report_requests)
            leader.rollout.on_report(now_, it, {false, 0, engine(it).weights});
        for (auto const& it : step.orders)
        {
            holds_ =
                holds_ && it.version >= safe_ && it.version >= engine(it.upstream).weights["crew"];
            engine(it.upstream).weights["crew"] = it.version;
            safe_ = std::max(safe_, it.version);
            leader.rollout.on_order_response(now_, it, orders::order_outcome::accepted);
        }
    }

    membership::upstream_record& engine(std::string const& id)
    {
        return *std::find_if(engines_.begin(), engines_.end(),
                             [&](auto const& it) { return it.id == id; });
    }

    base::random_source random_;
    base::time_point now_ = at(0s);
    std::uint64_t newest_named_ = 1;
    /// The newest record of the operators, and the system's own one.
    std::uint64_t operators_record_ = 0;
    std::uint64_t own_record_ = 0;
    std::uint64_t own_records_ = 0;
    /// The newest version that outlasts all processes.
    std::uint64_t safe_ = 0;
    std::vector<membership::upstream_record> engines_;
    std::vector<late_write> late_;
    std::vector<std::unique_ptr<instance_process>> processes_;
    bool holds_ = true;
};

// Guards against a newest weight version that goes down after a late write and a restart of every
// process, and against engines that are ordered back.
TEST(weight_version_history, the_newest_recorded_or_loaded_version_is_never_forgotten)
{
    tests::check_property(300,
                          [](std::uint32_t seed) { RC_ASSERT(generated_history(seed).run()); });
}

} // namespace
} // namespace savorymount::gateway
