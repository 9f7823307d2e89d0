#include <savorymount/configuration/object_reader.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace savorymount::configuration
{
namespace
{

constexpr std::size_t max_shown_name = 64;

/// Unknown names come from outside: they are cut and freed of control characters for messages.
std::string shown(std::string_view name)
{
    std::string out(name.substr(0, max_shown_name));
    std::replace_if(
        out.begin(), out.end(), [](char it) { return it < ' ' || it > '~'; }, '?');
    return out;
}

bool is_method(std::string_view text)
{
    constexpr std::size_t max_method_length = 16;
    return !text.empty() && text.size() <= max_method_length &&
           std::all_of(text.begin(), text.end(), [](char it) { return it >= 'A' && it <= 'Z'; });
}

} // namespace

object_reader::object_reader(object_schema const& schema, nlohmann::json const& value,
                             std::string path, base::error& reason)
    : schema_(schema), value_(value), path_(std::move(path)), reason_(reason)
{
    if (!value_.is_object())
    {
        ok_ = false;
        reason_ = {base::error_kind::invalid_input, path_ + " must be a JSON object"};
        return;
    }
    for (auto const& [name, unused] : value_.items())
        if (schema_.find(name) == nullptr)
            fail(shown(name), "is not a known field; remove it or correct its spelling");
    for (auto const& rule : schema_.fields)
        if (rule.fallback.empty() && !value_.contains(std::string(rule.name)))
            fail(rule.name, "is missing; give " + describe(rule));
}

std::uint64_t object_reader::number(std::string_view name)
{
    auto const& rule = *schema_.find(name);
    auto const value = field(name);
    // The library holds a number that code put in as signed, and one parsed from text as unsigned.
    if (value.is_number_unsigned() || (value.is_number_integer() && value.get<std::int64_t>() >= 0))
    {
        auto const out = value.get<std::uint64_t>();
        if (out >= rule.minimum && out <= rule.maximum)
            return out;
    }
    fail(name, "must be " + describe(rule));
    return 0;
}

bool object_reader::flag(std::string_view name)
{
    auto const value = field(name);
    if (value.is_boolean())
        return value.get<bool>();
    fail(name, "must be true or false");
    return false;
}

std::string object_reader::text(std::string_view name)
{
    auto const& rule = *schema_.find(name);
    auto const value = field(name);
    if (value.is_string() && is_valid_text(rule, value.get_ref<std::string const&>()))
        return value.get<std::string>();
    // The value is not shown: it may be a key that was put into the wrong field.
    fail(name, "must be " + describe(rule));
    return {};
}

std::vector<std::string> object_reader::texts(std::string_view name)
{
    auto const& rule = *schema_.find(name);
    auto const value = field(name);
    bool valid = value.is_array() && value.size() >= rule.minimum && value.size() <= rule.maximum;
    std::vector<std::string> out;
    std::set<std::string> seen;
    constexpr field_rule name_rule{"", field_type::name, "", "", 1, 64};
    for (std::size_t i = 0; valid && i < value.size(); ++i)
    {
        valid = value[i].is_string();
        if (!valid)
            break;
        out.push_back(value[i].get<std::string>());
        valid = seen.insert(out.back()).second &&
                (rule.type == field_type::method_list ? is_method(out.back())
                                                      : is_valid_text(name_rule, out.back()));
    }
    if (valid)
        return out;
    fail(name, "must be " + describe(rule));
    return {};
}

std::vector<nlohmann::json> object_reader::objects(std::string_view name)
{
    auto const& rule = *schema_.find(name);
    auto const value = field(name);
    if (value.is_array() && value.size() >= rule.minimum && value.size() <= rule.maximum)
        return value.get<std::vector<nlohmann::json>>();
    fail(name, "must be a list of " + describe(rule));
    return {};
}

std::string object_reader::path_of(std::string_view name) const
{
    return child_path(path_, name);
}

std::string object_reader::path_of(std::string_view name, std::size_t index) const
{
    return path_of(name) + "/" + std::to_string(index);
}

void object_reader::fail(std::string_view name, std::string const& remedy)
{
    if (!std::exchange(ok_, false))
        return;
    reason_ = {base::error_kind::invalid_input, path_of(name) + " " + remedy};
}

nlohmann::json object_reader::field(std::string_view name) const
{
    if (!ok_)
        return nullptr;
    auto const it = value_.find(std::string(name));
    if (it != value_.end())
        return *it;
    return nlohmann::json::parse(schema_.find(name)->fallback);
}

std::string child_path(std::string const& path, std::string_view member)
{
    if (path.find('#') != std::string::npos)
        return path + "/" + std::string(member);
    return path + ".json#/" + std::string(member);
}

} // namespace savorymount::configuration
