#include <savorymount/limits/lease_record.hpp>

#include <nlohmann/json.hpp>

namespace savorymount::limits
{

namespace
{

bool read_text(nlohmann::json const& body, char const* name, std::string& out)
{
    auto const found = body.find(name);
    if (found == body.end() || !found->is_string())
        return false;
    out = found->get<std::string>();
    return true;
}

bool read_offset(nlohmann::json const& body, char const* name, std::uint64_t& out)
{
    auto const found = body.find(name);
    if (found == body.end() || !found->is_number_unsigned())
        return false;
    out = found->get<std::uint64_t>();
    return true;
}

std::nullopt_t rejected(char const* message, base::error& reason)
{
    reason = {base::error_kind::invalid_input, message};
    return std::nullopt;
}

} // namespace

std::optional<lease_record> parse_lease_record(nlohmann::json const& body, base::error& reason)
{
    lease_record out;
    std::string kind;
    if (!body.is_object() || !read_text(body, "kind", kind) || kind != "lease")
        return rejected("not a lease record; expected \"kind\":\"lease\"", reason);
    if (!read_text(body, "workspace", out.workspace) || out.workspace.empty())
        return rejected("lease record without workspace; set \"workspace\" to a name", reason);
    if (!read_text(body, "agent", out.agent))
        return rejected("lease record without agent; set \"agent\" to a string", reason);
    if (!read_text(body, "incarnation", out.incarnation))
        return rejected("lease record without incarnation; set \"incarnation\" to a string",
                        reason);
    if (!read_offset(body, "previous", out.previous))
        return rejected("lease record without previous; set \"previous\" to an offset", reason);
    if (body.contains("fence") && !read_offset(body, "fence", out.fence))
        return rejected("fence of a lease record must be an offset", reason);
    return out;
}

nlohmann::json to_json(lease_record const& record)
{
    nlohmann::json out = {{"kind", "lease"},
                          {"workspace", record.workspace},
                          {"agent", record.agent},
                          {"incarnation", record.incarnation},
                          {"previous", record.previous}};
    if (record.fence != 0)
        out["fence"] = record.fence;
    return out;
}

} // namespace savorymount::limits
