#pragma once

#include <savorymount/base/time.hpp>
#include <savorymount/configuration/deployment.hpp>
#include <savorymount/configuration/prefix_map.hpp>

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
///
/// It keeps what each path prefix led to, and not the configurations: these are large, and come in
/// quick succession.
class route_history
{
public:
    using index = std::shared_ptr<configuration::deployment_index const>;

    /// The configuration is in force from now on, in place of the one before. `lifetime` is the
    /// longest time after its first event in which a caller resumes a stream that began under it.
    void adopt(base::time_point now, index const& current, base::duration lifetime);

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
    /// How long streams that began under something may still run.
    struct period
    {
        bool in_force = true;
        /// Of the streams that began before it was last replaced.
        base::time_point ends_at{};

        bool is_recent(base::time_point now) const { return in_force || now <= ends_at; }
        void replace(base::time_point end);
    };

    /// The services to which a prefix led.
    struct destination
    {
        std::set<std::string> services;
        period used;
    };

    struct prefix_history
    {
        /// Whether a configuration has a route with this prefix.
        period listed;
        /// Different from each other; one of them is in force.
        std::vector<destination> destinations;
    };

    struct configuration_period
    {
        base::duration lifetime{};
        period used;
    };

    /// Ends the period of the configuration in force.
    void replace_current(base::time_point now);
    /// Adds the prefixes that no recent configuration had.
    void add_prefixes(configuration::deployment_index const& current);
    /// Notes where the configuration leads each prefix.
    void add_destinations(configuration::deployment_index const& current);
    /// Whether the prefix can have led to several services. False for most prefixes of a
    /// deployment.
    static bool may_be_shared(prefix_history const& it);
    static std::set<std::string> services_of(base::time_point now, prefix_history const& it);

    std::vector<configuration_period> configurations_;
    configuration::prefix_map<prefix_history> prefixes_;
};

} // namespace savorymount::gateway
