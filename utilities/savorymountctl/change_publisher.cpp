#include "utilities/savorymountctl/change_publisher.hpp"

#include "utilities/savorymountctl/system_random.hpp"
#include <savorymount/base/digest.hpp>
#include <savorymount/configuration/change_record.hpp>

#include <utility>

namespace savorymount::control
{
namespace
{

using namespace std::chrono_literals;

using configuration::publication;
using configuration::publication_step;

constexpr unsigned max_appends = 5;
constexpr base::duration look_up_delay = 500ms;
constexpr std::size_t record_id_bytes = 16;

} // namespace

publication change_publisher::publish(configuration::documents::map_type changes,
                                      std::string const& retry)
{
    configuration::change_record change{context_.view().fold().version(),
                                        context_.setting("operator"),
                                        context_.client().unix_milliseconds(), std::move(changes)};
    base::error reason;
    bool const valid = configuration::parse_change_record(to_json(change), reason).has_value();
    publication out(base::sha256_hex(system_random(record_id_bytes)), std::move(change),
                    max_appends);
    if (valid)
        drive(out, reason);
    else
        out.give_up();
    explain(out, reason, retry);
    return out;
}

void change_publisher::drive(publication& publishing, base::error& reason)
{
    auto const body = configuration::to_json(publishing.change());
    context_.view().on_audit = [&](configuration::audit_entry const& it)
    {
        publishing.on_audit(it);
    };
    while (publishing.next() == publication_step::append ||
           publishing.next() == publication_step::look_up)
    {
        if (publishing.next() == publication_step::append)
        {
            auto const offset = context_.client().append(publishing.id(), body, reason);
            publishing.on_append(offset, reason.kind == base::error_kind::unknown_outcome);
            if (!offset)
                context_.client().wait(look_up_delay);
            continue;
        }
        base::error read_reason;
        if (context_.view().catch_up(read_reason))
            publishing.on_read(context_.view().fold().version(),
                               context_.view().fold().next_offset());
        else
            publishing.give_up();
    }
    context_.view().on_audit = nullptr;
}

void change_publisher::explain(publication const& publishing, base::error const& reason,
                               std::string const& retry)
{
    auto const& change = publishing.change();
    switch (publishing.next())
    {
    case publication_step::accepted:
        context_.err() << "version " << publishing.version() << " is in force\n";
        return;
    case publication_step::lost:
        context_.fail(exit_code::failure, "lost the race: " + publishing.reason() + "; " + retry);
        return;
    case publication_step::rejected:
        context_.fail(exit_code::failure, "rejected: " + publishing.reason());
        return;
    case publication_step::unknown:
        context_.fail(exit_code::failure,
                      "the log did not confirm the change, which may still come into "
                      "force; run savorymountctl audit later and look for base " +
                          std::to_string(change.base) + " by " + change.operator_name);
        return;
    default:
        context_.fail(exit_code::failure, "nothing was published: " + reason.message);
    }
}

} // namespace savorymount::control
