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

// Far above the size of a report of the largest deployment.
constexpr std::uint64_t max_message_words = std::uint64_t{64} * 1024;

/// Writes the items to a list of the same length.
template <typename List, typename Items, typename Write>
void write_list(List list, Items const& items, Write write)
{
    unsigned i = 0;
    for (auto const& it : items)
        write(list[i++], it);
}

template <typename Items>
unsigned count(Items const& items)
{
    return static_cast<unsigned>(items.size());
}

std::uint32_t clamp_to_uint32(std::int64_t number)
{
    constexpr std::int64_t max = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(number, 0, max));
}

/// All bytes of a text; it may hold NUL.
std::string text_of(capnp::Text::Reader in)
{
    return {in.begin(), in.size()};
}

std::string bytes_of(capnp::Data::Reader in)
{
    return {reinterpret_cast<char const*>(in.begin()), in.size()};
}

void write_load(wire::WeightLoad::Builder out, membership::weight_load const& load)
{
    out.setUpstream(load.upstream);
    out.setModel(load.model);
    out.setVersion(load.version);
    out.setRemainingMicroseconds(clamp_to_uint32(load.remaining.count()));
    out.setEmptying(load.draining || load.ordered);
}

/// An entry that names a version but no load is an order whose outcome is not known.
membership::weight_load read_load(wire::WeightLoad::Reader in)
{
    bool const loads = !in.getEmptying();
    bool const ordered = !loads && in.getVersion() > 0;
    return {text_of(in.getUpstream()), text_of(in.getModel()),
            in.getVersion(),           base::duration(in.getRemainingMicroseconds()),
            !loads && !ordered,        ordered};
}

void write_loss(wire::UpstreamLoss::Builder out, membership::loss_notice const& notice)
{
    out.setUpstream(notice.loss.upstream);
    out.setRequest(notice.loss.request);
    auto parts = out.initParts(count(notice.loss.parts));
    for (unsigned n = 0; n < notice.loss.parts.size(); ++n)
        parts.set(n, notice.loss.parts[n]);
    out.setAgeMilliseconds(clamp_to_uint32(notice.age.count()));
}

membership::loss_notice read_loss(wire::UpstreamLoss::Reader in)
{
    membership::loss_notice out;
    out.loss.upstream = text_of(in.getUpstream());
    out.loss.request = in.getRequest();
    for (auto const it : in.getParts())
        out.loss.parts.push_back(it);
    out.age = std::chrono::milliseconds(in.getAgeMilliseconds());
    return out;
}

void write_lists(wire::PeerReport::Builder out, membership::peer_report const& report)
{
    write_list(out.initAdmitted(count(report.admitted_tokens)), report.admitted_tokens,
               [](wire::AdmittedTokens::Builder to, auto const& it)
               {
                   to.setWorkspace(it.first);
                   to.setTokens(it.second);
               });
    write_list(out.initUse(count(report.upstream_use)), report.upstream_use,
               [](wire::UpstreamUse::Builder to, auto const& it)
               {
                   to.setUpstream(it.first);
                   to.setRequests(it.second.requests);
                   to.setTokens(it.second.tokens);
               });
    write_list(out.initLoads(count(report.weight_loads)), report.weight_loads, write_load);
    write_list(out.initCrashes(count(report.crashes)), report.crashes,
               [](wire::CrashNotice::Builder to, auto const& it)
               {
                   to.setDigest(it.request_digest);
                   to.setUpstream(it.upstream);
               });
    write_list(out.initLosses(count(report.losses)), report.losses, write_loss);
    write_list(out.initSoundParts(count(report.sound_parts)), report.sound_parts,
               [](wire::SoundPart::Builder to, auto const& it)
               {
                   to.setPart(it.part);
                   to.setAgeMilliseconds(clamp_to_uint32(it.age.count()));
               });
    write_list(out.initLimits(count(report.limits)), report.limits,
               [](wire::UpstreamLimit::Builder to, membership::limit_notice const& it)
               {
                   to.setUpstream(it.notice.upstream);
                   to.setRequestsPerSecond(it.notice.limit.value_or(0));
                   to.setEnded(!it.notice.limit);
                   to.setAgeMilliseconds(clamp_to_uint32(it.age.count()));
               });
    write_list(out.initStreams(count(report.streams)), report.streams,
               [](wire::StreamOrigin::Builder to, streams::stream_origin const& it)
               {
                   to.setStream(it.stream);
                   to.setService(it.service);
                   to.setSoftwareVersion(it.software_version);
               });
    write_list(out.initReads(count(report.assigned_prefixes)), report.assigned_prefixes,
               [](wire::EngineReads::Builder to, auto const& it)
               {
                   to.setUpstream(it.first);
                   auto digests = to.initDigests(count(it.second));
                   for (unsigned n = 0; n < it.second.size(); ++n)
                       digests.set(n, it.second[n]);
               });
}

