#pragma once

#include <savorymount/base/error.hpp>
#include <savorymount/configuration/document_map.hpp>

#include <nlohmann/json.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace savorymount::configuration
{

/// Bounds on text from outside. They are part of the fold: every reader must use the same ones.
struct document_limits
{
    std::size_t max_bytes = std::size_t{16} << 20;
    std::size_t max_documents = 10'000;
    std::size_t max_depth = 16;
    /// Of a change record, whose documents count towards `max_bytes` afterwards.
    std::size_t max_change_bytes = std::size_t{4} << 20;

    bool operator==(document_limits const&) const = default;
};

/// The raw documents by name (`workspaces/counter`, `system`), unchecked beyond their names.
class documents
{
public:
    using map_type = document_map;

    documents() = default;
    explicit documents(map_type entries) : entries_(std::move(entries)) {}

    bool operator==(documents const&) const = default;

    map_type const& entries() const { return entries_; }

    /// The document, or null if there is none.
    nlohmann::json const* find(std::string const& name) const;

    /// Applies `changes`; a null value removes its document.
    void apply(map_type const& changes);

    /// The changes that lead from these documents to `wanted`; null for removed documents.
    map_type changes_to(documents const& wanted) const;

    /// Canonical JSON text: sorted names, no white space. Equal documents have equal text.
    std::string serialize() const;

private:
    map_type entries_;
};

/// Parses the text from `serialize`. Fails with `too_large` or `invalid_input`.
std::optional<documents> parse_documents(std::string_view text, document_limits const& limits,
                                         base::error& reason);

/// Parses one JSON text strictly: bounded size and depth, no name twice in an object.
std::optional<nlohmann::json> parse_json(std::string_view text, document_limits const& limits,
                                         base::error& reason);

/// An upper bound of the bytes that `value` takes as compact JSON text; nothing if it is nested
/// deeper than `max_depth`.
std::optional<std::size_t> json_size(nlohmann::json const& value, std::size_t max_depth);

/// Whether `name` is `system` or `workspaces/`, `routes/` or `groups/` with a valid name behind it.
bool is_document_name(std::string_view name);

} // namespace savorymount::configuration
