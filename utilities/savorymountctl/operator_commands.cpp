#include "utilities/savorymountctl/operator_commands.hpp"

#include "utilities/savorymountctl/document_folder.hpp"
#include "utilities/savorymountctl/request_explanation.hpp"
#include "utilities/savorymountctl/text_table.hpp"
#include "utilities/savorymountctl/users_platform_status.hpp"
#include <savorymount/base/digest.hpp>
#include <savorymount/configuration/caller_key.hpp>
#include <savorymount/configuration/schema.hpp>

#include <openssl/rand.h>

#include <algorithm>
#include <ctime>
#include <limits>
#include <stdexcept>

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

std::string system_random(std::size_t size)
{
    std::string out(size, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char*>(out.data()), static_cast<int>(size)) != 1)
        throw std::runtime_error("the system has no random bytes; try again later");
    return out;
}

std::string time_text(std::int64_t unix_ms)
{
    std::time_t const seconds = unix_ms / 1000;
    std::tm parts{};
    if (gmtime_r(&seconds, &parts) == nullptr)
        return std::to_string(unix_ms);
    char buf[32];
    auto const size = std::strftime(buf, sizeof buf, "%Y-%m-%dT%H:%M:%SZ", &parts);
    return {buf, size};
}

std::string joined(std::vector<std::string> const& names)
{
    std::string out;
    for (auto const& it : names)
        out += (out.empty() ? "" : " ") + it;
    return out;
}

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

std::string text_field(nlohmann::json const& object, char const* name)
{
    auto const it = object.find(name);
    if (it == object.end() || it->is_null())
        return {};
    return it->is_string() ? it->get<std::string>() : it->dump();
}

std::string degraded_text(nlohmann::json const& status)
{
    auto const it = status.find("degraded");
    if (it == status.end() || !it->is_array())
        return {};
    std::string out;
    for (auto const& part : *it)
        out +=
            (out.empty() ? "" : ", ") + (part.is_string() ? part.get<std::string>() : part.dump());
    return out;
}

} // namespace

operator_commands::operator_commands(command_line const& line, std::ostream& out, std::ostream& err)
    : line_(line), out_(out), err_(err), view_(client_)
{
}

exit_code operator_commands::run()
{
    auto const& it = line_.operands;
    if (it.size() == 2 && it[0] == "validate")
        return validate(it[1]);
    if (it.size() == 2 && it[0] == "diff")
        return diff(it[1]);
    if (it.size() == 2 && it[0] == "apply")
        return apply(it[1]);
    if (it.size() == 3 && it[0] == "key" && it[1] == "grant")
        return grant(it[2]);
    if (it.size() == 3 && it[0] == "key" && it[1] == "withdraw")
        return withdraw(it[2]);
    if (it.size() == 1 && it[0] == "status")
        return setting("store-address").empty() ? status() : users_platform_status();
    if (it.size() >= 3 && it[0] == "explain")
        return explain_request();
    if (it.size() == 1 && it[0] == "audit")
        return audit();
    return fail(exit_code::wrong_usage, "unknown command or wrong number of operands; see "
                                        "savorymountctl --help");
}

exit_code operator_commands::validate(std::string const& folder)
{
    auto code = exit_code::success;
    auto const content = read_valid(folder, code);
    if (!content)
        return code;
    out_ << "valid: " << content->entries().size() << " documents\n";
    return code;
}

exit_code operator_commands::diff(std::string const& folder)
{
    auto code = exit_code::success;
    auto const content = read_valid(folder, code);
    if (!content || !open_log(code))
        return code;
    auto const& fold = view_.fold();
    auto const changes = fold.content().changes_to(*content);
    out_ << "version in force: " << fold.version() << "\n";
    if (changes.empty())
        out_ << "no differences\n";
    else
        out_ << describe_changes(fold.content(), changes) << "publish with: savorymountctl apply "
             << folder << " --base " << fold.version() << "\n";
    return code;
}

exit_code operator_commands::apply(std::string const& folder)
{
    auto code = exit_code::success;
    auto const content = read_valid(folder, code);
    if (!content || !check_operator(code) || !open_log(code))
        return code;
    auto const retry = "run savorymountctl diff " + folder + " again, then apply";
    auto const changes = view_.fold().content().changes_to(*content);
    auto const base = wanted_base();
    if (!base)
        return exit_code::wrong_usage;
    auto const version = view_.fold().version();
    if (*base != version)
        return fail(exit_code::failure, "version " + std::to_string(version) +
                                            " is in force, not version " + std::to_string(*base) +
                                            "; " + retry);
    if (changes.empty())
    {
        out_ << "nothing to publish: version " << version << " is equal to the folder\n";
        return code;
    }
    auto const result = publish(changes, retry);
    return result.next() == publication_step::accepted ? code : exit_code::failure;
}

