#include <savorymount/configuration/documents.hpp>
#include <savorymount/configuration/schema.hpp>

#include <set>
#include <vector>

namespace savorymount::configuration
{
namespace
{

constexpr std::size_t max_number_size = 25;

/// Bytes of `text` as a JSON string; control characters become \uXXXX.
std::size_t string_size(std::string const& text)
{
    std::size_t out = 2;
    for (char const it : text)
    {
        if (static_cast<unsigned char>(it) < 0x20)
            out += 6;
        else
            out += it == '"' || it == '\\' ? 2 : 1;
    }
    return out;
}

bool fits_depth(nlohmann::json const& value, std::size_t depth, std::size_t& size)
{
    switch (value.type())
    {
    case nlohmann::json::value_t::string:
        size += string_size(value.get_ref<std::string const&>());
        return true;
    case nlohmann::json::value_t::array:
    case nlohmann::json::value_t::object:
        break;
    default:
        size += max_number_size;
        return true;
    }
    if (depth == 0)
        return false;
    size += 2;
    if (value.is_array())
    {
        for (auto const& it : value)
        {
            size += 1;
            if (!fits_depth(it, depth - 1, size))
                return false;
        }
        return true;
    }
    for (auto const& [name, it] : value.get_ref<nlohmann::json::object_t const&>())
    {
        size += string_size(name) + 2;
        if (!fits_depth(it, depth - 1, size))
            return false;
    }
    return true;
}

} // namespace

nlohmann::json const* documents::find(std::string const& name) const
{
    auto const it = entries_.find(name);
    return it == entries_.end() ? nullptr : &it->second;
}

void documents::apply(map_type const& changes)
{
    for (auto const& [name, value] : changes)
    {
        if (value.is_null())
            entries_.erase(name);
        else
            entries_.insert_or_assign(name, value);
    }
}

documents::map_type documents::changes_to(documents const& wanted) const
{
    map_type out;
    for (auto const& [name, value] : wanted.entries_)
    {
        auto const* const held = find(name);
        if (held == nullptr || *held != value)
            out.emplace(name, value);
    }
    for (auto const& [name, value] : entries_)
        if (wanted.find(name) == nullptr)
            out.emplace(name, nullptr);
    return out;
}

std::string documents::serialize() const
{
    // NOTE: The library's objects are sorted by name, which makes the text canonical.
    return nlohmann::json(entries_).dump();
}

std::optional<documents> parse_documents(std::string_view text, document_limits const& limits,
                                         base::error& reason)
{
    auto parsed = parse_json(text, limits, reason);
    if (!parsed)
        return std::nullopt;
    if (!parsed->is_object())
    {
        reason = {base::error_kind::invalid_input,
                  "the documents must be one JSON object by document name"};
        return std::nullopt;
    }
    if (parsed->size() > limits.max_documents)
    {
        reason = {base::error_kind::too_large, "there are more than " +
                                                   std::to_string(limits.max_documents) +
                                                   " documents; remove unused ones"};
        return std::nullopt;
    }
    documents::map_type entries;
    for (auto& [name, value] : parsed->get_ref<nlohmann::json::object_t&>())
    {
        if (!is_document_name(name) || !value.is_object())
        {
            reason = {base::error_kind::invalid_input,
                      "a document has an unknown name or is not a JSON object; use system, "
                      "workspaces/<name>, routes/<name> or groups/<name>"};
            return std::nullopt;
        }
        entries.emplace(name, std::move(value));
    }
    return documents(std::move(entries));
}

std::optional<nlohmann::json> parse_json(std::string_view text, document_limits const& limits,
                                         base::error& reason)
{
    if (text.size() > limits.max_bytes)
    {
        reason = {base::error_kind::too_large, "the JSON text is longer than " +
                                                   std::to_string(limits.max_bytes) +
                                                   " bytes; split it"};
        return std::nullopt;
    }
    using json = nlohmann::json;
    std::vector<std::set<std::string>> open_objects;
    std::string fault;
    auto const check = [&](int depth, json::parse_event_t event, json& value)
    {
        if (!fault.empty())
            return false;
        switch (event)
        {
        case json::parse_event_t::object_start:
            open_objects.emplace_back();
            [[fallthrough]];
        case json::parse_event_t::array_start:
            if (static_cast<std::size_t>(depth) >= limits.max_depth)
                fault = "is nested deeper than " + std::to_string(limits.max_depth) + " levels";
            break;
        case json::parse_event_t::object_end:
            open_objects.pop_back();
            break;
        case json::parse_event_t::key:
            if (!open_objects.back().insert(value.get<std::string>()).second)
                fault = "has the same name twice in one object";
            break;
        default:
            break;
        }
        return fault.empty();
    };
    // The parser keeps its own stack, so deep nesting costs memory in proportion to the text only.
    auto out = json::parse(text.begin(), text.end(), check, false);
    if (fault.empty() && !out.is_discarded())
        return out;
    if (fault.empty())
        fault = "is not valid JSON";
    reason = {base::error_kind::invalid_input, "the JSON text " + fault + "; correct it"};
    return std::nullopt;
}

std::optional<std::size_t> json_size(nlohmann::json const& value, std::size_t max_depth)
{
    std::size_t out = 0;
    if (!fits_depth(value, max_depth, out))
        return std::nullopt;
    return out;
}

bool is_document_name(std::string_view name)
{
    if (name == "system")
        return true;
    auto const slash = name.find('/');
    if (slash == std::string_view::npos)
        return false;
    auto const folder = name.substr(0, slash);
    if (folder != "workspaces" && folder != "routes" && folder != "groups")
        return false;
    return is_valid_text(*workspace_schema().find("workspace"), name.substr(slash + 1));
}

} // namespace savorymount::configuration
