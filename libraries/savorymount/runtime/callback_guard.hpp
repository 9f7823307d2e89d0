#pragma once

#include <savorymount/runtime/task_timer.hpp>

#include <cstdint>
#include <exception>
#include <utility>

namespace savorymount::runtime
{

/// Counts and logs an exception that ended a callback. `source` names the kind of callback.
void report_callback_failure(char const* source, char const* reason);

/// Exceptions that ended a callback since the process started.
std::uint64_t callback_failures();

/// Runs a callback of the event loop. An exception must not pass through libevent, which would end
/// the process and all its requests: it is reported, and the caller drops what the callback worked
/// on. The callback is measured as a task. Returns whether the callback ended normally.
template <typename Callback>
bool run_guarded(char const* source, Callback&& callback)
{
    task_timer const timer(source);
    try
    {
        std::forward<Callback>(callback)();
        return true;
    }
    catch (std::exception const& ec)
    {
        report_callback_failure(source, ec.what());
    }
    catch (...)
    {
        report_callback_failure(source, "an exception of an unknown type");
    }
    return false;
}

} // namespace savorymount::runtime
