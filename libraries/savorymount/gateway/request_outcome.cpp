#include <savorymount/gateway/request_outcome.hpp>

namespace savorymount::gateway
{

std::string_view to_string(request_end end)
{
    switch (end)
    {
    case request_end::answered:
        return "answered";
    case request_end::refused:
        return "refused";
    case request_end::failed:
        return "failed";
    case request_end::abandoned:
        break;
    }
    return "abandoned";
}

} // namespace savorymount::gateway
