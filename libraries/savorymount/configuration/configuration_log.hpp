#pragma once

#include <savorymount/configuration/audit_entry.hpp>
#include <savorymount/configuration/change_record.hpp>
#include <savorymount/configuration/configuration.hpp>
#include <savorymount/configuration/snapshot_record.hpp>
#include <savorymount/configuration/verdict.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace savorymount::configuration
{

/// Folds log records, in offset order, into the configuration in force.
///
/// A change is accepted if its base is the version in force at its offset and the result is valid.
/// Every reader that has seen the same records, or a snapshot or peer copy of them, holds the same
/// version. The version held never decreases.
class configuration_log
{
public:
    configuration_log();

    /// Called with each newer configuration, after it is in force.
    std::function<void(configuration const&)> on_configuration;

    /// Called once for each change record that is judged, in offset order. Readers that started on
    /// a truncated log are told of the records that they have read.
    std::function<void(audit_entry const&)> on_audit;

    /// Tells that the log keeps no records before `first` (from the read response). Call it before
    /// the records of each read are applied, also when there are none.
    void skip_to(std::uint64_t first);

    /// Folds the record at `offset`. Records at or before an offset already applied are ignored.
    verdict apply(std::uint64_t offset, std::string const& id, nlohmann::json const& body);

    /// Takes a peer's version if it is newer than the one held; returns whether it was taken.
    /// Fails with `conflict` if it is not newer, with `invalid_input` if it is not valid.
    bool adopt(std::uint64_t version, documents const& content, base::error& reason);

    /// Whether a version is held: after offset 1 was applied or found to be the next, or after a
    /// snapshot or an adoption.
    bool ready() const { return ready_; }

    /// Whether every record since the version held has been read, so that new changes can be
    /// judged.
    bool synchronized() const { return synchronized_; }

    /// Version in force here; 0 before the first.
    std::uint64_t version() const { return current_->version(); }

    /// The configuration in force here; never null.
    std::shared_ptr<configuration const> const& current() const { return current_; }

    /// The documents in force here.
    documents const& content() const { return content_; }

    /// Offset of the next record to read.
    std::uint64_t next_offset() const { return next_offset_; }

    /// Offset and writer-independent body of the newest snapshot record seen; offset 0 for none.
    std::uint64_t newest_snapshot_offset() const { return newest_snapshot_offset_; }

    /// The snapshot of the state held, if it is synchronized and not empty.
    std::optional<snapshot_record> snapshot() const;

private:
    struct pending_change
    {
        std::uint64_t offset;
        std::string id;
        change_record change;
    };

    verdict apply_change(std::uint64_t offset, std::string const& id, nlohmann::json const& body);
    verdict apply_snapshot(std::uint64_t offset, nlohmann::json const& body);
    verdict judge(pending_change const& pending);
    void judge_earlier(std::uint64_t version);
    void judge_pending();
    void put_in_force(configuration next, documents content);
    void report(pending_change const& pending, verdict const& result);

    std::shared_ptr<configuration const> current_;
    documents content_;
    bool ready_ = false;
    bool synchronized_ = true;
    /// Oldest offset since which every record has been read.
    std::uint64_t read_since_ = 1;
    std::uint64_t next_offset_ = 1;
    std::uint64_t newest_snapshot_offset_ = 0;
    std::deque<pending_change> pending_;
    std::set<std::string> accepted_ids_;
    std::deque<std::string> accepted_order_;
};

} // namespace savorymount::configuration
