#include <savorymount/runtime/base_peer.hpp>

namespace savorymount::runtime
{

kj::Promise<void> base_peer::ping(PingContext call)
{
    observe(call.getParams().getContext());
    auto results = call.getResults();
    kernel_.write_context(results.initContext());
    write_load(results.initLoad());
    return kj::READY_NOW;
}

kj::Promise<void> base_peer::configuration(ConfigurationContext call)
{
    auto const& text = kernel_.configuration().serialized();
    auto results = call.getResults();
    results.setVersion(kernel_.configuration().version());
    results.setDocuments({reinterpret_cast<kj::byte const*>(text.data()), text.size()});
    return kj::READY_NOW;
}

void base_peer::observe(wire::Context::Reader context)
{
    KJ_IF_MAYBE (it, caller_)
        kernel_.read_context(context, *it);
}

} // namespace savorymount::runtime
