#pragma once

#include "utilities/savorymountctl/command_context.hpp"

#include <string>

namespace savorymount::control
{

/// The commands on callers' keys: grant and withdraw.
class key_commands
{
public:
    explicit key_commands(command_context& context) : context_(context) {}

    exit_code grant(std::string const& workspace);
    exit_code withdraw(std::string const& key_id);

private:
    command_context& context_;
};

} // namespace savorymount::control
