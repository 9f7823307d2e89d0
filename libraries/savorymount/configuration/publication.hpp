#pragma once

#include <savorymount/configuration/audit_entry.hpp>
#include <savorymount/configuration/change_record.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace savorymount::configuration
{

/// What an operator's tool does next to publish a change.
enum class publication_step
{
    /// Append the record; under the same id if it was appended before.
    append,
    /// Read the log to its end.
    look_up,
    /// The change was accepted.
    accepted,
    /// Another change came first; the record will not be accepted any more.
    lost,
    /// The log's readers refuse the change for its content.
    rejected,
    /// The record never reached the log.
    not_published,
    /// The record may still appear in the log.
    unknown
};

/// Publishes one change by compare-and-swap through the log. After every append whose outcome is
/// not known, the log is read before the record is appended again.
class publication
{
public:
    publication(std::string id, change_record change, unsigned max_appends);

    std::string const& id() const { return id_; }
    change_record const& change() const { return change_; }

    publication_step next() const { return step_; }

    /// Reports the outcome of an append: its offset, or nothing and whether the record may have
    /// been written all the same.
    void on_append(std::optional<std::uint64_t> offset, bool may_be_written);

    /// Reports every change record that is read from the log, in order.
    void on_audit(audit_entry const& entry);

    /// Reports that the log has been read to its end: the version in force there and the offset
    /// behind it.
    void on_read(std::uint64_t version, std::uint64_t next_offset);

    /// Ends the publication because the log can't be reached.
    void give_up();

    /// Why the change was rejected, or which version won.
    std::string const& reason() const { return reason_; }

    /// Offset of the accepted change.
    std::uint64_t version() const { return version_; }

private:
    void end(publication_step step, std::string reason);

    std::string id_;
    change_record change_;
    unsigned appends_left_;
    publication_step step_ = publication_step::append;
    std::optional<std::uint64_t> offset_;
    bool may_be_written_ = false;
    std::string reason_;
    std::uint64_t version_ = 0;
    /// Newest accepted change that was read and its operator, to name the winner.
    std::uint64_t newest_version_ = 0;
    std::string newest_operator_;
};

} // namespace savorymount::configuration
