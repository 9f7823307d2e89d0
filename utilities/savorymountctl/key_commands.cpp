#include "utilities/savorymountctl/key_commands.hpp"

#include "utilities/savorymountctl/change_publisher.hpp"
#include "utilities/savorymountctl/system_random.hpp"
#include "utilities/savorymountctl/text_table.hpp"
#include <savorymount/configuration/caller_key.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace savorymount::control
{

using configuration::publication_step;

exit_code key_commands::grant(std::string const& workspace)
{
    auto code = exit_code::success;
    if (!context_.check_operator(code) || !context_.open_log(code))
        return code;
    auto const name = "workspaces/" + workspace;
    auto const* const held = context_.view().fold().content().find(name);
    if (held == nullptr)
        return context_.fail(exit_code::failure, "there is no workspace \"" + workspace +
                                                     "\" in force; publish its contract first");
    auto const key = configuration::generate_caller_key(system_random);
    auto const record = configuration::make_key_record(key, system_random);
    auto contract = *held;
    contract["keys"].push_back(configuration::to_json(record));
    auto const result =
        change_publisher(context_).publish({{name, contract}}, "run the command again");
    if (result.next() == publication_step::unknown)
        context_.err() << "the key " << key.id
                       << " may come into force; withdraw it and grant another one\n";
    if (result.next() != publication_step::accepted)
        return exit_code::failure;
    context_.err() << "add to \"keys\" in " << name
                   << ".json, or the next apply withdraws the key:\n"
                   << configuration::to_json(record).dump() << "\n";
    context_.out() << configuration::to_string(key) << "\n";
    return code;
}

exit_code key_commands::withdraw(std::string const& key_id)
{
    auto code = exit_code::success;
    if (!context_.check_operator(code) || !context_.open_log(code))
        return code;
    auto const* const contract = context_.view().fold().current()->find_workspace_of_key(key_id);
    if (contract == nullptr)
        return context_.fail(exit_code::failure,
                             "no workspace holds the key \"" + printable(key_id) +
                                 "\" in version " +
                                 std::to_string(context_.view().fold().version()) +
                                 "; give the id, the part between sm_ and the next _");
    auto const name = "workspaces/" + contract->workspace;
    auto changed = *context_.view().fold().content().find(name);
    auto& keys = changed["keys"];
    keys.erase(std::find_if(keys.begin(), keys.end(),
                            [&](nlohmann::json const& it) { return it["id"] == key_id; }));
    auto const result =
        change_publisher(context_).publish({{name, changed}}, "run the command again");
    if (result.next() != publication_step::accepted)
        return exit_code::failure;
    context_.err() << "remove the key from " << name
                   << ".json, or the next apply grants it again\n";
    return code;
}

} // namespace savorymount::control
