#include <savorymount/deduplication/outcome_store.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <map>
#include <tests/libraries/seeded_property.hpp>

namespace savorymount::deduplication
{
namespace
{

using store = outcome_store<std::string>;

base::time_point at(std::chrono::seconds time)
{
    return base::time_point(time);
}

// Guards against a second run of a request that is sent again while it runs or afterwards.
TEST(outcome_store, a_started_request_never_starts_again_within_the_retention)
{
    store outcomes;
    EXPECT_EQ(outcomes.begin("r", at(std::chrono::seconds(0))), begin_verdict::started);
    EXPECT_EQ(outcomes.begin("r", at(std::chrono::hours(2))), begin_verdict::running);
    EXPECT_TRUE(outcomes.finish("r", "booked", 6, at(std::chrono::hours(2))));
    EXPECT_FALSE(outcomes.finish("r", "booked twice", 12, at(std::chrono::hours(2))));
    EXPECT_FALSE(outcomes.withdraw("r"));
    auto const last = std::chrono::hours(2) + std::chrono::minutes(10);
    EXPECT_EQ(outcomes.begin("r", at(last - std::chrono::seconds(1))), begin_verdict::finished);
    EXPECT_EQ(*outcomes.find("r", at(last - std::chrono::seconds(1))).payload, "booked");
    EXPECT_EQ(outcomes.find("r", at(last)).state, outcome_state::absent);
}

// Guards against a request that can't be sent again although it was refused before it ran.
TEST(outcome_store, a_withdrawn_request_may_start_again)
{
    store outcomes;
    EXPECT_EQ(outcomes.begin("r", at(std::chrono::seconds(0))), begin_verdict::started);
    EXPECT_TRUE(outcomes.withdraw("r"));
    EXPECT_FALSE(outcomes.finish("r", "", 0, at(std::chrono::seconds(0))));
    EXPECT_EQ(outcomes.begin("r", at(std::chrono::seconds(1))), begin_verdict::started);
}

// Guards against ids that are forgotten because other callers fill the store.
TEST(outcome_store, a_full_store_answers_unknown_and_refuses_new_requests)
{
    outcome_limits limits;
    limits.count = 2;
    limits.bytes = 100;
    limits.ids = 3;
    store outcomes(limits);
    for (std::string const id : {"a", "b", "c"})
    {
        EXPECT_EQ(outcomes.begin(id, at(std::chrono::seconds(0))), begin_verdict::started);
        EXPECT_TRUE(outcomes.finish(id, "", 40, at(std::chrono::seconds(0))));
    }
    EXPECT_EQ(outcomes.begin("a", at(std::chrono::seconds(599))), begin_verdict::unknown);
    EXPECT_EQ(outcomes.begin("c", at(std::chrono::seconds(599))), begin_verdict::finished);
    EXPECT_EQ(outcomes.begin("d", at(std::chrono::seconds(599))), begin_verdict::overloaded);
    EXPECT_EQ(outcomes.find("d", at(std::chrono::seconds(599))).state, outcome_state::absent);
    EXPECT_EQ(outcomes.begin("d", at(std::chrono::seconds(600))), begin_verdict::started);
    // An outcome above the whole bound is not kept, but its id is.
    EXPECT_TRUE(outcomes.finish("d", "", 101, at(std::chrono::seconds(600))));
    EXPECT_EQ(outcomes.begin("d", at(std::chrono::seconds(601))), begin_verdict::unknown);
    EXPECT_EQ(outcomes.bytes(), 0U);
}

struct model_entry
{
    bool finished = false;
    base::time_point finished_at;
};

// Guards against a second run, a lost outcome or memory above the bounds, in any order of calls.
TEST(outcome_store, generated_histories_never_start_an_id_twice)
{
    tests::check_property(
        500,
        []
        {
            outcome_limits limits;
            limits.retention = std::chrono::seconds(20);
            limits.count = *rc::gen::inRange<std::size_t>(0, 5);
            limits.bytes = *rc::gen::inRange<std::size_t>(0, 100);
            limits.ids = *rc::gen::inRange<std::size_t>(1, 9);
            store outcomes(limits);
            std::map<std::string, model_entry> model;
            base::time_point now;
            auto const steps = *rc::gen::inRange(0, 150);
            for (int n = 0; n < steps; ++n)
            {
                now += std::chrono::seconds(*rc::gen::inRange(0, 4));
                auto const id = std::string(1, char('a' + *rc::gen::inRange(0, 12)));
                std::erase_if(model,
                              [&](auto const& it) {
                                  return it.second.finished &&
                                         it.second.finished_at + limits.retention <= now;
                              });
                auto const known = model.find(id);
                switch (*rc::gen::inRange(0, 4))
                {
                case 0:
                case 1:
                {
                    auto const verdict = outcomes.begin(id, now);
                    RC_TAG(static_cast<int>(verdict));
                    RC_ASSERT((verdict == begin_verdict::started ||
                               verdict == begin_verdict::overloaded) == (known == model.end()));
                    RC_ASSERT((verdict == begin_verdict::overloaded) ==
                              (known == model.end() && model.size() >= limits.ids));
                    if (verdict == begin_verdict::started)
                        model[id] = {};
                    break;
                }
                case 2:
                {
                    bool const running = known != model.end() && !known->second.finished;
                    auto const size = *rc::gen::inRange<std::size_t>(0, 60);
                    RC_ASSERT(outcomes.finish(id, id, size, now) == running);
                    if (running)
                        known->second = {true, now};
                    break;
                }
                default:
                {
                    bool const running = known != model.end() && !known->second.finished;
                    RC_ASSERT(outcomes.withdraw(id) == running);
                    if (running)
                        model.erase(known);
                }
                }
                outcomes.expire(now);
                RC_ASSERT(outcomes.bytes() <= limits.bytes);
                RC_ASSERT(outcomes.finished() <= limits.count);
                RC_ASSERT(outcomes.running() + outcomes.finished() + outcomes.forgotten() ==
                          model.size());
                for (auto const& [name, entry] : model)
                {
                    auto const found = outcomes.find(name, now);
                    RC_ASSERT((found.state == outcome_state::running) == !entry.finished);
                    RC_ASSERT(found.state != outcome_state::absent);
                    RC_ASSERT((found.state == outcome_state::finished) ==
                              (found.payload != nullptr));
                    RC_ASSERT((!found.payload || *found.payload == name));
                }
            }
        });
}

} // namespace
} // namespace savorymount::deduplication
