#include <savorymount/gateway/gateway.hpp>
#include <savorymount/runtime/daemon.hpp>

#include <malloc.h>

namespace
{

// Larger blocks, such as bodies, are returned to the system when they are freed. By default the
// allocator keeps more and more of them as they come and go.
constexpr int mapped_block_bytes = 512 * 1024;
// Memory at the end of the heap that is kept, so that the usual load rarely changes its size.
constexpr int kept_heap_bytes = 4 * 1024 * 1024;

} // namespace

int main(int argc, char** argv)
{
    using namespace savorymount;
    mallopt(M_MMAP_THRESHOLD, mapped_block_bytes);
    mallopt(M_TRIM_THRESHOLD, kept_heap_bytes);
    return runtime::run_daemon("savorymount-gateway", SAVORYMOUNT_VERSION, argc, argv,
                               gateway::declare_gateway_settings, gateway::parse_gateway_settings,
                               gateway::gateway::make);
}
