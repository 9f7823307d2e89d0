#include <savorymount/configuration/configuration_log.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace savorymount::configuration
{
namespace
{

/// Bounds the memory of a reader that waits for a snapshot.
constexpr std::size_t max_pending_bytes = std::size_t{16} << 20;
/// Duplicates of older changes are still rejected, by their base.
constexpr std::size_t max_accepted_ids = 4'096;
constexpr std::size_t max_id_bytes = 256;

std::vector<std::string> changed_names(change_record const& change)
{
    std::vector<std::string> out;
    for (auto const& [name, value] : change.changes)
        out.push_back(value.is_null() ? "-" + name : name);
    return out;
}

verdict wrong_base(std::uint64_t base, std::uint64_t in_force)
{
    return {verdict_kind::rejected, "the change is based on version " + std::to_string(base) +
                                        ", but version " + std::to_string(in_force) +
                                        " was in force; compare with it and publish again"};
}

verdict duplicate()
{
    return {verdict_kind::ignored, "the record repeats an accepted change"};
}

} // namespace

configuration_log::configuration_log() : current_(std::make_shared<configuration const>()) {}

void configuration_log::skip_to(std::uint64_t first)
{
    if (first <= next_offset_)
        return;
    // The lost records may hold accepted changes, so changes read before the gap can't be judged
    // either unless they are covered already.
    pending_.clear();
    pending_bytes_ = 0;
    read_since_ = first;
    next_offset_ = first;
}

verdict configuration_log::apply(std::uint64_t offset, std::string const& id,
                                 nlohmann::json const& body)
{
    if (offset < next_offset_)
        return {verdict_kind::ignored, "the record was read before"};
    skip_to(offset);
    bool const was_synchronized = synchronized();
    next_offset_ = offset + 1;
    auto const before = version();
    auto out = verdict{verdict_kind::not_configuration, ""};
    auto const kind = body.is_object() ? body.find("kind") : body.end();
    if (kind == body.end() || !kind->is_string())
        out = {verdict_kind::ignored, "the record is not an object with a kind"};
    else if (*kind == "change")
        out = apply_change(offset, id, body);
    else if (*kind == "snapshot")
        out = apply_snapshot(offset, body);
    if (was_synchronized)
        judged_through_ = std::max(judged_through_, offset);
    if (version() > before && on_configuration)
        on_configuration(*current_);
    return out;
}

verdict configuration_log::apply_change(std::uint64_t offset, std::string const& id,
                                        nlohmann::json const& body)
{
    base::error reason;
    auto change = parse_change_record(body, reason);
    if (!change)
        return {verdict_kind::ignored, reason.message};
    if (id.size() > max_id_bytes)
        return {verdict_kind::ignored,
                "the record's id is longer than " + std::to_string(max_id_bytes) + " bytes"};
    auto const bytes = json_size(body, document_limits{}.max_depth + 2).value_or(0);
    buffer({offset, id, std::move(*change), bytes});
    if (!synchronized())
        return {verdict_kind::deferred,
                "the version in force at this offset is not known yet; a snapshot or a peer "
                "brings it"};
    auto const out = judge_pending();
    return out.value_or(verdict{verdict_kind::deferred, "a peer's version is newer than this "
                                                        "record; it is judged with that version"});
}

verdict configuration_log::apply_snapshot(std::uint64_t offset, nlohmann::json const& body)
{
    base::error reason;
    auto snapshot = parse_snapshot_record(body, reason);
    if (!snapshot)
        return {verdict_kind::ignored, reason.message};
    if (snapshot->through >= offset)
        return {verdict_kind::ignored, "the snapshot covers offsets after its own"};
    if (snapshot->version < version())
        return {verdict_kind::ignored, "the snapshot is older than the version held"};
    bool const was_synchronized = synchronized();
    if (snapshot->version == version() && was_synchronized)
        return {verdict_kind::ignored, "the snapshot holds the version held"};
    if (snapshot->through + 1 < read_since_)
        return {verdict_kind::ignored, "records between the snapshot and the oldest record read "
                                       "have expired; a newer snapshot is needed"};
    if (snapshot->version > version())
    {
        auto next = parse_configuration(snapshot->version, snapshot->content, reason);
        if (!next)
            return {verdict_kind::ignored, reason.message};
        put_in_force(std::move(*next), std::move(snapshot->content));
    }
    judged_through_ = std::max(judged_through_, snapshot->through);
    judge_pending();
    judged_through_ = std::max(judged_through_, offset);
    return {verdict_kind::snapshot_used, ""};
}

bool configuration_log::adopt(std::uint64_t version, documents const& content, base::error& reason)
{
    if (version <= this->version())
    {
        reason = {base::error_kind::conflict,
                  "version " + std::to_string(version) + " is not newer than version " +
                      std::to_string(this->version()) + "; keep the newer one"};
        return false;
    }
    auto next = parse_configuration(version, content, reason);
    if (!next)
        return false;
    put_in_force(std::move(*next), content);
    judged_through_ = std::max(judged_through_, version);
    if (synchronized())
    {
        judge_pending();
        judged_through_ = std::max(judged_through_, next_offset_ - 1);
    }
    if (on_configuration)
        on_configuration(*current_);
    return true;
}

std::optional<snapshot_record> configuration_log::snapshot() const
{
    if (!ready() || !synchronized())
        return std::nullopt;
    return snapshot_record{version(), judged_through_, content_};
}

void configuration_log::buffer(pending_change pending)
{
    pending_bytes_ += pending.bytes;
    pending_.push_back(std::move(pending));
    while (pending_bytes_ > max_pending_bytes && pending_.size() > 1)
    {
        // The reader then is as if the log began after the dropped record.
        read_since_ = std::max(read_since_, pending_.front().offset + 1);
        pending_bytes_ -= pending_.front().bytes;
        pending_.pop_front();
    }
}

std::optional<verdict> configuration_log::judge_pending()
{
    auto out = judge_up_to_version();
    while (!pending_.empty() && pending_.front().offset > version())
    {
        auto const pending = std::move(pending_.front());
        pending_.pop_front();
        pending_bytes_ -= pending.bytes;
        out = judge(pending);
        report(pending, *out);
    }
    return out;
}

std::optional<verdict> configuration_log::judge_up_to_version()
{
    // Until the record of the version held has been read, the versions before it are not known.
    if (next_offset_ <= version())
        return std::nullopt;
    auto const end = std::find_if(pending_.begin(), pending_.end(),
                                  [&](pending_change const& it) { return it.offset > version(); });
    std::vector<pending_change> earlier(std::make_move_iterator(pending_.begin()),
                                        std::make_move_iterator(end));
    pending_.erase(pending_.begin(), end);
    std::vector<verdict> verdicts(earlier.size());
    // Each accepted change names the accepted change before it as its base, so that the bases give
    // all verdicts back to the oldest record read.
    auto expected = version();
    for (std::size_t i = earlier.size(); i-- > 0;)
    {
        auto const& it = earlier[i];
        if (it.offset == expected)
        {
            verdicts[i] = {verdict_kind::accepted, ""};
            expected = it.change.base;
        }
        else if (it.change.base == expected)
            verdicts[i] = {verdict_kind::rejected, "the resulting documents were not valid"};
        else
            verdicts[i] = wrong_base(it.change.base, expected);
    }
    std::optional<verdict> out;
    for (std::size_t i = 0; i < earlier.size(); ++i)
    {
        pending_bytes_ -= earlier[i].bytes;
        if (verdicts[i].kind == verdict_kind::accepted)
            remember_accepted(earlier[i].id);
        else if (accepted_ids_.contains(earlier[i].id))
            verdicts[i] = duplicate();
        report(earlier[i], verdicts[i]);
        out = verdicts[i];
    }
    return out;
}

verdict configuration_log::judge(pending_change const& pending)
{
    // The id decides only how a rejected change is reported: a reader that starts later does not
    // know the ids of expired records, and a duplicate of an accepted change always has an old
    // base.
    if (pending.change.base != version() && accepted_ids_.contains(pending.id))
        return duplicate();
    if (pending.change.base != version())
        return wrong_base(pending.change.base, version());
    base::error reason;
    auto next = current_->changed(pending.offset, pending.change.changes, reason);
    if (!next)
        return {verdict_kind::rejected, reason.message};
    current_ = std::make_shared<configuration const>(std::move(*next));
    content_.apply(pending.change.changes);
    judged_through_ = pending.offset;
    remember_accepted(pending.id);
    return {verdict_kind::accepted, ""};
}

void configuration_log::put_in_force(configuration next, documents content)
{
    current_ = std::make_shared<configuration const>(std::move(next));
    content_ = std::move(content);
}

void configuration_log::remember_accepted(std::string const& id)
{
    if (!accepted_ids_.insert(id).second)
        return;
    accepted_order_.push_back(id);
    if (accepted_order_.size() <= max_accepted_ids)
        return;
    accepted_ids_.erase(accepted_order_.front());
    accepted_order_.pop_front();
}

void configuration_log::report(pending_change const& pending, verdict const& result)
{
    if (!on_audit || result.kind == verdict_kind::ignored)
        return;
    on_audit({pending.offset, pending.id, pending.change.time_ms, pending.change.operator_name,
              pending.change.base, result.kind == verdict_kind::accepted, result.reason,
              changed_names(pending.change)});
}

} // namespace savorymount::configuration
