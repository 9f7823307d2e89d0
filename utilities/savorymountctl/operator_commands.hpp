#pragma once

#include "utilities/savorymountctl/command_line.hpp"
#include "utilities/savorymountctl/exit_code.hpp"
#include "utilities/savorymountctl/log_view.hpp"
#include "utilities/savorymountctl/platform_client.hpp"
#include <savorymount/configuration/change_record.hpp>
#include <savorymount/configuration/publication.hpp>

#include <ostream>
#include <string>

namespace savorymount::control
{

/// The tool's commands. Results go to `out`, errors and hints to `err`.
class operator_commands
{
public:
    operator_commands(command_line const& line, std::ostream& out, std::ostream& err);

    /// Runs the command that the operands name.
    exit_code run();

private:
    exit_code validate(std::string const& folder);
    exit_code diff(std::string const& folder);
    exit_code apply(std::string const& folder);
    exit_code grant(std::string const& workspace);
    exit_code withdraw(std::string const& key_id);
    exit_code status();
    exit_code users_platform_status();
    exit_code explain_request();
    exit_code audit();

    std::optional<configuration::documents> read_valid(std::string const& folder, exit_code& code);
    /// Connects to the log, reads it and checks that the version in force is known.
    bool open_log(exit_code& code);
    /// Checks the operator's name, which only the commands that publish need.
    bool check_operator(exit_code& code);
    std::optional<std::uint64_t> wanted_base();
    /// Publishes and explains the outcome; `retry` tells what to do after a lost race.
    configuration::publication publish(configuration::documents::map_type changes,
                                       std::string const& retry);
    void drive(configuration::publication& publishing, base::error& reason);
    void explain(configuration::publication const& publishing, base::error const& reason,
                 std::string const& retry);
    exit_code fail(exit_code code, std::string const& message);
    std::string const& setting(std::string const& name) const;

    command_line const& line_;
    std::ostream& out_;
    std::ostream& err_;
    platform_client client_;
    log_view view_;
};

} // namespace savorymount::control
