#include <savorymount/membership/instance.hpp>

namespace savorymount::membership
{

instance_name parse_instance_name(std::string_view text)
{
    auto const separator = text.find('#');
    if (separator == std::string_view::npos)
        return {std::string(text), {}};
    return {std::string(text.substr(0, separator)), std::string(text.substr(separator + 1))};
}

std::string to_string(instance_name const& name)
{
    return name.incarnation.empty() ? name.id : name.id + '#' + name.incarnation;
}

} // namespace savorymount::membership
