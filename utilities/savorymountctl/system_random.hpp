#pragma once

#include <cstddef>
#include <string>

namespace savorymount::control
{

/// Random bytes for keys and ids. Throws `std::runtime_error` if the system has none.
std::string system_random(std::size_t size);

} // namespace savorymount::control
