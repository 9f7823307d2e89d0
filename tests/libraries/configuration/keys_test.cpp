#include "tests/libraries/configuration/example_documents.hpp"
#include <savorymount/base/random_source.hpp>
#include <savorymount/configuration/caller_key.hpp>
#include <savorymount/configuration/key_table.hpp>

#include <gtest/gtest.h>

namespace savorymount::configuration
{
namespace
{

random_bytes seeded_bytes(std::uint64_t seed)
{
    return [source = std::make_shared<base::random_source>(seed)](std::size_t size)
    {
        std::string out;
        while (out.size() < size)
            out.push_back(static_cast<char>(source->uniform_below(256)));
        return out;
    };
}

std::shared_ptr<configuration const> with_keys(std::vector<key_record> const& keys)
{
    auto content = example::entries();
    content["workspaces/counter"]["keys"] = nlohmann::json::array();
    for (auto const& it : keys)
        content["workspaces/counter"]["keys"].push_back(to_json(it));
    base::error reason;
    auto parsed = parse_configuration(1, documents(content), reason);
    EXPECT_TRUE(parsed) << reason.message;
    return std::make_shared<configuration const>(std::move(*parsed));
}

// Guards against a key that authenticates after its withdrawal, for another workspace, or with a
// secret that only resembles it.
TEST(keys, only_the_granted_key_authenticates)
{
    auto const random = seeded_bytes(1);
    auto const key = generate_caller_key(random);
    auto const other = generate_caller_key(random);
    auto const record = make_key_record(key, random);
    key_table const table(with_keys({record}));
    EXPECT_EQ(table.authenticate(to_string(key)), (authenticated_key{"counter", key.id}));
    EXPECT_FALSE(table.authenticate(to_string(other)));
    EXPECT_FALSE(table.authenticate(to_string(caller_key{key.id, other.secret})));
    EXPECT_FALSE(table.authenticate(to_string(key) + "0"));
    EXPECT_FALSE(table.authenticate(to_string(key).substr(0, to_string(key).size() - 1)));
    EXPECT_FALSE(table.authenticate("sm_" + key.id + "_" + record.digest));
    EXPECT_FALSE(table.authenticate(""));
    EXPECT_FALSE(key_table(with_keys({})).authenticate(to_string(key)));
}

// Guards against a stored form from which the key can be read, and against equal salts.
TEST(keys, record_holds_only_a_salted_digest)
{
    auto const random = seeded_bytes(2);
    auto const key = generate_caller_key(random);
    auto const first = make_key_record(key, random);
    auto const second = make_key_record(key, random);
    EXPECT_NE(first.salt, second.salt);
    EXPECT_NE(first.digest, second.digest);
    EXPECT_EQ(to_json(first).dump().find(key.secret), std::string::npos);
    EXPECT_EQ(key.id.size(), 16U);
    EXPECT_EQ(key.secret.size(), 64U);
    base::error reason;
    EXPECT_EQ(parse_key_record(to_json(first), "workspaces/counter.json#/keys/0", reason), first);
}

TEST(keys, form_of_a_key_is_strict)
{
    auto const key = parse_caller_key("sm_k1a2b3c4_0123456789abcdef");
    ASSERT_TRUE(key);
    EXPECT_EQ(*key, (caller_key{"k1a2b3c4", "0123456789abcdef"}));
    EXPECT_EQ(to_string(*key), "sm_k1a2b3c4_0123456789abcdef");
    for (auto const* it :
         {"", "sm_", "sm__0123456789abcdef", "sm_k1a2b3c4", "sm_k1a2b3c4_", "sm_k1a2b3c4_short",
          "SM_k1a2b3c4_0123456789abcdef", "sm_K1A2B3C4_0123456789abcdef",
          "sm_k1a2b3c4_0123456789abcdef ", " sm_k1a2b3c4_0123456789abcdef",
          "sm_k1a2b3c4_01234567_89abcdef", "sm_abc_0123456789abcdef"})
        EXPECT_FALSE(parse_caller_key(it)) << it;
    EXPECT_FALSE(parse_caller_key("sm_k1a2b3c4_" + std::string(129, 'a')));
}

} // namespace
} // namespace savorymount::configuration
