#include <savorymount/configuration/schema.hpp>
#include <savorymount/configuration/upstream_kind.hpp>

#include <algorithm>
#include <array>

namespace savorymount::configuration
{
namespace
{

constexpr std::uint64_t max_name_length = 64;
constexpr std::uint64_t max_identifier_length = 128;
constexpr std::uint64_t max_tokens = 1'000'000'000'000;
constexpr std::uint64_t max_offset = std::uint64_t{1} << 62;

constexpr std::array workspace_fields{
    field_rule{"workspace", field_type::name, "", "", 1, max_name_length},
    field_rule{"rate_tokens_per_second", field_type::whole_number, "tokens/s", "", 1,
               1'000'000'000},
    field_rule{"burst_tokens", field_type::whole_number, "tokens", "", 1, max_tokens},
    field_rule{"weight", field_type::whole_number, "share", "1", 1, 1'000},
    field_rule{"routes", field_type::name_list, "", "[]", 0, 1'000},
    field_rule{"keys", field_type::object_list, "", "[]", 0, 1'000},
};

constexpr std::array key_fields{
    field_rule{"id", field_type::key_id, "", "", 4, 32},
    field_rule{"salt", field_type::hexadecimal, "", "", 16, 64},
    field_rule{"digest", field_type::hexadecimal, "", "", 64, 64},
};

constexpr std::array route_fields{
    field_rule{"route", field_type::name, "", "", 1, max_name_length},
    field_rule{"path_prefix", field_type::path, "", "", 1, 512},
    field_rule{"group", field_type::name, "", "", 1, max_name_length},
    field_rule{"open", field_type::flag, "", "false", 0, 0},
    field_rule{"repeatable_methods", field_type::method_list, "", "[]", 0, 16},
    field_rule{"kind", field_type::upstream_kind, "", "", 0, 0},
    field_rule{"cost_tokens", field_type::whole_number, "tokens", "1", 1, max_tokens},
};

constexpr std::array group_fields{
    field_rule{"group", field_type::name, "", "", 1, max_name_length},
    field_rule{"kind", field_type::upstream_kind, "", "", 0, 0},
    field_rule{"checks_fencing", field_type::flag, "", "false", 0, 0},
    field_rule{"loading_at_once", field_type::whole_number, "engines", "1", 1, 1'000},
    field_rule{"models", field_type::object_list, "", "[]", 0, 64},
};

constexpr std::array model_fields{
    field_rule{"model", field_type::identifier, "", "", 1, max_identifier_length},
    field_rule{"adapter", field_type::identifier, "", "\"\"", 0, max_identifier_length},
    field_rule{"version", field_type::identifier, "", "", 1, max_identifier_length},
    field_rule{"engines", field_type::whole_number, "engines", "", 0, 100'000},
    field_rule{"max_answer_tokens", field_type::whole_number, "tokens", "", 1, 10'000'000},
};

constexpr std::array system_fields{
    field_rule{"quarantine_seconds", field_type::whole_number, "s", "600", 1, 86'400},
    field_rule{"idempotency_window_seconds", field_type::whole_number, "s", "3600", 1, 604'800},
};

constexpr std::array change_fields{
    field_rule{"kind", field_type::constant, "", "", 0, 0, "change"},
    field_rule{"base", field_type::whole_number, "offset", "", 0, max_offset},
    field_rule{"operator", field_type::identifier, "", "", 1, max_identifier_length},
    field_rule{"time_ms", field_type::whole_number, "ms", "", 0, max_offset},
    field_rule{"documents", field_type::object_list, "", "", 1, 10'000},
};

constexpr std::array snapshot_fields{
    field_rule{"kind", field_type::constant, "", "", 0, 0, "snapshot"},
    field_rule{"version", field_type::whole_number, "offset", "", 1, max_offset},
    field_rule{"through", field_type::whole_number, "offset", "0", 0, max_offset},
    field_rule{"documents", field_type::object_list, "", "", 0, 10'000},
};

constexpr object_schema workspace{"`workspaces/<name>.json`", workspace_fields};
constexpr object_schema key{"An object in `keys`", key_fields};
constexpr object_schema route{"`routes/<name>.json`", route_fields};
constexpr object_schema group{"`groups/<name>.json`", group_fields};
constexpr object_schema model{"An object in `models`", model_fields};
constexpr object_schema system{"`system.json`", system_fields};
constexpr object_schema change{"A `change` record", change_fields};
constexpr object_schema snapshot{"A `snapshot` record", snapshot_fields};

constexpr std::array<object_schema const*, 8> all{&workspace, &key,    &route,  &group,
                                                  &model,     &system, &change, &snapshot};

bool is_lower(char it)
{
    return it >= 'a' && it <= 'z';
}
bool is_digit(char it)
{
    return it >= '0' && it <= '9';
}

bool is_name(std::string_view text)
{
    return !text.starts_with('-') &&
           std::all_of(text.begin(), text.end(),
                       [](char it) { return is_lower(it) || is_digit(it) || it == '-'; });
}

bool is_path(std::string_view text)
{
    if (!text.starts_with('/'))
        return false;
    if (text == "/")
        return true;
    for (char const it : text)
        if (it <= ' ' || it > '~' || it == '%' || it == '?' || it == '#' || it == '\\')
            return false;
    std::size_t start = 1;
    while (start <= text.size())
    {
        auto const end = std::min(text.find('/', start), text.size());
        auto const segment = text.substr(start, end - start);
        if (segment.empty() || segment == "." || segment == "..")
            return false;
        start = end + 1;
    }
    return true;
}

std::string from_to(field_rule const& rule)
{
    if (rule.minimum == rule.maximum)
        return std::to_string(rule.minimum);
    return std::to_string(rule.minimum) + " to " + std::to_string(rule.maximum);
}

} // namespace

field_rule const* object_schema::find(std::string_view name) const
{
    auto const it = std::find_if(fields.begin(), fields.end(),
                                 [&](field_rule const& rule) { return rule.name == name; });
    return it == fields.end() ? nullptr : &*it;
}

object_schema const& workspace_schema()
{
    return workspace;
}
object_schema const& key_schema()
{
    return key;
}
object_schema const& route_schema()
{
    return route;
}
object_schema const& group_schema()
{
    return group;
}
object_schema const& model_schema()
{
    return model;
}
object_schema const& system_schema()
{
    return system;
}
object_schema const& change_schema()
{
    return change;
}
object_schema const& snapshot_schema()
{
    return snapshot;
}

std::span<object_schema const* const> schemas()
{
    return all;
}

std::string describe(field_rule const& rule)
{
    switch (rule.type)
    {
    case field_type::name:
        return from_to(rule) + " lower-case letters, digits and \"-\", not starting with \"-\"";
    case field_type::key_id:
        return from_to(rule) + " lower-case letters and digits";
    case field_type::hexadecimal:
        return from_to(rule) + " lower-case hexadecimal digits";
    case field_type::identifier:
        return from_to(rule) + " printable ASCII characters without spaces and quotes";
    case field_type::path:
        return "an absolute path of " + from_to(rule) +
               " characters without query, percent escapes, a \"/\" at the end, and empty, \".\" "
               "or \"..\" segments";
    case field_type::upstream_kind:
        return "\"model\" or \"plain\"";
    case field_type::constant:
        return "\"" + std::string(rule.constant) + "\"";
    case field_type::whole_number:
        return "a whole number from " + from_to(rule);
    case field_type::flag:
        return "true or false";
    case field_type::name_list:
        return "a list of " + from_to(rule) + " different names";
    case field_type::method_list:
        return "a list of " + from_to(rule) + " different upper-case HTTP methods";
    case field_type::object_list:
        return from_to(rule) + " objects";
    }
    return {};
}

bool is_valid_text(field_rule const& rule, std::string_view text)
{
    bool const sized = text.size() >= rule.minimum && text.size() <= rule.maximum;
    switch (rule.type)
    {
    case field_type::name:
        return sized && is_name(text);
    case field_type::key_id:
        return sized && std::all_of(text.begin(), text.end(),
                                    [](char it) { return is_lower(it) || is_digit(it); });
    case field_type::hexadecimal:
        return sized &&
               std::all_of(text.begin(), text.end(),
                           [](char it) { return is_digit(it) || (it >= 'a' && it <= 'f'); });
    case field_type::identifier:
        return sized && std::all_of(text.begin(), text.end(),
                                    [](char it)
                                    { return it > ' ' && it <= '~' && it != '"' && it != '\\'; });
    case field_type::path:
        return sized && is_path(text);
    case field_type::upstream_kind:
        return parse_upstream_kind(text).has_value();
    case field_type::constant:
        return text == rule.constant;
    default:
        return false;
    }
}

} // namespace savorymount::configuration
