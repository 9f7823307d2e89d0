#include <savorymount/gateway/gateway.hpp>
#include <savorymount/runtime/daemon.hpp>

int main(int argc, char** argv)
{
    using namespace savorymount;
    return runtime::run_daemon("savorymount-gateway", SAVORYMOUNT_VERSION, argc, argv,
                               gateway::declare_gateway_settings, gateway::parse_gateway_settings,
                               gateway::gateway::make);
}
