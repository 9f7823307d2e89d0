#pragma once

#include <savorymount/base/time.hpp>

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace savorymount::soak
{

/// What the soak does to a deployment.
enum class fault_kind
{
    /// SIGKILL, then a new process.
    kill_gateway,
    /// SIGSTOP, then SIGCONT.
    pause_gateway,
    /// SIGTERM, then a new process.
    stop_gateway,
    /// SIGHUP.
    hang_up_gateway,
    kill_upstream,
    pause_upstream,
    /// Announces the shutdown, ends the process and starts another.
    drain_upstream,
    /// Each piece of bytes between gateways and an upstream comes late.
    delay_upstream_link,
    /// Connections to an upstream are reset and new ones refused.
    reset_upstream_link,
    /// Connections to an upstream stay open and carry nothing.
    silence_upstream_link,
    /// An upstream gets requests, its answers are lost.
    mute_upstream_link,
    /// One gateway does not reach the platform's store.
    cut_store_link,
    silence_store_link,
    delay_store_link,
    /// The platform's store refuses every call.
    refuse_store,
    /// The store carries appends out without an answer.
    lose_appends,
    /// The store drops its history.
    compact_store,
    new_configuration,
    withdraw_key,
    name_weights,
    /// Answers of an upstream end with their connection. Nothing is lost by it.
    end_answers_with_connection,
    /// Some streams of an engine are closed in order inside an event.
    close_inside_event,
    /// A prompt part crashes every engine that begins to answer it.
    crash_on_part,
    /// The platform's store is away and comes back from an older copy; operators and upstreams
    /// write again what they had written.
    restore_store,
    /// An upstream names how many requests a second it takes.
    name_limit,
    /// An upstream says in its answers that it leaves, before the list says so.
    say_leaving,
    /// An upstream rejects requests and tells when to send the next one.
    reject_for_now,
    /// An engine is replaced by one of the next software version.
    new_software,
    /// SIGKILL to all gateways at once, then new processes.
    kill_all_gateways,
    /// A gateway is suspended while an engine of the next software version joins; another gateway
    /// is killed before the first one runs again.
    upgrade_during_pause
};

/// Kinds that the first generator of a plan draws from. Kinds that came later have generators of
/// their own, so that the seeds of earlier failures still play the steps that failed.
inline constexpr std::size_t first_fault_kinds =
    static_cast<std::size_t>(fault_kind::name_weights) + 1;
inline constexpr std::size_t second_fault_kinds =
    static_cast<std::size_t>(fault_kind::crash_on_part) + 1;
inline constexpr std::size_t third_fault_kinds =
    static_cast<std::size_t>(fault_kind::name_limit) + 1;
inline constexpr std::size_t fourth_fault_kinds =
    static_cast<std::size_t>(fault_kind::kill_all_gateways) + 1;
inline constexpr std::size_t fault_kinds =
    static_cast<std::size_t>(fault_kind::upgrade_during_pause) + 1;

std::string_view to_string(fault_kind kind);

/// Whether operators do it on purpose, so that no request may be lost by it.
bool is_planned_work(fault_kind kind);

/// One step of a plan.
struct planned_fault
{
    /// From the start of the run.
    base::duration at{};
    fault_kind kind = fault_kind::kill_gateway;
    /// Index of the gateway or the upstream, by the kind.
    std::size_t target = 0;
    base::duration length{};

    auto operator<=>(planned_fault const&) const = default;
};

/// How many processes of each role a deployment has.
struct deployment_size
{
    std::size_t gateways = 3;
    std::size_t engines = 4;
    std::size_t desks = 2;

    std::size_t upstreams() const { return engines + desks; }

    bool operator==(deployment_size const&) const = default;
};

/// The steps of a run in the order of their times. Steps come in series and overlap.
std::vector<planned_fault> make_plan(std::uint64_t seed, base::duration length,
                                     deployment_size const& size);

} // namespace savorymount::soak
