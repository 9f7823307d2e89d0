#pragma once

#include <savorymount/base/time.hpp>

#include <nlohmann/json.hpp>

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace savorymount::stand_ins
{

/// The list of instances as it was some time ago.
class instance_list
{
public:
    /// Adds or replaces the instance of that id; its state is `live` unless given.
    void add(nlohmann::json instance, base::time_point now);

    void remove(std::string const& id, base::time_point now);
    void set_leaving(std::string const& id, base::time_point now);

    /// Later views show the list as it was `lag` before.
    void set_lag(base::duration lag) { lag_ = lag; }

    /// Later views stay as they are now, until `thaw`.
    void freeze(base::time_point now) { frozen_ = view(now); }
    void thaw() { frozen_.reset(); }

    /// `{"instances":[..]}`.
    nlohmann::json view(base::time_point now);

private:
    void record(base::time_point now);

    struct version
    {
        base::time_point time;
        nlohmann::json instances;
    };

    std::map<std::string, nlohmann::json> instances_;
    std::deque<version> versions_;
    base::duration lag_{0};
    std::optional<nlohmann::json> frozen_;
};

} // namespace savorymount::stand_ins
