#pragma once

#include <savorymount/gateway/admission.hpp>
#include <savorymount/runtime/http_header.hpp>

namespace savorymount::gateway
{

/// The header fields of the response to a refused request.
runtime::http_headers refusal_headers(refusal const& it);

} // namespace savorymount::gateway
