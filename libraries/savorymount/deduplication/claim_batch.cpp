#include <savorymount/deduplication/claim_batch.hpp>

#include <utility>

namespace savorymount::deduplication
{

void claim_batch::add(claim it, base::time_point now)
{
    if (claims_.empty())
        first_at_ = now;
    claims_.push_back(std::move(it));
}

std::vector<claim> claim_batch::take(base::time_point now)
{
    auto const at = due();
    if (!at || (claims_.size() < count_ && now < *at))
        return {};
    return std::exchange(claims_, {});
}

std::optional<base::time_point> claim_batch::due() const
{
    if (claims_.empty())
        return std::nullopt;
    return claims_.size() >= count_ ? first_at_ : first_at_ + wait_;
}

} // namespace savorymount::deduplication
