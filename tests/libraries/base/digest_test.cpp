#include <savorymount/base/digest.hpp>

#include <gtest/gtest.h>

namespace savorymount::base
{
namespace
{

// Guards against digests that differ between builds, because instances compare them.
TEST(digest, matches_published_vectors)
{
    EXPECT_EQ(sha256_hex("abc"),
              "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    EXPECT_EQ(hmac_sha256_hex("Jefe", "what do ya want for nothing?"),
              "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
    EXPECT_EQ(to_hex(0x12ab), "00000000000012ab");
}

// Guards against equal digests of prefixes whose parents differ.
TEST(digest, chained_digest_depends_on_parent)
{
    EXPECT_NE(chain_digest(1, "block"), chain_digest(2, "block"));
    EXPECT_EQ(chain_digest(1, "block"), chain_digest(1, "block"));
}

} // namespace
} // namespace savorymount::base
