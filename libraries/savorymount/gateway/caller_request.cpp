#include <savorymount/gateway/caller_request.hpp>

namespace savorymount::gateway
{
namespace
{

// Of the digests by which the parts are looked for and, after a crash, recognised.
constexpr std::size_t digest_bytes_per_part = 2 * sizeof(std::uint64_t);

} // namespace

std::size_t memory_of(caller_request const& request)
{
    std::size_t out = request.target.capacity() + request.forwarded_fields.capacity();
    if (!request.prompt)
        return out;
    out +=
        request.prompt->parts.capacity() * (sizeof(routing::prompt_part) + digest_bytes_per_part);
    for (auto const& it : request.prompt->parts)
        out += it.id.capacity();
    return out;
}

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
