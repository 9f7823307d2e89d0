#pragma once

#include <savorymount/base/time.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace savorymount::queueing
{

/// Bounds on the memory of the request bodies that a process holds.
struct body_budget_limits
{
    /// All bodies together.
    std::size_t max_bytes = std::size_t{48} * 1024 * 1024;
    /// Part of `max_bytes` that only small bodies may use, so that they wait for no large one.
    std::size_t small_body_reserve = std::size_t{4} * 1024 * 1024;
    /// Bodies up to this size never wait.
    std::size_t max_small_body_bytes = std::size_t{128} * 1024;
    /// Large bodies of one workspace.
    std::size_t max_workspace_bytes = std::size_t{40} * 1024 * 1024;
    /// Bodies that may wait, since each one holds the buffers of its connection.
    std::size_t max_waiting = 64;

    std::size_t max_large_bytes() const { return max_bytes - small_body_reserve; }
    bool operator==(body_budget_limits const&) const = default;
};

/// The limits for bodies that together may use `bytes`.
body_budget_limits make_body_budget_limits(std::size_t bytes, std::size_t waiting_bytes);

/// Decides which request bodies are read into memory. A body is granted its whole size before it is
/// read, so that each granted one can be completed. The workspace that holds least is next; within
/// a workspace bodies are granted in order of arrival.
class body_budget
{
public:
    using ticket = std::uint64_t;
    static constexpr base::duration default_retry_after = std::chrono::milliseconds(300);

    enum class decision
    {
        granted,
        /// `grant_waiting` names the body once there is memory for it.
        waiting,
        rejected
    };

    struct answer
    {
        decision result = decision::rejected;
        /// Identifies a granted or waiting body until `release`.
        ticket id = 0;
        /// Time until a rejected body may find room.
        base::duration retry_after{};
    };

    explicit body_budget(body_budget_limits limits) : limits_(limits) {}

    /// Asks for `bytes`. The body is rejected if it would probably wait longer than `max_wait`.
    answer request(base::time_point now, std::string const& workspace, std::size_t bytes,
                   base::duration max_wait);
    /// Reduces a granted body to its size.
    void shrink(ticket id, std::size_t bytes);
    /// Returns the memory of a granted body, or withdraws a waiting one.
    void release(ticket id);
    /// Grants memory to waiting bodies and returns them in order.
    std::vector<ticket> grant_waiting(base::time_point now);

    body_budget_limits const& limits() const { return limits_; }
    std::size_t held_bytes() const { return large_bytes_ + small_bytes_; }
    std::size_t waiting() const { return waiting_count_; }
    std::size_t held_bytes_of(std::string const& workspace) const;

private:
    struct body
    {
        std::string workspace;
        std::size_t bytes = 0;
        bool small = false;
        bool granted = false;
    };

    struct workspace_bodies
    {
        std::size_t held_bytes = 0;
        std::size_t bodies = 0;
        std::deque<ticket> waiting;
    };

    void grant(body& it);
    /// The workspace whose body is next; null if none waits, or each would exceed its share.
    workspace_bodies* next_workspace();
    /// Time until the waiting bodies and `bytes` more have been granted, at the present rate.
    std::optional<base::duration> expected_wait(base::time_point now, std::size_t bytes) const;
    void record_granted(base::time_point now, std::size_t bytes);

    body_budget_limits limits_;
    std::size_t large_bytes_ = 0;
    std::size_t small_bytes_ = 0;
    std::size_t waiting_bytes_ = 0;
    std::size_t waiting_count_ = 0;
    ticket last_ticket_ = 0;
    std::unordered_map<ticket, body> bodies_;
    std::map<std::string, workspace_bodies> workspaces_;
    /// Start of the interval over which the rate of grants is measured; empty while none waits.
    std::optional<base::time_point> rate_since_;
    double granted_since_ = 0;
};

} // namespace savorymount::queueing
