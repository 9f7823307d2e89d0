#pragma once

#include "utilities/savorymountctl/command_context.hpp"

#include <ostream>

namespace savorymount::control
{

/// The tool's commands. Results go to `out`, errors and hints to `err`.
class operator_commands
{
public:
    operator_commands(command_line const& line, std::ostream& out, std::ostream& err)
        : context_(line, out, err)
    {
    }

    /// Runs the command that the operands name.
    exit_code run();

private:
    command_context context_;
};

} // namespace savorymount::control
