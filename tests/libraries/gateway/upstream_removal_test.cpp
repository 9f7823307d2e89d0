#include <savorymount/base/random_source.hpp>
#include <savorymount/gateway/cluster_state.hpp>
#include <savorymount/membership/topic_horizon.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <tests/libraries/seeded_property.hpp>
#include <tests/libraries/time_points.hpp>
#include <vector>

namespace savorymount::gateway
{
namespace
{

using namespace std::chrono_literals;
using tests::at;

constexpr base::duration read_interval = 700ms;
constexpr base::duration retry_delay = 200ms;
constexpr base::duration lost_read_timeout = 900ms;
constexpr base::duration rejected_read_time = 4ms;
constexpr base::duration relisting_time = 2s;
constexpr base::duration bound_again_after = 3s;
constexpr base::duration history_length = 60s;
constexpr std::size_t records_per_page = 3;

/// A list of upstreams whose entries are removed one after the other, and an instance that is
/// turned away by the list's store now and then. A read of the list that is sent meanwhile may fail
/// long after the store serves other calls again.
class generated_history
{
public:
    explicit generated_history(std::uint32_t seed) : random_(seed), cluster_({}, at(0s))
    {
        for (auto time = at(0s) + delay(2000); time < at(history_length); time += delay(2000))
        {
            removals_.push_back(time);
            membership::upstream_record record;
            record.id = id_of(removals_.size() - 1);
            record.service = "bench";
            cluster_.upstream_listed(at(0s), record);
        }
    }

    /// Returns whether each removal was handled as what happened to its entry demands.
    bool run()
    {
        horizon_.snapshot_read(at(0s));
        while (now_ < at(history_length))
        {
            if (is_turned_away())
                fail_read();
            else
                read_page();
            if (now_ >= away_until_)
            {
                last_outage_ended_at_ = away_until_;
                served_until_ = now_ + delay(6000);
                away_until_ = served_until_ + delay(5000);
            }
        }
        return holds_;
    }

private:
    static std::string id_of(std::size_t n) { return "engine-" + std::to_string(n); }

    base::duration delay(std::uint64_t max_ms)
    {
        return std::chrono::milliseconds(1 + random_.uniform_below(max_ms));
    }

    bool is_turned_away() const { return now_ >= served_until_ && now_ < away_until_; }

    /// Lets time pass, then expects that no entry which went is used for too long: a machine that
    /// was turned away is bound by removals again three seconds after the outage.
    void pass(base::duration time)
    {
        now_ += time;
        if (is_away_ || now_ < last_outage_ended_at_ + bound_again_after)
            return;
        auto const usable = cluster_.upstreams().candidates(now_, "bench");
        holds_ = holds_ && usable.size() == removals_.size() - next_;
    }

    void fail_read()
    {
        unreadable_at_ = now_;
        bool const is_lost = random_.uniform_below(3) == 0;
        now_ += is_lost ? lost_read_timeout : rejected_read_time;
        horizon_.read_failed(unreadable_at_, now_);
        if (!is_away_)
            failed_after_ = complete_read_sent_at_;
        is_away_ = true;
        now_ += retry_delay;
    }

    void read_page()
    {
        auto const sent_at = now_;
        if (now_ >= away_until_)
            last_outage_ended_at_ = away_until_;
        // The store may be slow, above all after an outage.
        now_ += delay(random_.uniform_below(3) == 0 ? 900 : 20);
        std::size_t records = 0;
        while (next_ < removals_.size() && removals_[next_] <= sent_at &&
               records++ < records_per_page)
            remove(next_++);
        bool const reached_end = next_ == removals_.size() || removals_[next_] > sent_at;
        horizon_.records_read({sent_at, now_, {}, records > 0, reached_end});
        if (reached_end)
        {
            is_away_ = false;
            complete_read_sent_at_ = sent_at;
            pass(read_interval);
        }
    }

    void remove(std::size_t n)
    {
        cluster_.upstream_unlisted(now_, id_of(n), horizon_.unreadable_at());
        // The entry was there when the store answered again if it went after a complete read.
        bool const went_unseen = is_away_ && removals_[n] > failed_after_;
        auto const usable = cluster_.upstreams().candidates(now_, "bench");
        bool const is_used = std::any_of(usable.begin(), usable.end(),
                                         [&](auto const* it) { return it->record.id == id_of(n); });
        bool const may_be_listed_again =
            went_unseen && now_ < unreadable_at_ + lost_read_timeout + relisting_time;
        holds_ = holds_ && is_used == may_be_listed_again;
        cluster_.upstreams().expire(now_);
    }

    base::random_source random_;
    cluster_state cluster_;
    membership::topic_horizon horizon_;
    std::vector<base::time_point> removals_;
    std::size_t next_ = 0;
    base::time_point now_ = at(0s);
    base::time_point served_until_ = at(5s);
    base::time_point away_until_ = at(8s);
    bool is_away_ = false;
    base::time_point complete_read_sent_at_ = at(0s);
    base::time_point failed_after_ = at(0s);
    base::time_point unreadable_at_{};
    base::time_point last_outage_ended_at_{};
    bool holds_ = true;
};

// Guards against an engine that is used after it has left, since some read had failed shortly
// before, and against the loss of one whose entry lapsed while nothing could be read.
TEST(upstream_removal, only_an_entry_that_went_during_an_outage_is_kept)
{
    tests::check_property(500,
                          [](std::uint32_t seed) { RC_ASSERT(generated_history(seed).run()); });
}

} // namespace
} // namespace savorymount::gateway
