#pragma once

#include <savorymount/base/time.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace savorymount::limits
{

/// The limits that upstreams name in their responses: the requests a second that an upstream takes
/// from all instances together, as long as it names the limit. Upstreams are given by the names of
/// their processes, since a limit ends with the process that named it.
class upstream_limits
{
public:
    /// Records a response to a request that was sent at `sent_at`; `limit` is empty if the response
    /// names none.
    void record_response(base::time_point now, base::time_point sent_at,
                         std::string const& upstream, std::optional<double> limit);

    /// The limit in force in requests a second; empty if there is none.
    std::optional<double> limit_of(std::string const& upstream) const;

    /// Calls back when a limit begins, changes or ends; `limit` is empty if it ends.
    void on_changed(
        std::function<void(std::string const& upstream, std::optional<double> limit)> callback)
    {
        changed_ = std::move(callback);
    }

private:
    struct entry
    {
        double limit = 0;
        /// When the newest response with a limit arrived.
        base::time_point named_at{};
    };

    void notify(std::string const& upstream, std::optional<double> limit) const;

    std::map<std::string, entry> entries_;
    std::function<void(std::string const&, std::optional<double>)> changed_;
};

} // namespace savorymount::limits
