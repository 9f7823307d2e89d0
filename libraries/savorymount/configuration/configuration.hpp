#pragma once

#include <savorymount/configuration/document_map.hpp>
#include <savorymount/configuration/route.hpp>
#include <savorymount/configuration/system_settings.hpp>
#include <savorymount/configuration/upstream_group.hpp>
#include <savorymount/configuration/workspace_contract.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace savorymount::configuration
{

class documents;

/// The workspace that requests on open routes run for.
inline constexpr std::string_view open_workspace = "open";

/// A parsed and cross-checked set of documents. Immutable; copies share the parsed documents.
class configuration
{
public:
    /// Version 0: no documents.
    configuration() = default;

    /// Log offset of the last accepted change; 0 before the first.
    std::uint64_t version() const { return version_; }

    /// Null if there is no such document.
    workspace_contract const* find_workspace(std::string const& workspace) const;
    route const* find_route(std::string const& name) const;
    upstream_group const* find_group(std::string const& group) const;

    /// The route with the longest path prefix of `target` (path with or without a query), or null.
    /// Matches whole segments of the percent-decoded path; a path with `.` or `..` segments or with
    /// malformed percent escapes has no route.
    route const* match_route(std::string_view target) const;

    /// The workspace that holds the key `key_id`, or null.
    workspace_contract const* find_workspace_of_key(std::string const& key_id) const;

    /// The key `key_id`, or null. Agents check with this that a key is not withdrawn.
    key_record const* find_key(std::string const& key_id) const;

    system_settings const& settings() const { return settings_; }

    /// All contracts, routes and groups in the order of their names.
    std::vector<workspace_contract const*> workspaces() const;
    std::vector<route const*> routes() const;
    std::vector<upstream_group const*> groups() const;

    /// The configuration after `changes` (a null value removes its document). Parses only the
    /// changed documents. Fails with `invalid_input` or `too_large` if the result is not valid.
    std::optional<configuration> changed(std::uint64_t version, document_map const& changes,
                                         base::error& reason) const;

private:
    template <class T>
    struct stored
    {
        std::shared_ptr<T const> value;
        /// Size of the document as text.
        std::size_t bytes = 0;
    };

    template <class T>
    using stored_map = std::map<std::string, stored<T>>;

    using key_index = std::unordered_map<std::string, std::shared_ptr<workspace_contract const>>;

    bool remove_document(std::string const& name);
    bool put_document(std::string const& name, nlohmann::json const& value, std::size_t bytes,
                      base::error& reason);
    bool check_size(base::error& reason) const;
    bool check_references(base::error& reason) const;
    bool index_keys(document_map const& changes, configuration const& previous,
                    base::error& reason);
    bool index_prefixes(base::error& reason);

    std::uint64_t version_ = 0;
    stored_map<workspace_contract> workspaces_;
    stored_map<route> routes_;
    stored_map<upstream_group> groups_;
    system_settings settings_;
    std::size_t settings_bytes_ = 0;
    /// Contract by key id. Shared with the previous version unless a workspace changed.
    std::shared_ptr<key_index const> keys_;
    std::map<std::string, std::shared_ptr<route const>> prefixes_;
};

/// Parses and cross-checks a whole set. Fails with `invalid_input` or `too_large`.
std::optional<configuration> parse_configuration(std::uint64_t version, documents const& content,
                                                 base::error& reason);

} // namespace savorymount::configuration
