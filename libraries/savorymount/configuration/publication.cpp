#include <savorymount/configuration/publication.hpp>

#include <utility>

namespace savorymount::configuration
{

publication::publication(std::string id, change_record change, unsigned max_appends)
    : id_(std::move(id)), change_(std::move(change)), appends_left_(max_appends)
{
}

void publication::on_append(std::optional<std::uint64_t> offset, bool may_be_written)
{
    if (step_ != publication_step::append)
        return;
    --appends_left_;
    offset_ = offset;
    may_be_written_ = may_be_written_ || may_be_written || offset.has_value();
    step_ = publication_step::look_up;
}

void publication::on_audit(audit_entry const& entry)
{
    if (entry.accepted)
    {
        newest_version_ = entry.offset;
        newest_operator_ = entry.operator_name;
    }
    // The id is random, and copies of the record carry the same base: at most one is accepted, and
    // a copy that is read before it can't have been rejected.
    if (entry.id != id_ || step_ == publication_step::accepted)
        return;
    if (entry.accepted)
    {
        version_ = entry.offset;
        end(publication_step::accepted, "");
    }
    else if (newest_version_ <= change_.base && step_ != publication_step::lost)
        end(publication_step::rejected, entry.reason);
}

void publication::on_read(std::uint64_t version, std::uint64_t next_offset)
{
    if (step_ != publication_step::look_up)
        return;
    if (version != change_.base)
    {
        // Copies that are still under way have an old base and will be rejected.
        auto const winner = version == newest_version_ ? " by " + newest_operator_ : std::string();
        end(publication_step::lost, "version " + std::to_string(version) + winner +
                                        " is in force, not version " +
                                        std::to_string(change_.base));
    }
    else if (offset_)
    {
        if (*offset_ < next_offset)
            end(publication_step::rejected, "the log's readers ignored the record");
    }
    else if (appends_left_ > 0)
        step_ = publication_step::append;
    else
        give_up();
}

void publication::give_up()
{
    if (step_ == publication_step::append || step_ == publication_step::look_up)
        end(may_be_written_ ? publication_step::unknown : publication_step::not_published,
            "the log does not confirm the change");
}

void publication::end(publication_step step, std::string reason)
{
    step_ = step;
    reason_ = std::move(reason);
}

} // namespace savorymount::configuration
