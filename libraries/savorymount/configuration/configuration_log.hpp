#pragma once

#include <savorymount/configuration/audit_entry.hpp>
#include <savorymount/configuration/change_record.hpp>
#include <savorymount/configuration/configuration.hpp>
#include <savorymount/configuration/snapshot_record.hpp>
#include <savorymount/configuration/verdict.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>

namespace savorymount::configuration
{

/// Folds log records, in offset order, into the configuration in force.
///
/// A change is accepted if its base is the version in force at its offset and the result is valid.
/// Every reader that has seen the same records, or a snapshot or a peer's copy of them, holds the
/// same version. The version held never decreases.
class configuration_log
{
public:
    configuration_log();

    /// Called with the newest configuration once it is in force. Versions that are replaced within
    /// one call of `apply` or `adopt` are left out.
    std::function<void(configuration const&)> on_configuration;

    /// Called once for each change record that was read and judged, in offset order. A duplicate
    /// of a change that this reader saw accepted is left out.
    std::function<void(audit_entry const&)> on_audit;

    /// Tells that the log keeps no records before `first` (from the read response). `apply` notices
    /// a gap before its record by itself; a log without records shows its gap only here.
    void skip_to(std::uint64_t first);

    /// Folds the record at `offset`. A record before `next_offset` is ignored.
    verdict apply(std::uint64_t offset, std::string const& id, nlohmann::json const& body);

    /// Takes a peer's version if it is newer than the one held; returns whether it was taken.
    /// Fails with `conflict` if it is not newer, with `invalid_input` or `too_large` if it is not
    /// valid.
    bool adopt(std::uint64_t version, documents const& content, base::error& reason);

    /// Whether a version is held, so that requests can be served.
    bool ready() const { return version() > 0; }

    /// Whether the version held is known to be the one in force at the end of the records read, so
    /// that further changes can be judged. True for a reader of an empty log.
    bool synchronized() const { return read_since_ <= judged_through_ + 1; }

    /// Version in force here; 0 before the first.
    std::uint64_t version() const { return current_->version(); }

    /// The configuration in force here; never null.
    std::shared_ptr<configuration const> const& current() const { return current_; }

    /// The documents in force here.
    documents const& content() const { return content_; }

    /// Offset of the next record to read.
    std::uint64_t next_offset() const { return next_offset_; }

    /// The snapshot of the state held; nothing before it is synchronized or while it is empty.
    std::optional<snapshot_record> snapshot() const;

private:
    struct pending_change
    {
        std::uint64_t offset = 0;
        std::string id;
        change_record change;
        std::size_t bytes = 0;
    };

    verdict apply_change(std::uint64_t offset, std::string const& id, nlohmann::json const& body);
    verdict apply_snapshot(std::uint64_t offset, nlohmann::json const& body);
    void buffer(pending_change pending);
    /// Judges pending changes as far as their bases are known; returns the last one's verdict.
    std::optional<verdict> judge_pending();
    std::optional<verdict> judge_up_to_version();
    verdict judge(pending_change const& pending);
    void put_in_force(configuration next, documents content);
    void remember_accepted(std::string const& id);
    void report(pending_change const& pending, verdict const& result);

    std::shared_ptr<configuration const> current_;
    documents content_;
    /// Every record from this offset to `next_offset_` has been read.
    std::uint64_t read_since_ = 1;
    std::uint64_t next_offset_ = 1;
    /// The version held is the one in force at every offset from itself to this one.
    std::uint64_t judged_through_ = 0;
    std::deque<pending_change> pending_;
    std::size_t pending_bytes_ = 0;
    std::unordered_set<std::string> accepted_ids_;
    std::deque<std::string> accepted_order_;
};

} // namespace savorymount::configuration
