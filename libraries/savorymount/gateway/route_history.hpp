#pragma once

#include <savorymount/base/time.hpp>
#include <savorymount/configuration/deployment.hpp>

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace savorymount::gateway
{

/// Knows at which services a stream that may still run can have begun: those to which the
/// configuration leads its path, or has led it lately.
class route_history
{
public:
    using index = std::shared_ptr<configuration::deployment_index const>;

    /// The configuration is in force from now on, in place of the one before. `lifetime` is the
    /// longest time after its first event in which a caller resumes a stream that began under it.
    void adopt(base::time_point now, index current, base::duration lifetime);

    /// The longest time after its first event in which a caller resumes any stream.
    base::duration lifetime(base::time_point now) const;

    /// The services at which a stream of the path can have begun.
    std::set<std::string> services(base::time_point now, std::string_view host,
                                   std::string_view path) const;

    /// The services whose streams a caller may resume where a stream can have begun at another
    /// service too.
    std::set<std::string> shared_services(base::time_point now) const;

    /// Forgets the configurations whose streams have ended.
    void expire(base::time_point now);

private:
    struct entry
    {
        index configuration;
        base::duration lifetime{};
        /// Empty while the configuration is in force.
        std::optional<base::time_point> replaced_at;
    };

    /// Whether a stream that began under the configuration may still run.
    static bool is_recent(base::time_point now, entry const& it);

    std::vector<entry> entries_;
};

} // namespace savorymount::gateway
