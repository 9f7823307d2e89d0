#pragma once

#include <string>
#include <string_view>

namespace savorymount::runtime
{

/// The two sides of the handshake on the internal port; each proves the shared secret in its role.
enum class peer_role
{
    server,
    client
};

/// A fresh nonce of 32 random bytes from the operating system.
std::string make_nonce();

/// HMAC-SHA-256 over role and both nonces. Naming the role keeps one side's proof from being
/// reflected as the other's.
std::string make_proof(std::string_view secret, peer_role role, std::string_view client_nonce,
                       std::string_view server_nonce);

} // namespace savorymount::runtime
