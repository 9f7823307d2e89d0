#pragma once

#include "utilities/savorymountctl/command_context.hpp"

namespace savorymount::control
{

/// The commands that only read: status, audit and explain.
class status_commands
{
public:
    explicit status_commands(command_context& context) : context_(context) {}

    /// Of the instances on the list, or of the users' platform if a store is named.
    exit_code status();
    exit_code audit();
    exit_code explain_request();

private:
    exit_code instances_status();
    exit_code users_platform_status();

    command_context& context_;
};

} // namespace savorymount::control
