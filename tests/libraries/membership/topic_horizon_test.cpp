#include <savorymount/base/random_source.hpp>
#include <savorymount/membership/topic_horizon.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <tests/libraries/seeded_property.hpp>
#include <tests/libraries/time_points.hpp>
#include <vector>

namespace savorymount::membership
{
namespace
{

using namespace std::chrono_literals;
using tests::at;

constexpr base::duration poll_timeout = 1500ms;

/// A store with records that are appended at random times, and a reader that polls it. Messages are
/// slow, and the reader is suspended between any two steps.
class generated_history
{
public:
    explicit generated_history(std::uint32_t seed) : random_(seed)
    {
        auto appended_at = at(0s);
        while (appended_at < at(60s))
        {
            appended_at += delay(4000);
            appended_.push_back(appended_at);
        }
    }

    /// Polls once. Returns whether the horizon covers only records that the reader has.
    bool poll()
    {
        auto const sent_at = now_ += delay(20) + pause();
        auto const arrived_at = sent_at + delay(random_.uniform_below(10) == 0 ? 900 : 8);
        auto const next = known_ < appended_.size() ? appended_[known_] : at(10'000s);
        bool const has_records = next <= arrived_at + poll_timeout;
        auto const answered_at =
            has_records ? std::max(arrived_at, next) : arrived_at + poll_timeout;
        now_ = answered_at + delay(8) + pause();
        while (known_ < appended_.size() && appended_[known_] <= answered_at)
            ++known_;
        horizon_.records_read({sent_at, now_, poll_timeout, has_records, true});
        return known_ == appended_.size() || *horizon_.complete_until() <= appended_[known_];
    }

private:
    base::duration delay(std::uint64_t max_ms)
    {
        return std::chrono::milliseconds(random_.uniform_below(max_ms) + 1);
    }

    base::duration pause() { return random_.uniform_below(8) == 0 ? delay(6000) : 0ms; }

    base::random_source random_;
    std::vector<base::time_point> appended_;
    std::size_t known_ = 0;
    base::time_point now_ = at(0s);
    topic_horizon horizon_;
};

// Guards against a record that counts as appended later than it was, whatever the delays of the
// messages and the pauses of the reader.
TEST(topic_horizon, never_covers_a_record_that_the_reader_does_not_have)
{
    tests::check_property(300,
                          []
                          {
                              generated_history history(*rc::gen::arbitrary<std::uint32_t>());
                              for (int i = 0; i < 30; ++i)
                                  RC_ASSERT(history.poll());
                          });
}

// Guards against a horizon that lies behind while polls stay empty, which would make each new
// record seem older than it is.
TEST(topic_horizon, follows_polls_that_stay_empty)
{
    topic_horizon horizon;
    EXPECT_EQ(horizon.complete_until(), std::nullopt);
    horizon.snapshot_read(at(1s));
    // The store's timer may fire a little early.
    horizon.records_read({at(2s), at(3499ms), poll_timeout, false, true});
    EXPECT_EQ(horizon.complete_until(), at(3480ms));
    horizon.records_read({at(4s), at(4200ms), poll_timeout, true, true});
    EXPECT_EQ(horizon.complete_until(), at(4s));
    // An empty answer before the end of the poll shows only the state when the read was sent.
    horizon.records_read({at(5s), at(5100ms), poll_timeout, false, true});
    EXPECT_EQ(horizon.complete_until(), at(5s));
    // More records follow those of a page that does not reach the end.
    horizon.records_read({at(6s), at(6100ms), poll_timeout, true, false});
    EXPECT_EQ(horizon.complete_until(), at(5s));
}

} // namespace
} // namespace savorymount::membership
