#pragma once

#include <savorymount/base/error.hpp>

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>

namespace savorymount::orders
{

/// A slot record in the platform's log: an agent takes or releases a slot of its group.
struct slot_record
{
    enum class action_kind
    {
        take,
        release
    };

    std::string group;
    std::string agent;
    std::string incarnation;
    action_kind action = action_kind::take;

    /// The id of the agent's entry in the instance list: `agent#incarnation`.
    std::string list_entry_id() const { return agent + "#" + incarnation; }

    bool operator==(slot_record const&) const = default;
};

/// Parses the body of a log record with `"kind":"slot"`.
std::optional<slot_record> parse_slot_record(nlohmann::json const& body, base::error& reason);

nlohmann::json to_json(slot_record const& record);

} // namespace savorymount::orders
