#include <savorymount/base/error.hpp>

namespace savorymount::base
{

std::string_view to_string(error_kind kind)
{
    switch (kind)
    {
    case error_kind::invalid_input:
        return "invalid_input";
    case error_kind::unauthorized:
        return "unauthorized";
    case error_kind::forbidden:
        return "forbidden";
    case error_kind::not_found:
        return "not_found";
    case error_kind::conflict:
        return "conflict";
    case error_kind::rate_limited:
        return "rate_limited";
    case error_kind::too_large:
        return "too_large";
    case error_kind::overloaded:
        return "overloaded";
    case error_kind::unavailable:
        return "unavailable";
    case error_kind::unknown_outcome:
        return "unknown_outcome";
    case error_kind::deadline:
        return "deadline";
    case error_kind::crashed:
        return "crashed";
    case error_kind::internal:
        return "internal";
    }
    return "internal";
}

} // namespace savorymount::base