void write_store_update(wire::StoreUpdate::Builder out, membership::store_update const& update)
{
    out.setTopic(update.topic);
    out.setEra(update.era);
    out.setBegin(update.begin);
    out.setEnd(update.end);
    out.setIncomplete(update.incomplete);
    out.setEndsRead(update.age.has_value());
    out.setAgeMilliseconds(
        clamp_to_uint32(update.age.value_or(std::chrono::milliseconds::zero()).count()));
    write_list(out.initRecords(count(update.records)), update.records,
               [](wire::StoreRecord::Builder to, membership::store_record const& it)
               {
                   to.setKey({it.key.c_str(), it.key.size()});
                   to.setDeleted(!it.value);
                   to.setOffset(it.offset);
                   auto const value = it.value.value_or("");
                   to.setValue(
                       kj::arrayPtr(reinterpret_cast<kj::byte const*>(value.data()), value.size()));
               });
}

membership::store_update read_store_update(wire::StoreUpdate::Reader in)
{
    membership::store_update out;
    out.topic = text_of(in.getTopic());
    out.era = in.getEra();
    out.begin = in.getBegin();
    out.end = in.getEnd();
    out.incomplete = in.getIncomplete();
    if (in.getEndsRead())
        out.age = std::chrono::milliseconds(in.getAgeMilliseconds());
    for (auto const it : in.getRecords())
    {
        membership::store_record record{text_of(it.getKey()), std::nullopt, it.getOffset()};
        if (!it.getDeleted())
            record.value = bytes_of(it.getValue());
        out.records.push_back(std::move(record));
    }
    return out;
}

membership::limit_notice read_limit(wire::UpstreamLimit::Reader in)
{
    membership::limit_notice out;
    out.notice.upstream = text_of(in.getUpstream());
    if (!in.getEnded())
        out.notice.limit = in.getRequestsPerSecond();
    out.age = std::chrono::milliseconds(in.getAgeMilliseconds());
    return out;
}

membership::peer_report read_report(wire::PeerReport::Reader in)
{
    membership::peer_report out;
    out.data_centre = text_of(in.getDataCentre());
    out.relay_weight = in.getRelayWeight();
    for (auto const it : in.getRelayed())
        out.relayed.push_back(read_report(it));
    for (auto const it : in.getStoreUpdates())
        out.store_updates.push_back(read_store_update(it));
    out.instance = text_of(in.getInstance());
    out.incarnation = text_of(in.getIncarnation());
    out.address = text_of(in.getAddress());
    out.leaving = in.getLeaving();
    out.partial = in.getPartial();
    out.uptime = std::chrono::milliseconds(in.getUptimeMilliseconds());
    out.sequence = in.getSequence();
    out.configuration_version = in.getConfiguration();
    if (in.getHoldsDuty())
        out.lease = membership::held_lease{std::max(in.getDutyEra(), orders::first_log_era),
                                           in.getDutyOffset()};
    for (auto const it : in.getAdmitted())
        out.admitted_tokens[text_of(it.getWorkspace())] = it.getTokens();
    for (auto const it : in.getUse())
        out.upstream_use[text_of(it.getUpstream())] = {it.getRequests(), it.getTokens()};
    for (auto const it : in.getLoads())
        out.weight_loads.push_back(read_load(it));
    for (auto const it : in.getCrashes())
        out.crashes.push_back({text_of(it.getDigest()), text_of(it.getUpstream())});
    for (auto const it : in.getLosses())
        out.losses.push_back(read_loss(it));
    for (auto const it : in.getSoundParts())
        out.sound_parts.push_back(
            {it.getPart(), std::chrono::milliseconds(it.getAgeMilliseconds())});
    for (auto const it : in.getLimits())
        out.limits.push_back(read_limit(it));
    for (auto const it : in.getStreams())
        out.streams.push_back(
            {it.getStream(), text_of(it.getService()), text_of(it.getSoftwareVersion())});
    for (auto const it : in.getReads())
    {
        auto& digests = out.assigned_prefixes[text_of(it.getUpstream())];
        for (auto const digest : it.getDigests())
            digests.push_back(digest);
    }
    return out;
}

void write_report(wire::PeerReport::Builder root, membership::peer_report const& report)
{
    root.setInstance(report.instance);
    root.setIncarnation(report.incarnation);
    root.setAddress(report.address);
    root.setDataCentre(report.data_centre);
    root.setRelayWeight(report.relay_weight);
    root.setLeaving(report.leaving);
    root.setPartial(report.partial);
    root.setUptimeMilliseconds(static_cast<std::uint64_t>(report.uptime.count()));
    root.setSequence(report.sequence);
    auto const lease = report.lease.value_or(membership::held_lease{});
    root.setHoldsDuty(report.lease.has_value());
    root.setDutyOffset(lease.offset);
    root.setDutyEra(lease.era);
    root.setConfiguration(report.configuration_version);
    write_lists(root, report);
    write_list(root.initStoreUpdates(count(report.store_updates)), report.store_updates,
               write_store_update);
    write_list(root.initRelayed(count(report.relayed)), report.relayed, write_report);
}

} // namespace

std::string encode_peer_report(membership::peer_report const& report)
{
    capnp::MallocMessageBuilder message;
    write_report(message.initRoot<wire::PeerReport>(), report);
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
            options.traversalLimitInWords = max_message_words;
            capnp::PackedMessageReader message(in, options);
            out = read_report(message.getRoot<wire::PeerReport>());
        });
    if (failure != nullptr || !membership::is_plausible(*out))
        return std::nullopt;
    return out;
}

} // namespace savorymount::gateway
