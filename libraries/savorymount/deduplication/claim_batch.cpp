#include <savorymount/deduplication/claim_batch.hpp>

#include <utility>

namespace savorymount::deduplication
{

void claim_batch::add(claim it, base::time_point now)
{
    if (claims_.empty())
        first_added_at_ = now;
    claims_.push_back(std::move(it));
}

std::vector<claim> claim_batch::take_due(base::time_point now)
{
    auto const due = due_at();
    if (!due || (claims_.size() < max_count_ && now < *due))
        return {};
    return std::exchange(claims_, {});
}

std::optional<base::time_point> claim_batch::due_at() const
{
    if (claims_.empty())
        return std::nullopt;
    return claims_.size() >= max_count_ ? first_added_at_ : first_added_at_ + max_wait_;
}

} // namespace savorymount::deduplication
