#include <savorymount/agent/agent.hpp>
#include <savorymount/runtime/daemon.hpp>

int main(int argc, char** argv)
{
    using namespace savorymount;
    return runtime::run_daemon(
        "savorymount-agent", SAVORYMOUNT_VERSION, argc, argv, agent::declare_agent_settings,
        agent::parse_agent_settings,
        [](auto const& settings, runtime::settings_origin const&, base::error& reason)
        { return agent::agent::make(settings, reason); });
}
