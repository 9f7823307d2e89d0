#include <savorymount/limits/lease_record.hpp>

#include <nlohmann/json.hpp>

namespace savorymount::limits
{

namespace
{

bool read_string(nlohmann::json const& body, char const* name, std::string& out)
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

std::nullopt_t parse_error(char const* message, base::error& reason)
{
    reason = {base::error_kind::invalid_input, message};
    return std::nullopt;
}

} // namespace

std::optional<lease_record> parse_lease_record(nlohmann::json const& body, base::error& reason)
{
    lease_record out;
    std::string kind;
    if (!body.is_object() || !read_string(body, "kind", kind) || kind != "lease")
        return parse_error("not a lease record; expected \"kind\":\"lease\"", reason);
    if (!read_string(body, "workspace", out.workspace) || out.workspace.empty())
        return parse_error("lease record without workspace; set \"workspace\" to a name", reason);
    if (!read_string(body, "agent", out.agent))
        return parse_error("lease record without agent; set \"agent\" to a string", reason);
    if (!read_string(body, "incarnation", out.incarnation))
        return parse_error("lease record without incarnation; set \"incarnation\" to a string",
                           reason);
    if (!read_offset(body, "previous", out.previous))
        return parse_error("lease record without previous; set \"previous\" to an offset", reason);
    if (body.contains("fence") && !read_offset(body, "fence", out.fencing_token))
        return parse_error("fence of a lease record must be an offset", reason);
    return out;
}

nlohmann::json to_json(lease_record const& record)
{
    nlohmann::json out = {{"kind", "lease"},
                          {"workspace", record.workspace},
                          {"agent", record.agent},
                          {"incarnation", record.incarnation},
                          {"previous", record.previous}};
    if (record.fencing_token != 0)
        out["fence"] = record.fencing_token;
    return out;
}

} // namespace savorymount::limits