exit_code operator_commands::grant(std::string const& workspace)
{
    auto code = exit_code::success;
    if (!check_operator(code) || !open_log(code))
        return code;
    auto const name = "workspaces/" + workspace;
    auto const* const held = view_.fold().content().find(name);
    if (held == nullptr)
        return fail(exit_code::failure, "there is no workspace \"" + workspace +
                                            "\" in force; publish its contract first");
    auto const key = configuration::generate_caller_key(system_random);
    auto const record = configuration::make_key_record(key, system_random);
    auto contract = *held;
    contract["keys"].push_back(configuration::to_json(record));
    auto const result = publish({{name, contract}}, "run the command again");
    if (result.next() == publication_step::unknown)
        err_ << "the key " << key.id << " may come into force; withdraw it and grant another one\n";
    if (result.next() != publication_step::accepted)
        return exit_code::failure;
    err_ << "add to \"keys\" in " << name << ".json, or the next apply withdraws the key:\n"
         << configuration::to_json(record).dump() << "\n";
    out_ << configuration::to_string(key) << "\n";
    return code;
}

exit_code operator_commands::withdraw(std::string const& key_id)
{
    auto code = exit_code::success;
    if (!check_operator(code) || !open_log(code))
        return code;
    auto const* const contract = view_.fold().current()->find_workspace_of_key(key_id);
    if (contract == nullptr)
        return fail(exit_code::failure, "no workspace holds the key \"" + printable(key_id) +
                                            "\" in version " +
                                            std::to_string(view_.fold().version()) +
                                            "; give the id, the part between sm_ and the next _");
    auto const name = "workspaces/" + contract->workspace;
    auto changed = *view_.fold().content().find(name);
    auto& keys = changed["keys"];
    keys.erase(std::find_if(keys.begin(), keys.end(),
                            [&](nlohmann::json const& it) { return it["id"] == key_id; }));
    auto const result = publish({{name, changed}}, "run the command again");
    if (result.next() != publication_step::accepted)
        return exit_code::failure;
    err_ << "remove the key from " << name << ".json, or the next apply grants it again\n";
    return code;
}

exit_code operator_commands::status()
{
    base::error reason;
    if (!client_.use_list(setting("list-plugin"), setting("list-address"), reason))
        return fail(exit_code::wrong_usage, reason.message);
    auto const instances = client_.instances(reason);
    if (!instances)
        return fail(exit_code::failure, reason.message);
    text_table table({"INSTANCE", "ROLE", "DATA CENTRE", "STATE", "VERSION", "DEGRADED"});
    std::size_t unreachable = 0;
    for (auto const& it : client_.statuses(*instances))
    {
        auto const answer = it.answer.value_or(nlohmann::json::object());
        auto const degraded = it.answer ? degraded_text(answer) : "unreachable: " + it.reason;
        unreachable += it.answer ? 0 : 1;
        table.add({it.instance.id, it.instance.role, it.instance.data_centre, it.instance.state,
                   text_field(answer, "version"), degraded});
    }
    out_ << table.text();
    if (unreachable > 0)
        return fail(exit_code::failure, std::to_string(unreachable) + " of " +
                                            std::to_string(instances->size()) +
                                            " instances did not answer");
    return exit_code::success;
}

exit_code operator_commands::users_platform_status()
{
    base::error reason;
    auto const store = runtime::parse_address("store-address", setting("store-address"), reason);
    if (!store)
        return fail(exit_code::wrong_usage, reason.message);
    auto const status =
        read_users_platform(client_.loop(), setting("platform-plugin"), *store, reason);
    if (!status)
        return fail(exit_code::failure, reason.message);
    out_ << to_text(*status);
    return exit_code::success;
}

exit_code operator_commands::explain_request()
{
    auto const& request = line_.operands[1];
    std::vector<std::vector<logged_line>> files;
    for (std::size_t i = 2; i < line_.operands.size(); ++i)
    {
        base::error reason;
        auto lines = read_log_file(line_.operands[i], reason);
        if (!lines)
            return fail(exit_code::failure, reason.message);
        files.push_back(std::move(*lines));
    }
    auto const explanation = control::explain_request(request, files);
    out_ << to_text(request, explanation);
    return explanation.own.empty() ? exit_code::failure : exit_code::success;
}

