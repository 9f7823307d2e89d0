#include "utilities/savorymountctl/document_folder.hpp"

#include <fstream>
#include <iterator>
#include <system_error>
#include <vector>

namespace savorymount::control
{
namespace
{

namespace fs = std::filesystem;

using configuration::documents;

bool refuse(base::error& reason, base::error_kind kind, std::string message)
{
    reason = {kind, std::move(message)};
    return false;
}

std::optional<std::vector<fs::directory_entry>> entries_of(fs::path const& folder,
                                                           base::error& reason)
{
    std::error_code ec;
    std::vector<fs::directory_entry> out;
    for (fs::directory_iterator it(folder, ec), end; !ec && it != end; it.increment(ec))
        out.push_back(*it);
    if (!ec)
        return out;
    refuse(reason, base::error_kind::not_found,
           "can't read the folder " + folder.string() + ": " + ec.message() + "; check its path");
    return std::nullopt;
}

bool is_hidden(fs::path const& path)
{
    return path.filename().string().starts_with('.');
}

bool read_document(fs::path const& file, std::string const& name, documents::map_type& out,
                   base::error& reason)
{
    if (!configuration::is_document_name(name))
        return refuse(reason, base::error_kind::invalid_input,
                      file.string() + " has a name that no document can have; use lower-case "
                                      "letters, digits and \"-\"");
    std::ifstream stream(file, std::ios::binary);
    std::string const text{std::istreambuf_iterator<char>(stream),
                           std::istreambuf_iterator<char>()};
    if (!stream.is_open() || stream.bad())
        return refuse(reason, base::error_kind::invalid_input,
                      "can't read " + file.string() + "; check its permissions");
    auto value = configuration::parse_json(text, {}, reason);
    if (value && value->is_object())
    {
        out.emplace(name, std::move(*value));
        return true;
    }
    return refuse(reason, value ? base::error_kind::invalid_input : reason.kind,
                  name + ".json: " + (value ? "must be a JSON object" : reason.message));
}

bool read_subfolder(fs::path const& folder, documents::map_type& out, base::error& reason)
{
    auto const entries = entries_of(folder, reason);
    if (!entries)
        return false;
    for (auto const& it : *entries)
    {
        if (is_hidden(it.path()))
            continue;
        // A file that is skipped silently would be missing from what the operator publishes.
        if (!it.is_regular_file() || it.path().extension() != ".json")
            return refuse(reason, base::error_kind::invalid_input,
                          it.path().string() +
                              " is not a JSON file; rename it to end in .json or move it away");
        auto const name = folder.filename().string() + "/" + it.path().stem().string();
        if (!read_document(it.path(), name, out, reason))
            return false;
    }
    return true;
}

} // namespace

std::optional<documents> read_document_folder(fs::path const& folder, base::error& reason)
{
    auto const entries = entries_of(folder, reason);
    if (!entries)
        return std::nullopt;
    documents::map_type out;
    for (auto const& it : *entries)
    {
        auto const name = it.path().filename().string();
        bool valid = true;
        if (is_hidden(it.path()))
            continue;
        if (it.is_directory() && (name == "workspaces" || name == "routes" || name == "groups"))
            valid = read_subfolder(it.path(), out, reason);
        else if (it.is_directory())
            valid = refuse(reason, base::error_kind::invalid_input,
                           it.path().string() + " is not one of workspaces, routes and groups; "
                                                "rename it or move it away");
        else if (it.path().extension() == ".json")
            valid = read_document(it.path(), it.path().stem().string(), out, reason);
        if (!valid)
            return std::nullopt;
    }
    if (out.empty())
    {
        // Publishing an empty folder would remove every document.
        refuse(reason, base::error_kind::invalid_input,
               "the folder " + folder.string() + " holds no document; check its path");
        return std::nullopt;
    }
    return documents(std::move(out));
}

} // namespace savorymount::control
