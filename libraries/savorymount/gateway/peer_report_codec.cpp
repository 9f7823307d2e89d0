#include <savorymount/gateway/peer_report_codec.hpp>
#include <savorymount/wire/peer_report.capnp.h>

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include <algorithm>
#include <limits>

namespace savorymount::gateway
{
namespace
{

// A report of the largest deployment stays far below this.
constexpr std::uint64_t most_message_words = std::uint64_t{64} * 1024;

void write_use(wire::PeerReport::Builder out, membership::peer_report const& report)
{
    auto list = out.initUse(static_cast<unsigned>(report.use.size()));
    unsigned i = 0;
    for (auto const& [upstream, use] : report.use)
    {
        auto it = list[i++];
        it.setUpstream(upstream);
        it.setRequests(use.requests);
        it.setTokens(use.tokens);
    }
}

void write_admitted(wire::PeerReport::Builder out, membership::peer_report const& report)
{
    auto list = out.initAdmitted(static_cast<unsigned>(report.admitted.size()));
    unsigned i = 0;
    for (auto const& [workspace, tokens] : report.admitted)
    {
        auto it = list[i++];
        it.setWorkspace(workspace);
        it.setTokens(tokens);
    }
}

std::uint32_t clamp_microseconds(base::duration time)
{
    constexpr std::int64_t most = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(time.count(), 0, most));
}

void write_loads(wire::PeerReport::Builder out, membership::peer_report const& report)
{
    auto list = out.initLoads(static_cast<unsigned>(report.loads.size()));
    unsigned i = 0;
    for (auto const& load : report.loads)
    {
        auto it = list[i++];
        it.setUpstream(load.upstream);
        it.setModel(load.model);
        it.setVersion(load.version);
        it.setRemainingMicroseconds(clamp_microseconds(load.remaining));
        it.setEmptying(load.emptying);
    }
}

void write_crashes(wire::PeerReport::Builder out, membership::peer_report const& report)
{
    auto list = out.initCrashes(static_cast<unsigned>(report.crashes.size()));
    unsigned i = 0;
    for (auto const& crash : report.crashes)
    {
        auto it = list[i++];
        it.setDigest(crash.request_digest);
        it.setUpstream(crash.upstream);
    }
}

void write_reads(wire::PeerReport::Builder out, membership::peer_report const& report)
{
    auto list = out.initReads(static_cast<unsigned>(report.reads.size()));
    unsigned i = 0;
    for (auto const& [upstream, digests] : report.reads)
    {
        auto it = list[i++];
        it.setUpstream(upstream);
        auto values = it.initDigests(static_cast<unsigned>(digests.size()));
        for (unsigned n = 0; n < digests.size(); ++n)
            values.set(n, digests[n]);
    }
}

membership::peer_report read_report(wire::PeerReport::Reader in)
{
    membership::peer_report out;
    out.instance = in.getInstance().cStr();
    out.incarnation = in.getIncarnation().cStr();
    out.address = in.getAddress().cStr();
    out.leaving = in.getLeaving();
    out.partial = in.getPartial();
    out.uptime = std::chrono::milliseconds(in.getUptimeMilliseconds());
    out.sequence = in.getSequence();
    if (in.getHoldsDuty())
        out.duty_offset = in.getDutyOffset();
    for (auto const it : in.getAdmitted())
        out.admitted[it.getWorkspace().cStr()] = it.getTokens();
    for (auto const it : in.getUse())
        out.use[it.getUpstream().cStr()] = {it.getRequests(), it.getTokens()};
    for (auto const it : in.getLoads())
        out.loads.push_back({it.getUpstream().cStr(), it.getModel().cStr(), it.getVersion(),
                             base::duration(it.getRemainingMicroseconds()), it.getEmptying()});
    for (auto const it : in.getCrashes())
        out.crashes.push_back({it.getDigest().cStr(), it.getUpstream().cStr()});
    for (auto const it : in.getReads())
    {
        auto& digests = out.reads[it.getUpstream().cStr()];
        for (auto const digest : it.getDigests())
            digests.push_back(digest);
    }
    return out;
}

} // namespace

std::string encode_peer_report(membership::peer_report const& report)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::PeerReport>();
    root.setInstance(report.instance);
    root.setIncarnation(report.incarnation);
    root.setAddress(report.address);
    root.setLeaving(report.leaving);
    root.setPartial(report.partial);
    root.setUptimeMilliseconds(static_cast<std::uint64_t>(report.uptime.count()));
    root.setSequence(report.sequence);
    root.setHoldsDuty(report.duty_offset.has_value());
    root.setDutyOffset(report.duty_offset.value_or(0));
    write_admitted(root, report);
    write_use(root, report);
    write_loads(root, report);
    write_crashes(root, report);
    write_reads(root, report);
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, message);
    auto const bytes = out.getArray();
    return {reinterpret_cast<char const*>(bytes.begin()), bytes.size()};
}

std::optional<membership::peer_report> decode_peer_report(std::string_view bytes)
{
    std::optional<membership::peer_report> out;
    auto const failure = kj::runCatchingExceptions(
        [&]
        {
            kj::ArrayInputStream in(
                kj::arrayPtr(reinterpret_cast<kj::byte const*>(bytes.data()), bytes.size()));
            capnp::ReaderOptions options;
            options.traversalLimitInWords = most_message_words;
            capnp::PackedMessageReader message(in, options);
            out = read_report(message.getRoot<wire::PeerReport>());
        });
    if (failure != nullptr)
        return std::nullopt;
    return out;
}

} // namespace savorymount::gateway
