#pragma once

#include <savorymount/base/error.hpp>
#include <savorymount/runtime/event_loop.hpp>
#include <savorymount/runtime/instance_list.hpp>
#include <savorymount/runtime/platform_log.hpp>
#include <savorymount/runtime/settings_parser.hpp>
#include <savorymount/runtime/upstream_adapter.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace savorymount::runtime
{

/// Factories of one kind of adapter by name. Plug-ins add themselves before `main` starts.
template <typename Adapter>
class plugin_registry
{
public:
    using factory = std::function<Adapter(event_loop&, network_address const&)>;

    /// The registry of this adapter kind.
    static plugin_registry& instance()
    {
        static plugin_registry registry;
        return registry;
    }

    /// Returns true, so that a plug-in can register itself while it initialises a constant.
    bool add(std::string const& name, factory make)
    {
        factories_[name] = std::move(make);
        return true;
    }

    /// Fails with `invalid_input` when no plug-in has the name; the message lists the names there
    /// are.
    std::optional<Adapter> make(std::string const& name, event_loop& loop,
                                network_address const& address, base::error& reason) const
    {
        auto const it = factories_.find(name);
        if (it != factories_.end())
            return it->second(loop, address);
        std::string known;
        for (auto const& entry : factories_)
            known += (known.empty() ? "" : ", ") + entry.first;
        reason = {base::error_kind::invalid_input,
                  "there is no plug-in named " + name + "; use one of: " + known};
        return std::nullopt;
    }

private:
    std::map<std::string, factory> factories_;
};

} // namespace savorymount::runtime
