#include <savorymount/configuration/object_reader.hpp>
#include <savorymount/configuration/snapshot_record.hpp>

#include <algorithm>

namespace savorymount::configuration
{
namespace
{

constexpr char record_path[] = "snapshot#";

} // namespace

std::optional<snapshot_record> parse_snapshot_record(nlohmann::json const& body,
                                                     base::error& reason)
{
    document_limits const limits;
    constexpr std::size_t envelope_bytes = 256;
    auto const size = json_size(body, limits.max_depth + 2);
    if (!size || *size > limits.max_bytes + envelope_bytes)
    {
        reason = {base::error_kind::too_large, "the snapshot is nested too deeply or too large"};
        return std::nullopt;
    }
    object_reader reader(snapshot_schema(), body, record_path, reason);
    snapshot_record out;
    out.version = reader.number("version");
    out.through = std::max(out.version, reader.number("through"));
    if (!reader.ok())
        return std::nullopt;
    auto const& content = body.at("documents");
    if (!content.is_object())
    {
        reader.fail("documents", "must be an object by document name");
        return std::nullopt;
    }
    documents::map_type entries;
    for (auto const& [name, value] : content.get_ref<nlohmann::json::object_t const&>())
        entries.emplace(name, value);
    out.content = documents(std::move(entries));
    return out;
}

nlohmann::json to_json(snapshot_record const& snapshot)
{
    return {{"kind", "snapshot"},
            {"version", snapshot.version},
            {"through", snapshot.through},
            {"documents", snapshot.content.entries()}};
}

} // namespace savorymount::configuration
