#include "tests/libraries/configuration/example_documents.hpp"
#include "tests/libraries/configuration/log_history.hpp"
#include "tests/libraries/seeded_property.hpp"
#include <savorymount/configuration/configuration_log.hpp>

#include <gtest/gtest.h>

#include <algorithm>

namespace savorymount::configuration
{
namespace
{

using tests::log_history;

constexpr std::uint64_t seed = 20'261;
constexpr int runs = 400;

log_history generated_history()
{
    auto const steps = *rc::gen::arbitrary<std::vector<std::uint8_t>>().as("steps");
    return log_history(steps, *rc::gen::inRange<std::uint64_t>(0, 1'000).as("values"));
}

/// Applies the records in [from, to] and checks after each that the version never goes back.
void read(configuration_log& reader, log_history const& log, std::uint64_t from, std::uint64_t to)
{
    for (auto offset = from; offset <= to; ++offset)
    {
        auto const before = reader.version();
        auto const& it = log.records().at(offset - 1);
        reader.apply(it.offset, it.id, it.body);
        RC_ASSERT(reader.version() >= before);
        RC_ASSERT(reader.next_offset() == offset + 1);
    }
}

void assert_holds(configuration_log const& reader, log_history const& log, std::uint64_t version)
{
    RC_ASSERT(reader.version() == version);
    RC_ASSERT(reader.content() == log.content_of(version));
    base::error reason;
    auto const whole = parse_configuration(version, reader.content(), reason);
    RC_ASSERT(whole.has_value());
    RC_ASSERT(whole->groups().size() == reader.current()->groups().size());
}

// Guards against readers that judge a change differently: a configuration would be in force at some
// instances only.
TEST(configuration_log, reader_of_the_whole_log_agrees_with_the_reference)
{
    savorymount::tests::check_seeded(
        seed, runs,
        []
        {
            auto const log = generated_history();
            configuration_log reader;
            std::vector<audit_entry> audit;
            reader.on_audit = [&](audit_entry const& it)
            {
                audit.push_back(it);
            };
            for (auto const& it : log.records())
            {
                auto const verdict = reader.apply(it.offset, it.id, it.body);
                assert_holds(reader, log, log.version_at(it.offset));
                RC_ASSERT(reader.synchronized());
                RC_ASSERT((verdict.kind == verdict_kind::accepted) == log.accepted(it.offset));
                RC_ASSERT(verdict.kind != verdict_kind::deferred);
            }
            std::uint64_t last = 0;
            for (auto const& it : audit)
            {
                RC_ASSERT(it.offset > last);
                RC_ASSERT(it.accepted == log.accepted(it.offset));
                RC_ASSERT(it.reason.empty() == it.accepted);
                last = it.offset;
            }
        });
}

// Guards against a restarted instance that holds another version than the others, or that trusts a
// snapshot from before a gap: withdrawn keys would work again.
TEST(configuration_log, reader_of_a_truncated_log_agrees_once_a_snapshot_covers_the_gap)
{
    savorymount::tests::check_seeded(
        seed + 1, runs,
        []
        {
            auto const log = generated_history();
            auto const first = *rc::gen::inRange<std::uint64_t>(1, log.end() + 2).as("first");
            configuration_log reader;
            reader.skip_to(first);
            std::vector<audit_entry> audit;
            reader.on_audit = [&](audit_entry const& it)
            {
                audit.push_back(it);
            };
            for (auto offset = first; offset <= log.end(); ++offset)
            {
                read(reader, log, offset, offset);
                if (reader.synchronized())
                    assert_holds(reader, log, log.version_at(offset));
                else
                    RC_ASSERT(reader.version() == 0U);
            }
            RC_ASSERT(reader.synchronized() == log.has_usable_snapshot(first));
            std::uint64_t last = 0;
            for (auto const& it : audit)
            {
                RC_ASSERT(it.offset > last);
                RC_ASSERT(it.accepted == log.accepted(it.offset));
                last = it.offset;
            }
            auto const accepted = std::count_if(audit.begin(), audit.end(),
                                                [](audit_entry const& it) { return it.accepted; });
            std::int64_t expected = 0;
            for (auto offset = first; offset <= log.end(); ++offset)
                expected += log.accepted(offset) ? 1 : 0;
            if (reader.synchronized())
                RC_ASSERT(accepted == expected);
        });
}

// Guards against a fold that goes back or stays apart for good after losing records or taking a
// peer's copy at any moment.
TEST(configuration_log, readers_with_gaps_and_peers_never_go_back_and_converge)
{
    savorymount::tests::check_seeded(
        seed + 2, 2 * runs,
        []
        {
            auto const log = generated_history();
            configuration_log reader;
            std::uint64_t adopted = 0;
            auto offset = *rc::gen::inRange<std::uint64_t>(1, log.end() + 2).as("first");
            std::vector<std::uint64_t> judged;
            reader.on_audit = [&](audit_entry const& it)
            {
                RC_ASSERT(it.accepted == log.accepted(it.offset));
                RC_ASSERT((judged.empty() || judged.back() < it.offset));
                judged.push_back(it.offset);
            };
            while (offset <= log.end())
            {
                auto const event = *rc::gen::inRange(0, 20);
                if (event == 0)
                    offset += *rc::gen::inRange<std::uint64_t>(0, 5);
                if (event == 1)
                {
                    auto const at = *rc::gen::inRange<std::uint64_t>(0, log.end() + 1);
                    auto const version = log.version_at(at);
                    auto const before = reader.version();
                    base::error reason;
                    auto const taken = reader.adopt(version, log.content_of(version), reason);
                    RC_ASSERT(taken == (version > before));
                    adopted = std::max(adopted, version);
                    RC_ASSERT(reader.version() >= std::max(before, version));
                }
                reader.skip_to(offset);
                if (offset > log.end())
                    break;
                read(reader, log, offset, offset);
                RC_ASSERT(log.is_version(reader.version()));
                RC_ASSERT(reader.content() == log.content_of(reader.version()));
                if (reader.synchronized())
                    RC_ASSERT(reader.version() == std::max(adopted, log.version_at(offset)));
                else
                    RC_ASSERT(reader.version() <= std::max(adopted, log.version_at(offset)));
                if (auto const snapshot = reader.snapshot())
                    RC_ASSERT(log.version_at(snapshot->through) == snapshot->version);
                ++offset;
            }
        });
}

// Guards against two operators who both believe that their change is in force.
TEST(configuration_log, two_operators_on_one_base_yield_one_acceptance)
{
    savorymount::tests::check_seeded(
        seed + 3, runs,
        []
        {
            auto const log = generated_history();
            auto const base = log.version_at(log.end());
            auto const operators = *rc::gen::inRange<std::uint64_t>(2, 6);
            std::vector<int> accepted(3, 0);
            std::vector<configuration_log> readers(3);
            for (std::size_t i = 0; i < readers.size(); ++i)
            {
                read(readers[i], log, 1, log.end());
                for (std::uint64_t k = 1; k <= operators; ++k)
                {
                    auto const name = "g" + std::to_string(k);
                    change_record const change{
                        base,
                        "operator-" + std::to_string(k),
                        1000,
                        {{"groups/" + name, {{"group", name}, {"kind", "plain"}}}}};
                    auto const verdict = readers[i].apply(
                        log.end() + k, "race-" + std::to_string(k), to_json(change));
                    accepted[i] += verdict.kind == verdict_kind::accepted ? 1 : 0;
                    if (k > 1)
                        RC_ASSERT(verdict.reason ==
                                  "the change is based on version " + std::to_string(base) +
                                      ", but version " + std::to_string(log.end() + 1) +
                                      " was in force; compare with it and publish again");
                }
            }
            RC_ASSERT(accepted == std::vector<int>(3, 1));
        });
}

// Guards against a fleet whose log has held no change for longer than the retention: without the
// offset that a snapshot covers, no new instance could ever start from the log.
TEST(configuration_log, snapshot_of_an_old_version_is_usable_by_the_offset_that_it_covers)
{
    auto const body = [](std::uint64_t through)
    {
        return to_json(snapshot_record{7, through, example::all()});
    };
    configuration_log reader;
    reader.skip_to(500);
    EXPECT_EQ(reader.apply(500, "a", body(498)).kind, verdict_kind::ignored);
    EXPECT_FALSE(reader.ready());
    EXPECT_EQ(reader.apply(501, "b", body(499)).kind, verdict_kind::snapshot_used);
    EXPECT_TRUE(reader.ready());
    EXPECT_TRUE(reader.synchronized());
    EXPECT_EQ(reader.version(), 7U);
    auto without = body(0);
    without.erase("through");
    configuration_log other;
    other.skip_to(9);
    EXPECT_EQ(other.apply(9, "c", without).kind, verdict_kind::ignored);
    configuration_log adjacent;
    adjacent.skip_to(8);
    EXPECT_EQ(adjacent.apply(8, "d", without).kind, verdict_kind::snapshot_used);
}

// Guards against an instance that reverts to a slower peer's or an older snapshot's version.
TEST(configuration_log, older_versions_are_refused)
{
    configuration_log reader;
    base::error reason;
    int announced = 0;
    reader.on_configuration = [&](configuration const&)
    {
        ++announced;
    };
    EXPECT_TRUE(reader.adopt(9, example::all(), reason));
    EXPECT_FALSE(reader.adopt(9, example::all(), reason));
    EXPECT_EQ(reason.kind, base::error_kind::conflict);
    EXPECT_FALSE(reader.adopt(8, documents(), reason));
    EXPECT_FALSE(reader.adopt(10, documents({{"system", nlohmann::json::array()}}), reason));
    EXPECT_EQ(reason.kind, base::error_kind::invalid_input);
    EXPECT_EQ(reader.version(), 9U);
    EXPECT_EQ(announced, 1);
    for (std::uint64_t i = 1; i <= 20; ++i)
        reader.apply(i, "lease", {{"kind", "lease"}});
    EXPECT_EQ(reader.apply(21, "s", to_json(snapshot_record{8, 20, documents()})).kind,
              verdict_kind::ignored);
    EXPECT_EQ(reader.version(), 9U);
}

// Guards against an audit trail that shows an accepted change a second time as rejected, after its
// append was repeated because the response was lost.
TEST(configuration_log, repeated_append_of_an_accepted_change_is_ignored)
{
    configuration_log reader;
    std::vector<audit_entry> audit;
    reader.on_audit = [&](audit_entry const& it)
    {
        audit.push_back(it);
    };
    auto const body = to_json(change_record{0, "mieke", 1000, example::entries()});
    EXPECT_EQ(reader.apply(1, "a", body).kind, verdict_kind::accepted);
    EXPECT_EQ(reader.apply(2, "a", body).kind, verdict_kind::ignored);
    EXPECT_EQ(reader.apply(3, "b", body).kind, verdict_kind::rejected);
    ASSERT_EQ(audit.size(), 2U);
    EXPECT_EQ(audit[0], (audit_entry{1,
                                     "a",
                                     1000,
                                     "mieke",
                                     0,
                                     true,
                                     "",
                                     {"groups/model-bench", "groups/tankyard", "routes/bookings",
                                      "routes/chat", "system", "workspaces/counter"}}));
    EXPECT_EQ(audit[1].id, "b");
    EXPECT_EQ(reader.version(), 1U);
}

// Guards against a record that makes a reader spend memory or stack without bound.
TEST(configuration_log, oversized_changes_have_no_effect)
{
    change_record change{0, "mieke", 1000, {}};
    change.changes["system"] = {{"note", std::string(document_limits{}.max_change_bytes, 'x')}};
    configuration_log reader;
    auto const verdict = reader.apply(1, "big", to_json(change));
    EXPECT_EQ(verdict.kind, verdict_kind::ignored);
    EXPECT_EQ(verdict.reason, "the change is nested too deeply or larger than 4194304 bytes; "
                              "publish it in parts");
}

// Guards against unbounded memory at a reader that waits for a snapshot for a long time: it drops
// the oldest changes, and then needs a snapshot that covers the dropped ones.
TEST(configuration_log, buffer_of_unjudged_changes_is_bounded)
{
    configuration_log reader;
    reader.skip_to(100);
    change_record change{50, "mieke", 1000, {}};
    change.changes["system"] = {{"note", std::string(std::size_t{3} << 20, 'x')}};
    for (std::uint64_t i = 100; i < 110; ++i)
        reader.apply(i, "big-" + std::to_string(i), to_json(change));
    EXPECT_EQ(reader.apply(110, "a", to_json(snapshot_record{50, 100, example::all()})).kind,
              verdict_kind::ignored);
    EXPECT_EQ(reader.apply(111, "b", to_json(snapshot_record{50, 109, example::all()})).kind,
              verdict_kind::snapshot_used);
}

// Guards against a reader that looks up to date after all records have expired unseen.
TEST(configuration_log, gap_without_records_ends_synchronization)
{
    configuration_log reader;
    EXPECT_TRUE(reader.synchronized());
    reader.skip_to(40);
    EXPECT_FALSE(reader.synchronized());
    EXPECT_FALSE(reader.snapshot());
    EXPECT_EQ(reader.apply(12, "late", {{"kind", "lease"}}).kind, verdict_kind::ignored);
}

} // namespace
} // namespace savorymount::configuration
