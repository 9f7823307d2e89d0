#pragma once

#include <savorymount/base/time.hpp>
#include <savorymount/deduplication/claim.hpp>

#include <cstddef>
#include <optional>
#include <vector>

namespace savorymount::deduplication
{

/// Batches claims into one append, because the log accepts only a few hundred appends per second.
class claim_batch
{
public:
    claim_batch(std::size_t max_count, base::duration max_wait)
        : max_count_(max_count), max_wait_(max_wait)
    {
    }

    void add(claim it, base::time_point now);

    /// Removes and returns the claims to append now: all of them if there are `max_count` or the
    /// first has waited for `max_wait`, otherwise none.
    std::vector<claim> take_due(base::time_point now);

    /// When `take_due` has to be called next; empty while the batch is empty.
    std::optional<base::time_point> due_at() const;

private:
    std::size_t max_count_;
    base::duration max_wait_;
    base::time_point first_added_at_;
    std::vector<claim> claims_;
};

} // namespace savorymount::deduplication