exit_code operator_commands::audit()
{
    base::error reason;
    if (!client_.use_log(setting("log-plugin"), setting("log-address"), reason))
        return fail(exit_code::wrong_usage, reason.message);
    if (!view_.catch_up(reason))
        return fail(exit_code::failure, reason.message);
    text_table table({"OFFSET", "TIME", "OPERATOR", "BASE", "VERDICT", "DOCUMENTS", "REASON"});
    for (auto const& it : view_.audit())
        table.add({std::to_string(it.offset), time_text(it.time_ms), it.operator_name,
                   std::to_string(it.base), it.accepted ? "accepted" : "rejected",
                   joined(it.documents), it.reason});
    out_ << table.text();
    if (!view_.check_synchronized(reason))
        return fail(exit_code::failure, reason.message);
    return exit_code::success;
}

std::optional<configuration::documents> operator_commands::read_valid(std::string const& folder,
                                                                      exit_code& code)
{
    base::error reason;
    auto content = read_document_folder(folder, reason);
    if (content && configuration::parse_configuration(0, *content, reason))
        return content;
    bool const missing = reason.kind == base::error_kind::not_found;
    code = fail(missing ? exit_code::wrong_usage : exit_code::invalid_documents, reason.message);
    return std::nullopt;
}

bool operator_commands::open_log(exit_code& code)
{
    base::error reason;
    if (!client_.use_log(setting("log-plugin"), setting("log-address"), reason))
        code = fail(exit_code::wrong_usage, reason.message);
    else if (!view_.catch_up(reason) || !view_.check_synchronized(reason))
        code = fail(exit_code::failure, reason.message);
    else
        return true;
    return false;
}

bool operator_commands::check_operator(exit_code& code)
{
    auto const& rule = *configuration::change_schema().find("operator");
    if (configuration::is_valid_text(rule, setting("operator")))
        return true;
    code = fail(exit_code::wrong_usage, "setting operator must be " + describe(rule) +
                                            "; pass --operator or set SAVORYMOUNT_OPERATOR");
    return false;
}

std::optional<std::uint64_t> operator_commands::wanted_base()
{
    auto const& text = setting("base");
    if (text.empty())
        return view_.fold().version();
    base::error reason;
    auto const base =
        runtime::parse_number("base", text, 0, std::numeric_limits<std::int64_t>::max(), reason);
    if (base)
        return static_cast<std::uint64_t>(*base);
    fail(exit_code::wrong_usage, reason.message);
    return std::nullopt;
}

publication operator_commands::publish(configuration::documents::map_type changes,
                                       std::string const& retry)
{
    configuration::change_record change{view_.fold().version(), setting("operator"),
                                        client_.unix_milliseconds(), std::move(changes)};
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

void operator_commands::drive(publication& publishing, base::error& reason)
{
    auto const body = configuration::to_json(publishing.change());
    view_.on_audit = [&](configuration::audit_entry const& it)
    {
        publishing.on_audit(it);
    };
    while (publishing.next() == publication_step::append ||
           publishing.next() == publication_step::look_up)
    {
        if (publishing.next() == publication_step::append)
        {
            auto const offset = client_.append(publishing.id(), body, reason);
            publishing.on_append(offset, reason.kind == base::error_kind::unknown_outcome);
            if (!offset)
                client_.wait(look_up_delay);
            continue;
        }
        base::error read_reason;
        if (view_.catch_up(read_reason))
            publishing.on_read(view_.fold().version(), view_.fold().next_offset());
        else
            publishing.give_up();
    }
    view_.on_audit = nullptr;
}

void operator_commands::explain(publication const& publishing, base::error const& reason,
                                std::string const& retry)
{
    auto const& change = publishing.change();
    switch (publishing.next())
    {
    case publication_step::accepted:
        err_ << "version " << publishing.version() << " is in force\n";
        return;
    case publication_step::lost:
        fail(exit_code::failure, "lost the race: " + publishing.reason() + "; " + retry);
        return;
    case publication_step::rejected:
        fail(exit_code::failure, "rejected: " + publishing.reason());
        return;
    case publication_step::unknown:
        fail(exit_code::failure, "the log did not confirm the change, which may still come into "
                                 "force; run savorymountctl audit later and look for base " +
                                     std::to_string(change.base) + " by " + change.operator_name);
        return;
    default:
        fail(exit_code::failure, "nothing was published: " + reason.message);
    }
}

exit_code operator_commands::fail(exit_code code, std::string const& message)
{
    err_ << "savorymountctl: " << printable(message) << "\n";
    return code;
}

std::string const& operator_commands::setting(std::string const& name) const
{
    return line_.settings.text(name);
}

} // namespace savorymount::control
