#pragma once

#include "utilities/savorymountctl/command_line.hpp"
#include "utilities/savorymountctl/exit_code.hpp"
#include "utilities/savorymountctl/log_view.hpp"
#include "utilities/savorymountctl/platform_client.hpp"

#include <ostream>
#include <string>

namespace savorymount::control
{

/// What all commands share: the call, the two outputs, and the platform as the tool sees it.
class command_context
{
public:
    command_context(command_line const& line, std::ostream& out, std::ostream& err)
        : line_(line), out_(out), err_(err), view_(client_)
    {
    }

    command_line const& line() const { return line_; }
    /// For results.
    std::ostream& out() { return out_; }
    /// For errors and hints.
    std::ostream& err() { return err_; }
    platform_client& client() { return client_; }
    log_view& view() { return view_; }

    std::string const& setting(std::string const& name) const;

    /// Writes the message to `err` and returns `code`.
    exit_code fail(exit_code code, std::string const& message);

    /// Connects to the log, reads it and checks that the version in force is known.
    bool open_log(exit_code& code);

    /// Checks the operator's name, which only the commands that publish need.
    bool check_operator(exit_code& code);

private:
    command_line const& line_;
    std::ostream& out_;
    std::ostream& err_;
    platform_client client_;
    log_view view_;
};

} // namespace savorymount::control
