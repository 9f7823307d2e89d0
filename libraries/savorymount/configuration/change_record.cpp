#include <savorymount/configuration/change_record.hpp>
#include <savorymount/configuration/object_reader.hpp>

namespace savorymount::configuration
{
namespace
{

/// Path of the record in messages, in the form of a document's path.
constexpr char record_path[] = "change#";

} // namespace

std::optional<change_record> parse_change_record(nlohmann::json const& body, base::error& reason)
{
    document_limits const limits;
    // The record's own object and its `documents` object surround the documents.
    auto const size = json_size(body, limits.max_depth + 2);
    if (!size || *size > limits.max_change_bytes)
    {
        reason = {base::error_kind::too_large, "the change is nested too deeply or larger than " +
                                                   std::to_string(limits.max_change_bytes) +
                                                   " bytes; publish it in parts"};
        return std::nullopt;
    }
    object_reader reader(change_schema(), body, record_path, reason);
    change_record out;
    out.base = reader.number("base");
    out.operator_name = reader.text("operator");
    out.time_ms = static_cast<std::int64_t>(reader.number("time_ms"));
    if (!reader.ok())
        return std::nullopt;
    auto const& changes = body.at("documents");
    auto const& rule = *change_schema().find("documents");
    if (!changes.is_object() || changes.size() < rule.minimum || changes.size() > rule.maximum)
    {
        reader.fail("documents", "must hold " + describe(rule) + " or null by document name");
        return std::nullopt;
    }
    for (auto const& [name, value] : changes.get_ref<nlohmann::json::object_t const&>())
        out.changes.emplace(name, value);
    return out;
}

nlohmann::json to_json(change_record const& change)
{
    return {{"kind", "change"},
            {"base", change.base},
            {"operator", change.operator_name},
            {"time_ms", change.time_ms},
            {"documents", change.changes}};
}

} // namespace savorymount::configuration
