#include <savorymount/gateway/peer_report_codec.hpp>

#include <gtest/gtest.h>

#include <limits>
#include <vector>

namespace savorymount::gateway
{
namespace
{

using namespace std::chrono_literals;

membership::peer_report sample_report()
{
    membership::peer_report out;
    out.instance = "gateway-1";
    out.incarnation = "9f";
    out.address = "10.0.0.1:7600";
    out.sequence = 12;
    out.lease = membership::held_lease{3, 7};
    out.configuration_version = 31;
    out.admitted_tokens = {{"workspace-1", 812.5}};
    out.upstream_use = {{"engine-1", {3, 900}}};
    out.weight_loads = {{"engine-2", "model-1", 4, 250ms, false},
                        {"engine-3", "", 0, 400ms, true},
                        {"engine-4", "model-1", 5, 0ms, false, true}};
    out.crashes = {{"0f", "engine-4"}};
    out.losses = {{{"engine-4/12", 99, {3, 0xffffffffffffffffU}}, 1500ms}};
    out.sound_parts = {{7, 20ms}};
    out.streams = {{7, "engines", "v1"}, {8, "engines", "v2"}};
    out.limits = {{{"engine-5/3", 1.25}, 40ms}, {{"engine-6/3", std::nullopt}, 900ms}};
    out.assigned_prefixes = {{"engine-1", {1, 0xffffffffffffffffU}}};
    return out;
}

TEST(peer_report_codec, round_trips_every_field)
{
    auto const decoded = decode_peer_report(encode_peer_report(sample_report()));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(*decoded, sample_report());
}

// Guards against a foreign or corrupted datagram that crashes the process, and against a truncated
// one that is accepted.
TEST(peer_report_codec, rejects_truncated_reports_and_survives_corrupted_ones)
{
    auto const encoded = encode_peer_report(sample_report());
    EXPECT_FALSE(decode_peer_report(""));
    EXPECT_FALSE(decode_peer_report("hello"));
    for (std::size_t i = 0; i < encoded.size(); ++i)
    {
        EXPECT_FALSE(decode_peer_report(std::string_view(encoded).substr(0, i))) << i;
        auto corrupted = encoded;
        corrupted[i] = static_cast<char>(corrupted[i] ^ 0x41);
        (void)decode_peer_report(corrupted);
    }
}

// Guards against relayed reports and store updates that are lost or changed on the way, and against
// reports that are nested without end.
TEST(peer_report_codec, round_trips_relayed_reports_and_store_updates)
{
    auto report = sample_report();
    report.data_centre = "dc";
    report.relayed = {sample_report(), sample_report()};
    report.store_updates = {{"topic",
                             2,
                             5,
                             9,
                             {{"key", std::string("a\0b", 3), 7}, {"gone", std::nullopt, 8}},
                             true,
                             {}},
                            {"topic", 2, 9, 9, {}, false, std::chrono::milliseconds(1200)}};
    auto const decoded = decode_peer_report(encode_peer_report(report));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(*decoded, report);
    report.relayed[0].relayed = {sample_report()};
    EXPECT_FALSE(decode_peer_report(encode_peer_report(report)));
}

// Guards against values that no instance reports, and that would spoil every sum they are part of.
TEST(peer_report_codec, rejects_reports_with_implausible_values)
{
    std::vector<void (*)(membership::peer_report&)> const changes{
        [](auto& it) { it.admitted_tokens["club"] = std::numeric_limits<double>::quiet_NaN(); },
        [](auto& it) { it.admitted_tokens["club"] = std::numeric_limits<double>::infinity(); },
        [](auto& it) { it.admitted_tokens["club"] = -1e300; },
        [](auto& it) { it.admitted_tokens["club"] = 1e300; },
        [](auto& it) {
            it.upstream_use["engine"] = {1, -5};
        },
        [](auto& it) {
            it.upstream_use["engine"] = {4'000'000'000, 5};
        },
        [](auto& it) {
            it.upstream_use[std::string(5000, 'x')] = {1, 5};
        },
        [](auto& it) { it.uptime = std::chrono::milliseconds(std::int64_t{1} << 62); },
        [](auto& it) { it.instance.clear(); },
        [](auto& it) { it.incarnation = std::string(10'000, 'x'); },
    };
    for (std::size_t i = 0; i < changes.size(); ++i)
    {
        auto report = sample_report();
        changes[i](report);
        EXPECT_FALSE(decode_peer_report(encode_peer_report(report))) << i;
    }
}

// Guards against a key that another instance takes for a different one.
TEST(peer_report_codec, keys_of_records_are_passed_on_whole)
{
    using namespace std::string_literals;
    membership::peer_report report;
    report.instance = "a";
    report.incarnation = "i";
    report.store_updates = {{"topic", 1, 0, 2, {{"id\0odd"s, "\xff\0"s, 1}}, false, {}}};
    auto const read = decode_peer_report(encode_peer_report(report));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->store_updates, report.store_updates);
}

} // namespace
} // namespace savorymount::gateway
