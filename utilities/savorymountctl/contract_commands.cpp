#include "utilities/savorymountctl/contract_commands.hpp"

#include "utilities/savorymountctl/change_publisher.hpp"
#include "utilities/savorymountctl/document_folder.hpp"
#include <savorymount/configuration/configuration.hpp>

#include <nlohmann/json.hpp>

#include <limits>

namespace savorymount::control
{
namespace
{

/// One line for each changed document and, below it, for each changed value.
std::string describe_changes(configuration::documents const& in_force,
                             configuration::documents::map_type const& changes)
{
    std::string out;
    for (auto const& [name, value] : changes)
    {
        auto const* const held = in_force.find(name);
        if (held == nullptr || value.is_null())
        {
            out += (held == nullptr ? "+ " : "- ") + name + "\n";
            continue;
        }
        out += "~ " + name + "\n";
        for (auto const& it : nlohmann::json::diff(*held, value))
        {
            out += "    " + it["op"].get<std::string>() + " " + it["path"].get<std::string>();
            out += it.contains("value") ? " " + it["value"].dump() : "";
            out += "\n";
        }
    }
    return out;
}

} // namespace

exit_code contract_commands::validate(std::string const& folder)
{
    auto code = exit_code::success;
    auto const content = read_valid(folder, code);
    if (!content)
        return code;
    context_.out() << "valid: " << content->entries().size() << " documents\n";
    return code;
}

exit_code contract_commands::diff(std::string const& folder)
{
    auto code = exit_code::success;
    auto const content = read_valid(folder, code);
    if (!content || !context_.open_log(code))
        return code;
    auto const& fold = context_.view().fold();
    auto const changes = fold.content().changes_to(*content);
    context_.out() << "version in force: " << fold.version() << "\n";
    if (changes.empty())
        context_.out() << "no differences\n";
    else
        context_.out() << describe_changes(fold.content(), changes)
                       << "publish with: savorymountctl apply " << folder << " --base "
                       << fold.version() << "\n";
    return code;
}

exit_code contract_commands::apply(std::string const& folder)
{
    auto code = exit_code::success;
    auto const content = read_valid(folder, code);
    if (!content || !context_.check_operator(code) || !context_.open_log(code))
        return code;
    auto const retry = "run savorymountctl diff " + folder + " again, then apply";
    auto const changes = context_.view().fold().content().changes_to(*content);
    auto const base = wanted_base();
    if (!base)
        return exit_code::wrong_usage;
    auto const version = context_.view().fold().version();
    if (*base != version)
        return context_.fail(exit_code::failure, "version " + std::to_string(version) +
                                                     " is in force, not version " +
                                                     std::to_string(*base) + "; " + retry);
    if (changes.empty())
    {
        context_.out() << "nothing to publish: version " << version << " is equal to the folder\n";
        return code;
    }
    auto const result = change_publisher(context_).publish(changes, retry);
    return result.next() == configuration::publication_step::accepted ? code : exit_code::failure;
}

std::optional<configuration::documents> contract_commands::read_valid(std::string const& folder,
                                                                      exit_code& code)
{
    base::error reason;
    auto content = read_document_folder(folder, reason);
    if (content && configuration::parse_configuration(0, *content, reason))
        return content;
    bool const missing = reason.kind == base::error_kind::not_found;
    code = context_.fail(missing ? exit_code::wrong_usage : exit_code::invalid_documents,
                         reason.message);
    return std::nullopt;
}

std::optional<std::uint64_t> contract_commands::wanted_base()
{
    auto const& text = context_.setting("base");
    if (text.empty())
        return context_.view().fold().version();
    base::error reason;
    auto const base =
        runtime::parse_number("base", text, 0, std::numeric_limits<std::int64_t>::max(), reason);
    if (base)
        return static_cast<std::uint64_t>(*base);
    context_.fail(exit_code::wrong_usage, reason.message);
    return std::nullopt;
}

} // namespace savorymount::control
