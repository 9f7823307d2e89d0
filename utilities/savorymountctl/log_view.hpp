#pragma once

#include "utilities/savorymountctl/platform_client.hpp"
#include <savorymount/configuration/configuration_log.hpp>

#include <functional>
#include <vector>

namespace savorymount::control
{

/// The configuration and the audit trail as the platform's log holds them now.
class log_view
{
public:
    explicit log_view(platform_client& client);

    /// Called with each audit entry that `catch_up` reads, after it was added to `audit`.
    std::function<void(configuration::audit_entry const&)> on_audit;

    /// Reads to the end of the log; tries a few times. Fails with `unavailable`.
    bool catch_up(base::error& reason);

    /// Fails with `unavailable` if the records kept don't tell which version is in force.
    bool check_synchronized(base::error& reason) const;

    configuration::configuration_log const& fold() const { return fold_; }
    std::vector<configuration::audit_entry> const& audit() const { return audit_; }

private:
    platform_client& client_;
    configuration::configuration_log fold_;
    std::vector<configuration::audit_entry> audit_;
};

} // namespace savorymount::control
