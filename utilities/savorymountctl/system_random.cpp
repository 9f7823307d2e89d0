#include "utilities/savorymountctl/system_random.hpp"

#include <openssl/rand.h>

#include <stdexcept>

namespace savorymount::control
{

std::string system_random(std::size_t size)
{
    std::string out(size, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char*>(out.data()), static_cast<int>(size)) != 1)
        throw std::runtime_error("the system has no random bytes; try again later");
    return out;
}

} // namespace savorymount::control
