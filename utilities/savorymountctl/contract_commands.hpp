#pragma once

#include "utilities/savorymountctl/command_context.hpp"
#include <savorymount/configuration/documents.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace savorymount::control
{

/// The commands on a folder of documents: validate, diff and apply.
class contract_commands
{
public:
    explicit contract_commands(command_context& context) : context_(context) {}

    exit_code validate(std::string const& folder);
    exit_code diff(std::string const& folder);
    exit_code apply(std::string const& folder);

private:
    std::optional<configuration::documents> read_valid(std::string const& folder, exit_code& code);
    std::optional<std::uint64_t> wanted_base();

    command_context& context_;
};

} // namespace savorymount::control
