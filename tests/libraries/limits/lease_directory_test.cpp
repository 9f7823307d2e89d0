#include <savorymount/limits/lease_directory.hpp>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace savorymount::limits
{
namespace
{

lease_record record(char const* agent, std::uint64_t previous, std::uint64_t fencing_token = 0)
{
    return {"counter", agent, "i1", previous, fencing_token};
}

// Guards against two agents that both conclude that their record was accepted.
TEST(lease_directory, accepts_only_successor_of_newest)
{
    lease_directory directory;
    directory.begin_read(1, 1);
    EXPECT_TRUE(directory.apply(5, record("a", 0)));
    EXPECT_FALSE(directory.apply(6, record("b", 0)));
    EXPECT_TRUE(directory.apply(9, record("c", 5)));
    EXPECT_FALSE(directory.apply(10, record("d", 5)));
    EXPECT_EQ(directory.newest_lease("counter")->agent, "c");
    EXPECT_EQ(directory.fencing_token("counter"), 9U);
    // A repeated read returns the same records again.
    EXPECT_FALSE(directory.apply(9, record("c", 5)));
}

// Guards against a bucket that starts full a second time: only a reader of the whole log knows that
// it never had an owner.
TEST(lease_directory, first_lease_needs_the_whole_log)
{
    lease_directory full_reader;
    full_reader.begin_read(1, 1);
    full_reader.apply(5, record("a", 0));
    EXPECT_TRUE(full_reader.newest_lease("counter")->first_lease);
    lease_directory partial_reader;
    partial_reader.begin_read(1, 4);
    partial_reader.apply(5, record("a", 0));
    EXPECT_FALSE(partial_reader.newest_lease("counter")->first_lease);
}

// Guards against grants that are dropped because their owner renewed its lease.
TEST(lease_directory, renewal_keeps_fencing_token)
{
    lease_directory directory;
    directory.begin_read(1, 1);
    directory.apply(5, record("a", 0));
    EXPECT_TRUE(directory.apply(50, record("a", 5, 5)));
    EXPECT_EQ(directory.fencing_token("counter"), 5U);
    EXPECT_EQ(directory.newest_lease("counter")->offset, 50U);
    EXPECT_FALSE(directory.apply(51, record("b", 50, 5)));
}

// Guards against readers that disagree after older records have expired from the log.
TEST(lease_directory, readers_agree_after_older_records_expire)
{
    lease_directory early_reader;
    early_reader.begin_read(1, 1);
    early_reader.apply(5, record("a", 0));
    early_reader.apply(50, record("a", 5, 5));
    lease_directory late_reader;
    late_reader.begin_read(1, 20);
    EXPECT_TRUE(late_reader.apply(50, record("a", 5, 5)));
    EXPECT_EQ(late_reader.fencing_token("counter"), early_reader.fencing_token("counter"));
    EXPECT_EQ(late_reader.newest_lease("counter")->list_entry_id(),
              early_reader.newest_lease("counter")->list_entry_id());
    EXPECT_FALSE(late_reader.covers_whole_log());
    // Both reject a record that names an offset in the log which is not that of the newest lease.
    EXPECT_FALSE(late_reader.apply(51, record("b", 30)));
    EXPECT_FALSE(early_reader.apply(51, record("b", 30)));
    // Both drop an expired lease, so both accept the same next record.
    early_reader.begin_read(52, 60);
    late_reader.begin_read(52, 60);
    EXPECT_EQ(early_reader.newest_lease("counter"), nullptr);
    EXPECT_TRUE(early_reader.apply(61, record("b", 0)));
    EXPECT_TRUE(late_reader.apply(61, record("b", 0)));
    EXPECT_FALSE(early_reader.newest_lease("counter")->first_lease);
    EXPECT_EQ(early_reader.fencing_token("counter"), 61U);
}

// Guards against accepting log records of other kinds or with invalid fields as leases.
TEST(lease_directory, record_round_trip_and_errors)
{
    base::error reason;
    auto const renewal = record("a", 5, 5);
    EXPECT_EQ(parse_lease_record(to_json(renewal), reason), renewal);
    auto const acquisition = record("a", 5);
    EXPECT_FALSE(to_json(acquisition).contains("fence"));
    EXPECT_EQ(parse_lease_record(to_json(acquisition), reason), acquisition);
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
