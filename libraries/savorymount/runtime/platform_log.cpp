#include <savorymount/runtime/platform_log.hpp>

namespace savorymount::runtime
{

bool has_kind(log_record const& record, std::string_view kind)
{
    if (!record.body.is_object())
        return false;
    auto const it = record.body.find("kind");
    return it != record.body.end() && it->is_string() && it->get<std::string>() == kind;
}

} // namespace savorymount::runtime
