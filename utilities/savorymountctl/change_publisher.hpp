#pragma once

#include "utilities/savorymountctl/command_context.hpp"
#include <savorymount/configuration/documents.hpp>
#include <savorymount/configuration/publication.hpp>

#include <string>

namespace savorymount::control
{

/// Publishes changes to the configuration on the platform's log and explains the outcome.
class change_publisher
{
public:
    explicit change_publisher(command_context& context) : context_(context) {}

    /// Publishes on top of the version in force; `retry` tells what to do after a lost race.
    configuration::publication publish(configuration::documents::map_type changes,
                                       std::string const& retry);

private:
    void drive(configuration::publication& publishing, base::error& reason);
    void explain(configuration::publication const& publishing, base::error const& reason,
                 std::string const& retry);

    command_context& context_;
};

} // namespace savorymount::control
