#include <savorymount/runtime/callback_guard.hpp>
#include <savorymount/runtime/log_events.hpp>

namespace savorymount::runtime
{
namespace
{

std::uint64_t failures = 0;

} // namespace

void report_callback_failure(char const* source, char const* reason)
{
    ++failures;
    log(log_events::callback_failed, {{"source", source}, {"reason", reason}});
}

std::uint64_t callback_failures()
{
    return failures;
}

} // namespace savorymount::runtime
