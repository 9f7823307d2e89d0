#include <savorymount/deduplication/outcome_store.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <map>
#include <tests/libraries/seeded_property.hpp>

namespace savorymount::deduplication
{
namespace
{

using string_store = outcome_store<std::string>;

base::time_point at(std::chrono::seconds time)
{
    return base::time_point(time);
}

// Guards against a second run of a request that is sent again while it runs or after it finished.
TEST(outcome_store, started_request_does_not_start_again_within_the_retention)
{
    string_store outcomes;
    EXPECT_EQ(outcomes.begin("r", at(std::chrono::seconds(0))), begin_result::started);
    EXPECT_EQ(outcomes.begin("r", at(std::chrono::hours(2))), begin_result::running);
    EXPECT_TRUE(outcomes.finish("r", "booked", 6, at(std::chrono::hours(2))));
    EXPECT_FALSE(outcomes.finish("r", "booked twice", 12, at(std::chrono::hours(2))));
    EXPECT_FALSE(outcomes.withdraw("r"));
    auto const last = std::chrono::hours(2) + std::chrono::minutes(10);
    EXPECT_EQ(outcomes.begin("r", at(last - std::chrono::seconds(1))), begin_result::finished);
    EXPECT_EQ(*outcomes.find("r", at(last - std::chrono::seconds(1))).payload, "booked");
    EXPECT_EQ(outcomes.find("r", at(last)).state, outcome_state::absent);
}

// Guards against a request that can't be sent again although it was refused before it ran.
TEST(outcome_store, withdrawn_request_can_start_again)
{
    string_store outcomes;
    EXPECT_EQ(outcomes.begin("r", at(std::chrono::seconds(0))), begin_result::started);
    EXPECT_TRUE(outcomes.withdraw("r"));
    EXPECT_FALSE(outcomes.finish("r", "", 0, at(std::chrono::seconds(0))));
    EXPECT_EQ(outcomes.begin("r", at(std::chrono::seconds(1))), begin_result::started);
}

// Guards against removing ids because other clients fill the store.
TEST(outcome_store, full_store_reports_unknown_and_refuses_new_requests)
{
    outcome_limits limits;
    limits.max_outcomes = 2;
    limits.max_bytes = 100;
    limits.max_ids = 3;
    string_store outcomes(limits);
    for (std::string const id : {"a", "b", "c"})
    {
        EXPECT_EQ(outcomes.begin(id, at(std::chrono::seconds(0))), begin_result::started);
        EXPECT_TRUE(outcomes.finish(id, "", 40, at(std::chrono::seconds(0))));
    }
    EXPECT_EQ(outcomes.begin("a", at(std::chrono::seconds(599))), begin_result::unknown);
    EXPECT_EQ(outcomes.begin("c", at(std::chrono::seconds(599))), begin_result::finished);
    EXPECT_EQ(outcomes.begin("d", at(std::chrono::seconds(599))), begin_result::overloaded);
    EXPECT_EQ(outcomes.find("d", at(std::chrono::seconds(599))).state, outcome_state::absent);
    EXPECT_EQ(outcomes.begin("d", at(std::chrono::seconds(600))), begin_result::started);
    // An outcome larger than `max_bytes` is evicted at once, but its id is kept.
    EXPECT_TRUE(outcomes.finish("d", "", 101, at(std::chrono::seconds(600))));
    EXPECT_EQ(outcomes.begin("d", at(std::chrono::seconds(601))), begin_result::unknown);
    EXPECT_EQ(outcomes.bytes(), 0U);
}

struct model_entry
{
    bool finished = false;
    base::time_point finished_at;
};

// Guards against a second run, a lost outcome or exceeded limits in any order of calls.
TEST(outcome_store, no_id_starts_twice_in_generated_histories)
{
    tests::check_property(
        500,
        []
        {
            outcome_limits limits;
            limits.retention = std::chrono::seconds(20);
            limits.max_outcomes = *rc::gen::inRange<std::size_t>(0, 5);
            limits.max_bytes = *rc::gen::inRange<std::size_t>(0, 100);
            limits.max_ids = *rc::gen::inRange<std::size_t>(1, 9);
            string_store outcomes(limits);
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
                    auto const result = outcomes.begin(id, now);
                    RC_TAG(static_cast<int>(result));
                    RC_ASSERT((result == begin_result::started ||
                               result == begin_result::overloaded) == (known == model.end()));
                    RC_ASSERT((result == begin_result::overloaded) ==
                              (known == model.end() && model.size() >= limits.max_ids));
                    if (result == begin_result::started)
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
                outcomes.remove_expired(now);
                RC_ASSERT(outcomes.bytes() <= limits.max_bytes);
                RC_ASSERT(outcomes.finished_count() <= limits.max_outcomes);
                RC_ASSERT(outcomes.running_count() + outcomes.finished_count() +
                              outcomes.evicted_count() ==
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
