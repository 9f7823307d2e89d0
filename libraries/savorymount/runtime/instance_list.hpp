#pragma once

#include <savorymount/base/error.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace savorymount::runtime
{

/// One line of the platform's lagging instance list.
struct instance_record
{
    std::string id;
    /// `entry` or `agent`.
    std::string role;
    /// `IP:port` of the internal port.
    std::string address;
    /// `IP:port` of the HTTP port with `/status` and `/metrics`.
    std::string status_address;
    std::string data_centre;
    /// The upstream group of an agent.
    std::string group;
    /// `live` or `leaving`.
    std::string state;

    bool operator==(instance_record const&) const = default;
};

/// The platform's list of instances. Filled in by a plug-in.
struct instance_list
{
    using read_done =
        std::function<void(std::optional<std::vector<instance_record>>, base::error const&)>;

    std::function<void(read_done done)> read;
};

} // namespace savorymount::runtime
