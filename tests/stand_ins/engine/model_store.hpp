#pragma once

#include <savorymount/runtime/http_call.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tests/stand_ins/engine/chat_request.hpp>
#include <tests/stand_ins/stand_in.hpp>

namespace savorymount::stand_ins
{

/// The loaded models and the orders that change them.
class model_store
{
public:
    struct options
    {
        bool checks_fencing;
        base::duration load_time;
        /// Where weights come from; without it, only the load time counts.
        std::optional<runtime::network_address> weights;
    };

    model_store(runtime::event_loop& loop, options const& chosen);

    /// Marks a model as loaded at once.
    void add(model_name const& name) { loaded_.insert(name); }

    bool holds(model_name const& wanted) const;

    void handle_order(exchange_ptr const& exchange);

    json loaded() const { return describe(loaded_); }
    json loading() const;
    std::string const& role() const { return role_; }

private:
    static json describe(std::set<model_name> const& names);
    void load(model_name const& name);
    void fetch(model_name const& name);
    void handle_fetched(model_name const& name, bool fetched);

    runtime::event_loop& loop_;
    runtime::timer_service timers_;
    options options_;
    std::uint64_t fence_ = 0;
    std::string role_ = "both";
    std::set<model_name> loaded_;
    /// Models that are being loaded, each with its download if there is one.
    std::map<model_name, std::unique_ptr<runtime::http_call>> loading_;
};

} // namespace savorymount::stand_ins
