#pragma once

#include <savorymount/entry/entry_settings.hpp>
#include <savorymount/entry/upstream_selector.hpp>
#include <savorymount/limits/refusal_cache.hpp>
#include <savorymount/retries/crash_quarantine.hpp>
#include <savorymount/runtime/kernel.hpp>

#include <functional>
#include <string>

namespace savorymount::entry
{

/// What all requests of an entry share.
struct entry_context
{
    runtime::kernel& kernel;
    entry_settings const& settings;
    upstream_selector& selector;
    limits::refusal_cache& gate;
    retries::crash_quarantine& quarantine;
    /// Told about the end of each request: workspace, `completed` or an error kind, and the time
    /// to the first token, if there was one.
    std::function<void(std::string const& workspace, std::string const& end,
                       std::optional<base::duration> first_token)>
        record;
};

} // namespace savorymount::entry
