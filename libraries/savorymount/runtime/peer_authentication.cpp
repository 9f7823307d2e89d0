#include <savorymount/base/digest.hpp>
#include <savorymount/runtime/peer_authentication.hpp>

#include <openssl/rand.h>

#include <cstdlib>

namespace savorymount::runtime
{
namespace
{

constexpr std::size_t nonce_bytes = 32;

} // namespace

std::string make_nonce()
{
    std::string out(nonce_bytes, '\0');
    // Without random numbers a proof could be replayed, so the process must not go on.
    if (RAND_bytes(reinterpret_cast<unsigned char*>(out.data()), static_cast<int>(out.size())) != 1)
        std::abort();
    return out;
}

std::string make_proof(std::string_view secret, peer_role role, std::string_view client_nonce,
                       std::string_view server_nonce)
{
    std::string text = role == peer_role::server ? "server:" : "client:";
    text += client_nonce;
    text += server_nonce;
    return base::hmac_sha256_hex(secret, text);
}

} // namespace savorymount::runtime
