#include <savorymount/runtime/configuration_service.hpp>
#include <savorymount/runtime/log_events.hpp>

#include <algorithm>
#include <utility>

namespace savorymount::runtime
{

configuration_service::configuration_service(event_loop& loop, timer_service& timers,
                                             log_follower& log, list_follower& list,
                                             std::string instance, base::duration retention)
    : loop_(loop), timers_(timers), log_(log), list_(list), instance_(std::move(instance)),
      keys_(fold_.current()), snapshots_(instance_, retention)
{
    fold_.on_configuration = [this](configuration::configuration const& current)
    {
        keys_ = configuration::key_table(fold_.current());
        runtime::log(log_events::configuration_adopted, {{"version", current.version()}});
        for (auto const& it : hooks_)
            it(current);
    };
    fold_.on_audit = [](configuration::audit_entry const& entry)
    {
        if (!entry.accepted)
            runtime::log(log_events::configuration_rejected, {{"offset", entry.offset},
                                                              {"operator", entry.operator_name},
                                                              {"reason", entry.reason}});
    };
    log_.on_page([this](std::uint64_t, log_page const& page) { fold_.skip_to(page.first); });
    log_.on_record([this](log_record const& record) { handle_record(record); });
    log_.on_read(
        [this](bool caught_up)
        {
            if (caught_up)
                consider_snapshot();
        });
}

std::string const& configuration_service::serialized()
{
    if (serialized_version_ != fold_.version() || serialized_.empty())
    {
        serialized_ = fold_.content().serialize();
        serialized_version_ = fold_.version();
    }
    return serialized_;
}

void configuration_service::observe(std::uint64_t peer_version, wire::Peer::Client peer)
{
    if (peer_version <= fold_.version() || fetching_)
        return;
    fetching_ = true;
    auto request = peer.configurationRequest();
    request.initContext().setVersion(fold_.version());
    loop_.detach(request.send().then(
        [this](capnp::Response<wire::Peer::ConfigurationResults>&& answer)
        {
            fetching_ = false;
            auto const bytes = answer.getDocuments();
            adopt(answer.getVersion(),
                  {reinterpret_cast<char const*>(bytes.begin()), bytes.size()});
        },
        // The next message from any peer starts another attempt.
        [this](kj::Exception&&) { fetching_ = false; }));
}

void configuration_service::handle_record(log_record const& record)
{
    auto const verdict = fold_.apply(record.offset, record.id, record.body);
    bool const snapshot = has_kind(record, "snapshot");
    // Late snapshots are ignored by design and say nothing to an operator.
    if (verdict.kind == configuration::verdict_kind::ignored && !snapshot)
        runtime::log(log_events::log_record_ignored,
                     {{"offset", record.offset}, {"reason", verdict.reason}});
    auto const age = std::chrono::milliseconds(
        std::max<std::int64_t>(0, loop_.unix_milliseconds() - record.time_ms));
    if (snapshot)
        snapshots_.on_snapshot_seen(timers_.now(), age);
    else
        snapshots_.on_record(timers_.now(), age);
}

void configuration_service::adopt(std::uint64_t version, std::string_view text)
{
    base::error reason;
    auto const content = configuration::parse_documents(text, {}, reason);
    if (content && fold_.adopt(version, *content, reason))
        return;
    if (reason.kind != base::error_kind::conflict)
        runtime::log(log_events::log_record_ignored,
                     {{"version", version}, {"reason", reason.message}});
}

void configuration_service::consider_snapshot()
{
    if (appending_ || fold_.version() == 0)
        return;
    std::vector<std::string> live;
    for (auto const& it : list_.instances())
        live.push_back(it.id);
    if (!snapshots_.should_append(timers_.now(), fold_.version(), live))
        return;
    auto const snapshot = fold_.snapshot();
    if (!snapshot)
        return;
    appending_ = true;
    snapshots_.on_append(timers_.now());
    auto const id = "snapshot-" + std::to_string(snapshot->through) + "-" + instance_;
    log_.append(
        id, configuration::to_json(*snapshot),
        [this, version = snapshot->version](std::optional<std::uint64_t> offset, base::error const&)
        {
            appending_ = false;
            if (offset)
                runtime::log(log_events::snapshot_appended,
                             {{"version", version}, {"offset", *offset}});
        });
}

} // namespace savorymount::runtime
