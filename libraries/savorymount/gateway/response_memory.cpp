#include <savorymount/gateway/response_memory.hpp>

namespace savorymount::gateway
{
namespace
{

std::string exceeded(std::string const& what, std::size_t limit, std::string const& setting)
{
    return what + " exceeds " + std::to_string(limit) + " bytes; check the upstream or raise " +
           setting;
}

} // namespace

std::string body_too_large(response_limits const& limits)
{
    return exceeded("the body of the upstream's response", limits.max_body_bytes,
                    "response-body-kib");
}

std::string event_too_large(response_limits const& limits)
{
    return exceeded("an event of the upstream's stream", limits.max_event_bytes,
                    "response-event-kib");
}

std::string responses_too_large(response_limits const& limits)
{
    return exceeded("the memory of all responses together", limits.max_total_bytes,
                    "response-memory-kib");
}

} // namespace savorymount::gateway
