#pragma once

#include <savorymount/entry/answer_relay.hpp>
#include <savorymount/entry/entry_context.hpp>
#include <savorymount/entry/routed_request.hpp>
#include <savorymount/entry/upstream_selector.hpp>
#include <savorymount/retries/retry_policy.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace savorymount::entry
{

/// One caller's request at the entry: attempts, resumption over new connections, retries, answer.
class entry_request : public std::enable_shared_from_this<entry_request>
{
public:
    entry_request(entry_context& context, std::shared_ptr<runtime::http_exchange> exchange,
                  routed_request request);

    void start();

    /// Called by the sink of the attempt `attempt`.
    void take_head(unsigned attempt, int status, runtime::http_headers headers);
    kj::Promise<void> take_chunk(unsigned attempt, std::uint64_t position, std::string_view bytes);

private:
    void try_next();
    void submit(selected_upstream const& upstream);
    void fill(wire::Request::Builder out);
    void attach();
    void attach_to(std::string const& name, std::string const& request_id);
    void connection_lost(unsigned attempt);
    void handle(unsigned attempt, runtime::request_outcome const& outcome);
    void handle_refusal(runtime::request_outcome const& outcome);
    void handle_failure(retries::attempt_outcome end, base::error const& reason,
                        base::duration retry_after);
    void give_up_source(base::error const& reason);
    void end_attempt(runtime::request_outcome const& outcome);
    void end(base::error const& reason, base::duration retry_after);
    bool quarantined();
    void caller_gone();
    void finish();

    entry_context& context_;
    std::shared_ptr<runtime::http_exchange> exchange_;
    routed_request request_;
    answer_relay relay_;
    std::vector<routing::upstream_id> tried_;
    std::optional<selected_upstream> upstream_;
    /// Where the running attempt is: instance name and the request's id there.
    std::string source_instance_;
    std::string source_request_;
    unsigned attempt_ = 0;
    unsigned attempts_ = 0;
    bool may_have_run_ = false;
    bool first_token_seen_ = false;
    bool following_other_call_ = false;
    bool done_ = false;
    std::optional<base::error> last_reason_;
    base::time_point started_at_{};
    std::optional<base::duration> first_token_;
    base::time_point attach_until_{};
    runtime::timer_service::subscription timer_;
};

} // namespace savorymount::entry
