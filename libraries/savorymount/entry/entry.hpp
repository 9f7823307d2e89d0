#pragma once

#include <savorymount/entry/entry_context.hpp>
#include <savorymount/entry/entry_settings.hpp>
#include <savorymount/runtime/http_server.hpp>

#include <memory>
#include <string>

namespace savorymount::entry
{

/// An entry assembled from its parts.
class entry
{
public:
    /// Null, with a reason, when a plug-in is unknown.
    static std::unique_ptr<entry> make(entry_settings settings, base::error& reason);

    entry(entry_settings settings, std::unique_ptr<runtime::kernel> owner);

    /// Opens the ports; false with a reason if one can't be opened.
    bool start(base::error& reason);

    /// Runs until the entry has drained after SIGTERM.
    void run() { kernel_->run(); }

private:
    void handle(std::shared_ptr<runtime::http_exchange> const& exchange);
    std::string make_request_id();
    void record(std::string const& workspace, std::string const& end,
                std::optional<base::duration> first_token);

    entry_settings settings_;
    std::unique_ptr<runtime::kernel> kernel_;
    upstream_selector selector_;
    limits::refusal_cache gate_;
    retries::crash_quarantine quarantine_;
    entry_context context_;
    runtime::http_server server_;
    std::uint64_t next_request_ = 1;
};

} // namespace savorymount::entry
