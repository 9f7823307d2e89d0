#include <savorymount/base/digest.hpp>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <xxhash.h>

namespace savorymount::base
{
namespace
{

constexpr char hex_digits[] = "0123456789abcdef";

std::string hex(unsigned char const* bytes, std::size_t size)
{
    std::string out;
    out.reserve(size * 2);
    for (std::size_t i = 0; i < size; ++i)
    {
        out.push_back(hex_digits[bytes[i] >> 4]);
        out.push_back(hex_digits[bytes[i] & 0xf]);
    }
    return out;
}

} // namespace

std::uint64_t chain_digest(std::uint64_t parent, std::string_view bytes)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), parent);
}

std::string sha256_hex(std::string_view bytes)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> buf{};
    unsigned int size = 0;
    EVP_Digest(bytes.data(), bytes.size(), buf.data(), &size, EVP_sha256(), nullptr);
    return hex(buf.data(), size);
}

std::string hmac_sha256_hex(std::string_view secret, std::string_view bytes)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> buf{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<unsigned char const*>(bytes.data()), bytes.size(), buf.data(), &size);
    return hex(buf.data(), size);
}

bool equal_in_constant_time(std::string_view left, std::string_view right)
{
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string to_hex(std::uint64_t value)
{
    std::string out(16, '0');
    for (std::size_t i = 0; i < out.size(); ++i)
        out[out.size() - 1 - i] = hex_digits[(value >> (4 * i)) & 0xf];
    return out;
}

} // namespace savorymount::base
