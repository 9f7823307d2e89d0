#pragma once

#include <savorymount/base/time.hpp>

#include <optional>
#include <string>

namespace savorymount::orders
{

/// The instance that orders the engines to load weights, as far as its reports tell.
class leader_watch
{
public:
    /// The instance leads now.
    void leads(base::time_point now, std::string const& instance);
    /// The instance does not lead. Ignored for another one than the known leader.
    void leads_no_more(std::string const& instance);
    /// Reports may have been missed.
    void forget() { leader_.reset(); }

    /// The leader if it has led for so long that the orders of the one before it show in the list
    /// of upstreams; empty if there is none.
    std::optional<std::string> settled_leader(base::time_point now) const;

private:
    struct term
    {
        std::string instance;
        base::time_point since{};
    };

    std::optional<term> leader_;
};

} // namespace savorymount::orders
