#include <savorymount/base/digest.hpp>
#include <savorymount/limits/agent_list.hpp>

namespace savorymount::limits
{

agent_list::agent_list(std::vector<entry> entries) : entries_(std::move(entries))
{
    for (auto const& it : entries_)
        by_id_.emplace(it.id, it.leaving);
}

std::string agent_list::candidate(std::string_view workspace, std::string_view skipped) const
{
    auto const seed = base::chain_digest(0, workspace);
    entry const* best = nullptr;
    std::uint64_t best_digest = 0;
    for (auto const& it : entries_)
    {
        if (it.leaving || it.id == skipped)
            continue;
        auto const digest = base::chain_digest(seed, it.id);
        if (best != nullptr && digest < best_digest)
            continue;
        best = &it;
        best_digest = digest;
    }
    return best == nullptr ? std::string() : best->id;
}

} // namespace savorymount::limits
