#pragma once

#include <cstdint>

namespace savorymount::routing
{

/// Dense handle of an upstream within one process, assigned by `upstream_directory`.
using upstream_id = std::uint32_t;

} // namespace savorymount::routing
