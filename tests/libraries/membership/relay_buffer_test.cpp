#include <savorymount/base/random_source.hpp>
#include <savorymount/membership/relay_buffer.hpp>

#include <gtest/gtest.h>

#include <tests/libraries/seeded_property.hpp>

namespace savorymount::membership
{
namespace
{

peer_report report_of(std::string const& instance, std::uint64_t sequence)
{
    peer_report out;
    out.instance = instance;
    out.incarnation = "1";
    out.sequence = sequence;
    return out;
}

// Guards against totals that a receiver never learns because datagrams were lost, or because the
// totals did not change again afterwards.
TEST(relay_buffer, a_receiver_learns_every_total_although_datagrams_are_lost)
{
    tests::check_seeded(0x4e1a7, 100,
                        []
                        {
                            base::random_source random(*rc::gen::arbitrary<std::uint32_t>());
                            auto const lost_percent = *rc::gen::inRange(0U, 60U);
                            relay_buffer buffer;
                            auto sent = report_of("a", 0);
                            std::map<std::string, double> received;
                            auto const exchange = [&](bool lost)
                            {
                                ++sent.sequence;
                                buffer.record(sent);
                                for (auto const& it : buffer.take())
                                {
                                    for (auto const& [workspace, total] : it.admitted_tokens)
                                    {
                                        if (!lost)
                                            received[workspace] = total;
                                    }
                                }
                            };
                            for (int step = 0; step < 50; ++step)
                            {
                                auto const workspace =
                                    "w" + std::to_string(random.uniform_below(20));
                                sent.admitted_tokens[workspace] +=
                                    1 + static_cast<double>(random.next() % 100);
                                exchange(random.uniform_below(100) < lost_percent);
                            }
                            // Without losses, one period later everything is known.
                            for (int step = 0; step < 10; ++step)
                                exchange(false);
                            RC_ASSERT(received == sent.admitted_tokens);
                        });
}

// Guards against reports that grow with the number of workspaces instead of with what changed.
TEST(relay_buffer, leaves_out_totals_that_did_not_change)
{
    relay_buffer buffer;
    auto report = report_of("a", 1);
    for (int i = 0; i < 40; ++i)
        report.admitted_tokens["w" + std::to_string(i)] = i;
    buffer.record(report);
    buffer.take();
    for (int i = 0; i < 4; ++i)
    {
        ++report.sequence;
        buffer.record(report);
        buffer.take();
    }
    ++report.sequence;
    report.admitted_tokens["w7"] = 100;
    buffer.record(report);
    EXPECT_EQ(buffer.take().at(0).admitted_tokens, (std::map<std::string, double>{{"w7", 100.0}}));
}

// Guards against an instance that seems alive in other data centres after it stopped to report, and
// against parts of prompts that are reported more than once.
TEST(relay_buffer, reports_only_what_is_new)
{
    relay_buffer buffer;
    auto report = report_of("a", 1);
    report.assigned_prefixes["engine"] = {1, 2};
    buffer.record(report);
    report.sequence = 2;
    report.assigned_prefixes["engine"] = {3};
    buffer.record(report);
    auto const taken = buffer.take();
    ASSERT_EQ(taken.size(), 1U);
    EXPECT_EQ(taken[0].sequence, 2U);
    EXPECT_EQ(taken[0].assigned_prefixes.at("engine"), (std::vector<std::uint64_t>{1, 2, 3}));
    EXPECT_TRUE(buffer.take().empty());
}

// Guards against a partial report that erases what the full one before it told.
TEST(relay_buffer, keeps_the_rest_of_a_report_when_a_partial_one_follows)
{
    relay_buffer buffer;
    auto report = report_of("a", 1);
    report.admitted_tokens["w"] = 5;
    buffer.record(report);
    auto partial = report_of("a", 2);
    partial.partial = true;
    partial.lease = held_lease{2, 9};
    buffer.record(partial);
    auto const taken = buffer.take();
    ASSERT_EQ(taken.size(), 1U);
    EXPECT_EQ(taken[0].admitted_tokens.at("w"), 5);
    EXPECT_EQ(taken[0].lease, (held_lease{2, 9}));
    EXPECT_FALSE(taken[0].partial);
}

} // namespace
} // namespace savorymount::membership
