#pragma once

namespace savorymount::control
{

/// Exit codes of the operators' tool, as `--help` lists them.
enum class exit_code
{
    success = 0,
    /// Refused, lost the race, or a service was unreachable.
    failure = 1,
    wrong_usage = 2,
    invalid_documents = 3
};

} // namespace savorymount::control
