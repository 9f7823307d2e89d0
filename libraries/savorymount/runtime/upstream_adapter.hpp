#pragma once

#include <savorymount/base/error.hpp>
#include <savorymount/runtime/http_call.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace savorymount::runtime
{

/// A model, adapter and weight version that an engine holds.
struct held_model
{
    std::string model;
    std::string adapter;
    std::string version;

    auto operator<=>(held_model const&) const = default;
};

/// An upstream's report of itself; `engine` changes with each start of its process.
struct upstream_report
{
    std::string engine;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t cached_blocks = 0;
    std::vector<held_model> models;

    bool operator==(upstream_report const&) const = default;
};

/// One cache event of an engine.
struct cache_event
{
    std::uint64_t sequence = 0;
    bool stored = false;
    std::string block;
    std::string request;
    std::uint32_t index = 0;

    bool operator==(cache_event const&) const = default;
};

/// A page of cache events; a `first` beyond the position asked for means that events were lost.
struct cache_event_page
{
    std::string engine;
    std::uint64_t first = 0;
    std::uint64_t next = 0;
    std::vector<cache_event> events;

    bool operator==(cache_event_page const&) const = default;
};

/// An order to an engine, with the log offset of its configuration as fencing token.
struct upstream_order
{
    std::string kind;
    held_model model;
    std::string role;
    std::uint64_t fence = 0;

    bool operator==(upstream_order const&) const = default;
};

/// A request as it goes to the upstream.
struct upstream_request
{
    std::string id;
    std::string method;
    std::string target;
    http_headers headers;
    std::string body;
    std::int32_t priority = 0;
    std::uint64_t resume_from = 0;
    std::string cache_salt;
    base::duration idle_timeout{};

    bool operator==(upstream_request const&) const = default;
};

/// How an agent reaches its upstream. Filled in by a plug-in.
struct upstream_adapter
{
    using report_done = std::function<void(std::optional<upstream_report>, base::error const&)>;
    using events_done = std::function<void(std::optional<cache_event_page>, base::error const&)>;
    using order_done = std::function<void(bool accepted, base::error const&)>;

    std::function<std::unique_ptr<http_call>(upstream_request const&, http_call_hooks)> run;
    std::function<void(report_done)> report;
    /// Empty for upstreams without a cache.
    std::function<void(std::uint64_t after, events_done)> cache_events;
    /// Empty for upstreams that take no orders.
    std::function<void(upstream_order const&, order_done)> order;
    /// Tells the upstream to stop working on a request; no answer is awaited.
    std::function<void(std::string const& id)> cancel;
};

} // namespace savorymount::runtime
