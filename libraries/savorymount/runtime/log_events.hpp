#pragma once

#include <savorymount/runtime/log_event.hpp>

#include <array>

namespace savorymount::runtime::log_events
{

inline constexpr log_event started{100, log_level::info, "started",
                                   "The process serves; shows its addresses."};
inline constexpr log_event stopping{101, log_level::info, "stopping",
                                    "SIGTERM arrived; running requests are finished first."};
inline constexpr log_event stopped{102, log_level::info, "stopped", "The process ends."};
inline constexpr log_event settings_rejected{103, log_level::error, "settings_rejected",
                                             "A setting is wrong; the process does not start."};
inline constexpr log_event log_lines_dropped{
    104, log_level::warning, "log_lines_dropped",
    "Lines were dropped since the last one of these: above the budget, or not read."};
inline constexpr log_event setting_changed{
    105, log_level::info, "setting_changed",
    "A setting differs from the one in force; shows whether it takes effect now."};
inline constexpr log_event settings_unreadable{
    106, log_level::warning, "settings_unreadable",
    "The changed settings can't be read; those in force are kept."};
inline constexpr log_event callback_failed{
    107, log_level::error, "callback_failed",
    "An unexpected error ended one callback; what it worked on was dropped."};
inline constexpr log_event process_resumed{108, log_level::warning, "process_resumed",
                                           "The process did not run for a while; shows how long."};
inline constexpr log_event event_loop_late{
    109, log_level::warning, "event_loop_late",
    "The process handled a timer late; what arrived meanwhile waited as long."};
inline constexpr log_event client_stalled{
    110, log_level::warning, "client_stalled",
    "A client accepted no byte of a complete answer for too long and was cut."};
inline constexpr log_event answers_cut{
    111, log_level::warning, "answers_cut",
    "The process ended while clients were still receiving complete answers."};
inline constexpr log_event accepting_paused{
    112, log_level::warning, "accepting_paused",
    "New connections wait: all places are taken by requests that run or answers that are sent."};
inline constexpr log_event configuration_adopted{200, log_level::info, "configuration_adopted",
                                                 "A newer configuration version is in force here."};
inline constexpr log_event configuration_rejected{
    201, log_level::warning, "configuration_rejected",
    "A change in the log was not accepted; shows why."};
inline constexpr log_event snapshot_appended{202, log_level::info, "snapshot_appended",
                                             "This instance appended a configuration snapshot."};
inline constexpr log_event log_record_ignored{
    203, log_level::warning, "log_record_ignored",
    "A record in the log is corrupt or of an unknown kind."};
inline constexpr log_event log_unavailable{300, log_level::warning, "log_unavailable",
                                           "The platform's log does not answer; traffic goes on."};
inline constexpr log_event log_available{301, log_level::info, "log_available",
                                         "The platform's log answers again."};
inline constexpr log_event list_unavailable{
    302, log_level::warning, "list_unavailable",
    "The platform's instance list does not answer; the last list is kept."};
inline constexpr log_event list_available{303, log_level::info, "list_available",
                                          "The platform's instance list answers again."};
inline constexpr log_event cache_store_unavailable{
    304, log_level::warning, "cache_store_unavailable",
    "The store of KV cache does not answer; engines read missing parts themselves."};
inline constexpr log_event cache_store_available{
    305, log_level::info, "cache_store_available",
    "The store of KV cache answers; engines fetch missing parts from it."};
inline constexpr log_event store_restored{
    306, log_level::warning, "store_restored",
    "The platform's store came back from an older copy; what was written since is gone."};
inline constexpr log_event store_read_failed{
    307, log_level::info, "store_read_failed",
    "A read of the platform's store brought no records; shows how long it waited."};
inline constexpr log_event peer_connected{
    400, log_level::info, "peer_connected",
    "A connection to another instance is open and authenticated."};
inline constexpr log_event peer_lost{401, log_level::warning, "peer_lost",
                                     "A connection to another instance ended or went silent."};
inline constexpr log_event peer_rejected{
    402, log_level::warning, "peer_rejected",
    "A peer did not prove the shared secret or sent malformed data."};
inline constexpr log_event relay_started{
    403, log_level::info, "relay_started",
    "This instance exchanges reports with other data centres and reads the store for its own."};
inline constexpr log_event relay_ended{404, log_level::info, "relay_ended",
                                       "Another instance is the relay of this data centre."};
inline constexpr log_event upstream_unhealthy{500, log_level::warning, "upstream_unhealthy",
                                              "The upstream does not answer its load report."};
inline constexpr log_event upstream_healthy{501, log_level::info, "upstream_healthy",
                                            "The upstream answers; shows its process id string."};
inline constexpr log_event upstream_crashed{502, log_level::error, "upstream_crashed",
                                            "The upstream's process ended while it ran requests."};
inline constexpr log_event cache_index_discarded{
    503, log_level::info, "cache_index_discarded",
    "The cache index was dropped after an engine start or a gap in the events."};
inline constexpr log_event order_sent{504, log_level::info, "order_sent",
                                      "An order went to the upstream."};
inline constexpr log_event order_refused{505, log_level::warning, "order_refused",
                                         "The upstream refused an order."};
inline constexpr log_event request_quarantined{
    506, log_level::warning, "request_quarantined",
    "A request that crashed upstreams twice is refused from now on."};
inline constexpr log_event weights_wanted{507, log_level::info, "weights_wanted",
                                          "Operators named a weight version of a model."};
inline constexpr log_event upstream_unlisted{508, log_level::info, "upstream_unlisted",
                                             "The list no longer names an upstream."};
inline constexpr log_event upstream_lost{
    509, log_level::warning, "upstream_lost",
    "The connection to an upstream ended while it ran a request; shows the shared prompt parts."};
inline constexpr log_event prompt_parts_refused{
    510, log_level::error, "prompt_parts_refused",
    "Upstreams crashed on each prompt with these parts; such prompts are refused from now on."};
inline constexpr log_event prompt_parts_accepted{
    511, log_level::info, "prompt_parts_accepted",
    "Prompts with these parts are accepted again: a response was completed or the time is over."};
inline constexpr log_event upstream_limit_named{
    512, log_level::warning, "upstream_limit_named",
    "An upstream names how many requests a second it takes from all instances."};
inline constexpr log_event upstream_limit_ended{513, log_level::info, "upstream_limit_ended",
                                                "The upstream names no limit any more."};
inline constexpr log_event older_weights_named{
    514, log_level::warning, "older_weights_named",
    "The store names an older weight version than was published before; it is ignored."};
inline constexpr log_event weights_found{
    515, log_level::info, "weights_found",
    "An engine or the system's own records show a newer weight version than the store names."};
inline constexpr log_event engine_answer_invalid{
    516, log_level::warning, "engine_answer_invalid",
    "An engine sent no answer to a report request or an order, or a longer one than any."};
inline constexpr log_event lease_acquired{600, log_level::info, "lease_acquired",
                                          "This agent owns a workspace's token bucket."};
inline constexpr log_event lease_lost{601, log_level::warning, "lease_lost",
                                      "This agent no longer owns a workspace's token bucket."};
inline constexpr log_event duty_acquired{
    602, log_level::info, "duty_acquired",
    "This instance orders weight versions from now on; shows its fencing token."};
inline constexpr log_event duty_lost{603, log_level::warning, "duty_lost",
                                     "This instance no longer orders weight versions."};
inline constexpr log_event stream_resumed{700, log_level::info, "stream_resumed",
                                          "A stream goes on over another connection or upstream."};
inline constexpr log_event stream_broken{701, log_level::warning, "stream_broken",
                                         "A stream ended early and its caller was told."};

inline constexpr log_event request_answered{
    710, log_level::info, "request_answered",
    "A request was answered by an upstream; shows what decided its way."};
inline constexpr log_event request_refused{711, log_level::warning, "request_refused",
                                           "A request was refused and did not run; shows why."};
inline constexpr log_event request_failed{
    712, log_level::warning, "request_failed",
    "A request ended without a whole answer and may have run; shows why."};
inline constexpr log_event request_abandoned{
    713, log_level::info, "request_abandoned",
    "The caller left before the answer; the upstream was told to stop."};
inline constexpr log_event request_repeated{
    714, log_level::info, "request_repeated",
    "A request goes to another upstream; shows what went wrong at the first."};
inline constexpr log_event requests_wait{
    720, log_level::warning, "requests_wait",
    "Requests of a service begin to wait at this instance, since no engine can begin them."};
inline constexpr log_event requests_waited{
    721, log_level::info, "requests_waited",
    "No request of a service waits any more; shows how many waited or were refused, and how long."};

/// Every event above, in the order of their numbers.
inline constexpr std::array all{started,
                                stopping,
                                stopped,
                                settings_rejected,
                                log_lines_dropped,
                                setting_changed,
                                settings_unreadable,
                                callback_failed,
                                process_resumed,
                                event_loop_late,
                                client_stalled,
                                answers_cut,
                                accepting_paused,
                                configuration_adopted,
                                configuration_rejected,
                                snapshot_appended,
                                log_record_ignored,
                                log_unavailable,
                                log_available,
                                list_unavailable,
                                list_available,
                                cache_store_unavailable,
                                cache_store_available,
                                store_restored,
                                store_read_failed,
                                peer_connected,
                                peer_lost,
                                peer_rejected,
                                relay_started,
                                relay_ended,
                                upstream_unhealthy,
                                upstream_healthy,
                                upstream_crashed,
                                cache_index_discarded,
                                order_sent,
                                order_refused,
                                request_quarantined,
                                weights_wanted,
                                upstream_unlisted,
                                upstream_lost,
                                prompt_parts_refused,
                                prompt_parts_accepted,
                                upstream_limit_named,
                                upstream_limit_ended,
                                older_weights_named,
                                weights_found,
                                engine_answer_invalid,
                                lease_acquired,
                                lease_lost,
                                duty_acquired,
                                duty_lost,
                                stream_resumed,
                                stream_broken,
                                request_answered,
                                request_refused,
                                request_failed,
                                request_abandoned,
                                request_repeated,
                                requests_wait,
                                requests_waited};

} // namespace savorymount::runtime::log_events
