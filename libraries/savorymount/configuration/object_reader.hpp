#pragma once

#include <savorymount/base/error.hpp>
#include <savorymount/configuration/schema.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace savorymount::configuration
{

/// Reads the fields of one JSON object by its schema. The first fault is kept in `reason`; after a
/// fault the readers return empty values and `ok` is false.
class object_reader
{
public:
    /// Checks that `value` is an object with all required fields and no unknown ones.
    object_reader(object_schema const& schema, nlohmann::json const& value, std::string path,
                  base::error& reason);

    bool ok() const { return ok_; }

    std::uint64_t number(std::string_view name);
    bool flag(std::string_view name);
    std::string text(std::string_view name);
    std::vector<std::string> texts(std::string_view name);

    /// The objects of a list; `path_of(name, index)` names each of them.
    std::vector<nlohmann::json> objects(std::string_view name);

    std::string path_of(std::string_view name) const;
    std::string path_of(std::string_view name, std::size_t index) const;

    /// Records that the field's value is wrong; `remedy` completes "<path> ".
    void fail(std::string_view name, std::string const& remedy);

private:
    /// The field's value or its default; null after a fault.
    nlohmann::json field(std::string_view name) const;

    object_schema const& schema_;
    nlohmann::json const& value_;
    std::string path_;
    base::error& reason_;
    bool ok_ = true;
};

/// `path` extended by a member: a document's name becomes a file name with a JSON pointer.
std::string child_path(std::string const& path, std::string_view member);

} // namespace savorymount::configuration
