#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <tests/stand_ins/engine/batch.hpp>
#include <tests/stand_ins/engine/block_cache.hpp>
#include <tests/stand_ins/engine/cache_events.hpp>
#include <tests/stand_ins/engine/chat_request.hpp>
#include <tests/stand_ins/engine/model_store.hpp>
#include <tests/stand_ins/stand_in.hpp>

namespace savorymount::stand_ins
{

/// A model engine's HTTP interface.
class engine
{
public:
    engine(runtime::event_loop& loop, runtime::parsed_settings const& settings);

    void handle(exchange_ptr const& exchange);

private:
    /// A request whose caller waits.
    struct caller
    {
        exchange_ptr exchange;
        /// The answer so far, unless it is streamed.
        std::string text;
        std::size_t sent = 0;
    };

    void complete(exchange_ptr const& exchange);
    void cancel(exchange_ptr const& exchange, std::string const& id);
    void drop(std::string const& id);
    void transfer_block(exchange_ptr const& exchange, std::string const& name);
    void show_events(exchange_ptr const& exchange);
    void control(exchange_ptr const& exchange);
    bool apply_control(std::string const& key, json const& value);
    void freeze(base::duration time);

    std::size_t begin(running_request const& it);
    void store(std::uint64_t block, std::string const& request, std::size_t index);
    bool send_token(running_request const& it);
    void finish(running_request const& it);
    void write_event(exchange_ptr const& exchange, std::size_t id, json const& delta,
                     json const& extra);
    json usage(running_request const& it) const;

    json current_load() const;
    void begin_step();

    runtime::event_loop& loop_;
    runtime::timer_service timers_;
    std::string const process_ = make_process_id();
    std::size_t block_tokens_;
    std::size_t answer_tokens_;
    base::duration token_time_;
    base::duration prefill_time_;
    base::duration load_lag_;
    block_cache cache_;
    cache_events events_;
    model_store models_;
    batch batch_;
    std::map<std::string, caller> callers_;
    std::uint64_t unnamed_requests_ = 0;
    json reported_load_;
    runtime::timer_service::subscription load_timer_;
    runtime::timer_service::subscription step_timer_;
    bool stepping_ = false;
    std::string crash_text_;
    std::optional<std::size_t> break_after_;
};

} // namespace savorymount::stand_ins
