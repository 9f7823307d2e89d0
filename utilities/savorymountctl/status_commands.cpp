#include "utilities/savorymountctl/status_commands.hpp"

#include "utilities/savorymountctl/request_explanation.hpp"
#include "utilities/savorymountctl/text_table.hpp"
#include "utilities/savorymountctl/users_platform_status.hpp"

#include <nlohmann/json.hpp>

#include <ctime>
#include <utility>

namespace savorymount::control
{
namespace
{

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

exit_code status_commands::status()
{
    return context_.setting("store-address").empty() ? instances_status() : users_platform_status();
}

exit_code status_commands::instances_status()
{
    base::error reason;
    if (!context_.client().use_list(context_.setting("list-plugin"),
                                    context_.setting("list-address"), reason))
        return context_.fail(exit_code::wrong_usage, reason.message);
    auto const instances = context_.client().instances(reason);
    if (!instances)
        return context_.fail(exit_code::failure, reason.message);
    text_table table({"INSTANCE", "ROLE", "DATA CENTRE", "STATE", "VERSION", "DEGRADED"});
    std::size_t unreachable = 0;
    for (auto const& it : context_.client().statuses(*instances))
    {
        auto const answer = it.answer.value_or(nlohmann::json::object());
        auto const degraded = it.answer ? degraded_text(answer) : "unreachable: " + it.reason;
        unreachable += it.answer ? 0 : 1;
        table.add({it.instance.id, it.instance.role, it.instance.data_centre, it.instance.state,
                   text_field(answer, "version"), degraded});
    }
    context_.out() << table.text();
    if (unreachable > 0)
        return context_.fail(exit_code::failure, std::to_string(unreachable) + " of " +
                                                     std::to_string(instances->size()) +
                                                     " instances did not answer");
    return exit_code::success;
}

exit_code status_commands::users_platform_status()
{
    base::error reason;
    auto const store =
        runtime::parse_address("store-address", context_.setting("store-address"), reason);
    if (!store)
        return context_.fail(exit_code::wrong_usage, reason.message);
    auto const status = read_users_platform(context_.client().loop(),
                                            context_.setting("platform-plugin"), *store, reason);
    if (!status)
        return context_.fail(exit_code::failure, reason.message);
    context_.out() << to_text(*status);
    return exit_code::success;
}

exit_code status_commands::explain_request()
{
    auto const& request = context_.line().operands[1];
    std::vector<std::vector<logged_line>> files;
    for (std::size_t i = 2; i < context_.line().operands.size(); ++i)
    {
        base::error reason;
        auto lines = read_log_file(context_.line().operands[i], reason);
        if (!lines)
            return context_.fail(exit_code::failure, reason.message);
        files.push_back(std::move(*lines));
    }
    auto const explanation = control::explain_request(request, files);
    context_.out() << to_text(request, explanation);
    return explanation.own.empty() ? exit_code::failure : exit_code::success;
}

exit_code status_commands::audit()
{
    base::error reason;
    if (!context_.client().use_log(context_.setting("log-plugin"), context_.setting("log-address"),
                                   reason))
        return context_.fail(exit_code::wrong_usage, reason.message);
    if (!context_.view().catch_up(reason))
        return context_.fail(exit_code::failure, reason.message);
    text_table table({"OFFSET", "TIME", "OPERATOR", "BASE", "VERDICT", "DOCUMENTS", "REASON"});
    for (auto const& it : context_.view().audit())
        table.add({std::to_string(it.offset), time_text(it.time_ms), it.operator_name,
                   std::to_string(it.base), it.accepted ? "accepted" : "rejected",
                   joined(it.documents), it.reason});
    context_.out() << table.text();
    if (!context_.view().check_synchronized(reason))
        return context_.fail(exit_code::failure, reason.message);
    return exit_code::success;
}

} // namespace savorymount::control
