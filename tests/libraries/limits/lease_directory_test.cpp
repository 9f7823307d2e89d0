#include <savorymount/limits/lease_directory.hpp>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace savorymount::limits
{
namespace
{

lease_record record(char const* agent, std::uint64_t previous, std::uint64_t fence = 0)
{
    return {"counter", agent, "i1", previous, fence};
}

// Guards against two agents that both believe that their record was accepted.
TEST(lease_directory, accepts_only_successor_of_newest)
{
    lease_directory directory;
    directory.begin_read(1, 1);
    EXPECT_TRUE(directory.apply(5, record("a", 0)));
    EXPECT_FALSE(directory.apply(6, record("b", 0)));
    EXPECT_TRUE(directory.apply(9, record("c", 5)));
    EXPECT_FALSE(directory.apply(10, record("d", 5)));
    EXPECT_EQ(directory.newest("counter")->agent, "c");
    EXPECT_EQ(directory.fence("counter"), 9U);
    // A repeated read brings the same records again.
    EXPECT_FALSE(directory.apply(9, record("c", 5)));
}

// Guards against a second full bucket: only a reader of the whole log knows that nobody owned it.
TEST(lease_directory, first_ever_needs_the_whole_log)
{
    lease_directory whole;
    whole.begin_read(1, 1);
    whole.apply(5, record("a", 0));
    EXPECT_TRUE(whole.newest("counter")->first_ever);
    lease_directory part;
    part.begin_read(1, 4);
    part.apply(5, record("a", 0));
    EXPECT_FALSE(part.newest("counter")->first_ever);
}

// Guards against grants that are dropped because the same owner renewed its lease.
TEST(lease_directory, renewal_keeps_fencing_token)
{
    lease_directory directory;
    directory.begin_read(1, 1);
    directory.apply(5, record("a", 0));
    EXPECT_TRUE(directory.apply(50, record("a", 5, 5)));
    EXPECT_EQ(directory.fence("counter"), 5U);
    EXPECT_EQ(directory.newest("counter")->offset, 50U);
    EXPECT_FALSE(directory.apply(51, record("b", 50, 5)));
}

// Guards against readers that disagree once the older records have expired from the log.
TEST(lease_directory, late_reader_agrees_with_early_one)
{
    lease_directory early;
    early.begin_read(1, 1);
    early.apply(5, record("a", 0));
    early.apply(50, record("a", 5, 5));
    lease_directory late;
    late.begin_read(1, 20);
    EXPECT_TRUE(late.apply(50, record("a", 5, 5)));
    EXPECT_EQ(late.fence("counter"), early.fence("counter"));
    EXPECT_EQ(late.newest("counter")->list_id(), early.newest("counter")->list_id());
    EXPECT_FALSE(late.complete());
    // A record that names a kept offset which is not the newest lease is rejected by both.
    EXPECT_FALSE(late.apply(51, record("b", 30)));
    EXPECT_FALSE(early.apply(51, record("b", 30)));
    // An expired lease is forgotten by both, so both accept the same next record.
    early.begin_read(52, 60);
    late.begin_read(52, 60);
    EXPECT_EQ(early.newest("counter"), nullptr);
    EXPECT_TRUE(early.apply(61, record("b", 0)));
    EXPECT_TRUE(late.apply(61, record("b", 0)));
    EXPECT_FALSE(early.newest("counter")->first_ever);
    EXPECT_EQ(early.fence("counter"), 61U);
}

// Guards against records of other programs that end the reader.
TEST(lease_directory, record_round_trip_and_errors)
{
    base::error reason;
    auto const renewal = record("a", 5, 5);
    EXPECT_EQ(parse_lease_record(to_json(renewal), reason), renewal);
    auto const plain = record("a", 5);
    EXPECT_FALSE(to_json(plain).contains("fence"));
    EXPECT_EQ(parse_lease_record(to_json(plain), reason), plain);
    for (auto const* const text : {"[]", "{}", R"({"kind":"claim"})", R"({"kind":"lease"})",
                                   R"({"kind":"lease","workspace":"w","agent":1})",
                                   R"({"kind":"lease","workspace":"w","agent":"a",
                                       "incarnation":"i","previous":-1})"})
    {
        reason = {};
        EXPECT_FALSE(parse_lease_record(nlohmann::json::parse(text), reason)) << text;
        EXPECT_EQ(reason.kind, base::error_kind::invalid_input);
    }
}

} // namespace
} // namespace savorymount::limits
