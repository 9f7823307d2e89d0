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

/// Limits how many agents of a group change the models of their engines at once: a semaphore whose
/// state follows from the slot records in the log.
/// The first `limit` agents in append order that have taken a slot, have not released it and are
/// still listed hold a slot; the others wait. A holder stops its work before it appends the
/// release, so even with readers that lag no more than `limit` agents consider themselves holders.
class model_load_slots
{
public:
    /// An agent loses its place in the queue when it was missing from the list for `max_list_lag`.
    explicit model_load_slots(std::string group,
                              base::duration max_list_lag = std::chrono::seconds(10));

    /// Applies the record at `offset`. Must be called in log order; records of other groups are
    /// ignored.
    void apply(base::time_point now, std::uint64_t offset, slot_record const& record);

    void apply_agent_list(base::time_point now, limits::agent_list const& list);

    bool holds_slot(std::string const& list_entry_id, std::size_t limit) const;

    /// True if the agent holds a slot or waits for one.
    bool in_queue(std::string const& list_entry_id) const;

    /// True if `list_entry_id` holds a slot and took it before `other_id` took one.
    bool holds_earlier_slot(std::string const& list_entry_id, std::string const& other_id,
                            std::size_t limit) const;

    /// When this reader applied the agent's newest slot record.
    std::optional<base::time_point> last_changed_at(std::string const& list_entry_id) const;

private:
    struct queue_entry
    {
        std::string list_entry_id;
        /// When the agent was first missing from the list, without having been listed again since.
        std::optional<base::time_point> absent_since;
    };

    std::optional<std::size_t> position(std::string const& list_entry_id) const;

    std::string group_;
    base::duration max_list_lag_;
    std::uint64_t applied_offset_ = 0;
    /// In append order.
    std::vector<queue_entry> queue_;
    std::unordered_map<std::string, base::time_point> last_changed_at_;
};

} // namespace savorymount::orders
