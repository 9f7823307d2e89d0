#include <savorymount/gateway/caller_request.hpp>

namespace savorymount::gateway
{

std::vector<std::string> shared_part_ids(caller_request const& request)
{
    std::vector<std::string> out;
    if (!request.prompt)
        return out;
    auto const& parts = request.prompt->parts;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i)
        out.push_back(parts[i].id);
    return out;
}

} // namespace savorymount::gateway
