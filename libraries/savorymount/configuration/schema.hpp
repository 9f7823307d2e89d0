#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace savorymount::configuration
{

/// What a field of a document holds, and with it which texts are valid.
enum class field_type
{
    /// Lower-case letters, digits and `-`, not starting with `-`.
    name,
    /// Lower-case letters and digits.
    key_id,
    /// Lower-case hexadecimal digits.
    hexadecimal,
    /// Printable ASCII without spaces and quotes.
    identifier,
    /// An absolute path without `.`, `..` or empty segments, query, fragment or percent escapes.
    path,
    /// `model` or `plain`.
    upstream_kind,
    /// The text in `constant`.
    constant,
    whole_number,
    flag,
    /// Names without duplicates.
    name_list,
    /// Upper-case HTTP methods without duplicates.
    method_list,
    object_list
};

/// One field: bounds are the value of a number, the length of a text or the size of a list.
struct field_rule
{
    std::string_view name;
    field_type type = field_type::identifier;
    /// Unit of a number; empty for other types.
    std::string_view unit;
    /// The default as JSON text, or empty for a required field.
    std::string_view fallback;
    std::uint64_t minimum = 0;
    std::uint64_t maximum = 0;
    std::string_view constant = {};
};

/// The fields of one kind of document or of an object inside one.
struct object_schema
{
    /// Heading in `docs/CONFIGURATION.md`.
    std::string_view title;
    std::span<field_rule const> fields;

    /// The rule of a field; null if there is no such field.
    field_rule const* find(std::string_view name) const;
};

object_schema const& workspace_schema();
object_schema const& key_schema();
object_schema const& route_schema();
object_schema const& group_schema();
object_schema const& model_schema();
object_schema const& system_schema();
object_schema const& change_schema();
object_schema const& snapshot_schema();

/// Every schema above.
std::span<object_schema const* const> schemas();

/// What a rule allows, in words, as in error messages and in `docs/CONFIGURATION.md`.
std::string describe(field_rule const& rule);

/// Whether `text` is valid for a rule of a text type.
bool is_valid_text(field_rule const& rule, std::string_view text);

} // namespace savorymount::configuration
