#pragma once

#include <savorymount/base/time.hpp>
#include <savorymount/limits/agent_list.hpp>
#include <savorymount/orders/slot_record.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace savorymount::orders
{

/// Folds the slot records of one group: who may give orders to its engine now.
///
/// The first `limit` takers in append order that neither released nor vanished hold a slot; the
/// others wait. A holder stops its work before it appends the release, so readers that lag never
/// let more than `limit` agents believe that they hold a slot.
class model_load_slots
{
public:
    /// A taker counts as vanished once the list has lacked it for `max_list_lag`.
    explicit model_load_slots(std::string group,
                              base::duration max_list_lag = std::chrono::seconds(10));

    /// Applies the record at `offset`, in log order. Records of other groups are ignored.
    void apply(base::time_point now, std::uint64_t offset, slot_record const& record);

    void apply_agent_list(base::time_point now, limits::agent_list const& list);

    bool holds_slot(std::string const& list_id, std::size_t limit) const;

    /// True if the agent has taken and not released, whether it holds or waits.
    bool in_queue(std::string const& list_id) const;

    /// True if `list_id` holds a slot and took it before `other` did.
    bool holds_before(std::string const& list_id, std::string const& other_id,
                      std::size_t limit) const;

    /// When this reader saw the agent's newest slot record or saw it vanish.
    std::optional<base::time_point> last_changed_at(std::string const& list_id) const;

private:
    struct queue_entry
    {
        std::string list_id;
        /// The first list read that lacked the taker, without one that contained it since.
        std::optional<base::time_point> absent_since;
    };

    std::optional<std::size_t> position(std::string const& list_id) const;

    std::string group_;
    base::duration max_list_lag_;
    std::uint64_t applied_offset_ = 0;
    /// In append order.
    std::vector<queue_entry> queue_;
    std::unordered_map<std::string, base::time_point> last_changed_at_;
};

} // namespace savorymount::orders
