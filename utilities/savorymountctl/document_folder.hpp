#pragma once

#include <savorymount/base/error.hpp>
#include <savorymount/configuration/documents.hpp>

#include <filesystem>
#include <optional>

namespace savorymount::control
{

/// Reads `workspaces/*.json`, `routes/*.json`, `groups/*.json` and `system.json` below `folder`.
/// Hidden files and top-level files other than JSON are skipped. Fails with `not_found` if the
/// folder can't be read, with `invalid_input` or `too_large` on a file that is no valid document,
/// an unknown folder, or when there is no document at all.
std::optional<configuration::documents> read_document_folder(std::filesystem::path const& folder,
                                                             base::error& reason);

} // namespace savorymount::control
