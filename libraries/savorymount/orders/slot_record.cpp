#include <savorymount/orders/slot_record.hpp>

#include <nlohmann/json.hpp>

namespace savorymount::orders
{

namespace
{

bool read_text(nlohmann::json const& body, char const* name, std::string& out)
{
    auto const found = body.find(name);
    if (found == body.end() || !found->is_string())
        return false;
    out = found->get<std::string>();
    return !out.empty();
}

} // namespace

std::optional<slot_record> parse_slot_record(nlohmann::json const& body, base::error& reason)
{
    slot_record out;
    std::string kind;
    std::string action;
    auto const complete =
        body.is_object() && read_text(body, "kind", kind) && read_text(body, "group", out.group) &&
        read_text(body, "agent", out.agent) && read_text(body, "incarnation", out.incarnation) &&
        read_text(body, "action", action);
    if (!complete || kind != "slot" || (action != "take" && action != "release"))
    {
        reason = {base::error_kind::invalid_input,
                  "not a slot record; expected kind \"slot\" with group, agent, incarnation and an "
                  "action \"take\" or \"release\""};
        return std::nullopt;
    }
    out.action =
        action == "take" ? slot_record::action_kind::take : slot_record::action_kind::release;
    return out;
}

nlohmann::json to_json(slot_record const& record)
{
    auto const* const action = record.action == slot_record::action_kind::take ? "take" : "release";
    return {{"kind", "slot"},
            {"group", record.group},
            {"agent", record.agent},
            {"incarnation", record.incarnation},
            {"action", action}};
}

} // namespace savorymount::orders
