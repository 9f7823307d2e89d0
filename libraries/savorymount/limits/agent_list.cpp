#include <savorymount/base/digest.hpp>
#include <savorymount/limits/agent_list.hpp>

namespace savorymount::limits
{

agent_list::agent_list(std::vector<entry> entries) : entries_(std::move(entries))
{
    for (auto const& it : entries_)
        by_id_.emplace(it.id, it.leaving);
}

std::string agent_list::preferred_owner(std::string_view workspace, std::string_view excluded) const
{
    auto const seed = base::chain_digest(0, workspace);
    entry const* preferred = nullptr;
    std::uint64_t preferred_digest = 0;
    for (auto const& it : entries_)
    {
        if (it.leaving || it.id == excluded)
            continue;
        auto const digest = base::chain_digest(seed, it.id);
        if (preferred != nullptr && digest < preferred_digest)
            continue;
        preferred = &it;
        preferred_digest = digest;
    }
    return preferred == nullptr ? std::string() : preferred->id;
}

} // namespace savorymount::limits
