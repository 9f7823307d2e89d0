#include <savorymount/deduplication/claim.hpp>
#include <savorymount/deduplication/claim_batch.hpp>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace savorymount::deduplication
{
namespace
{

claim make_claim(std::string const& request)
{
    return {"counter", std::string(64, 'a'), request, "agent-1", "i1", "d1"};
}

// Guards against a changed record format that other versions can't read.
TEST(claim, records_have_the_documented_format)
{
    auto plain = make_claim("r1");
    plain.request_digest.clear();
    EXPECT_EQ(to_json({plain}).dump(),
              "{\"agent\":\"agent-1\",\"incarnation\":\"i1\",\"key\":\"" + std::string(64, 'a') +
                  "\",\"kind\":\"claim\",\"request\":\"r1\",\"workspace\":\"counter\"}");
    base::error reason;
    std::vector<std::vector<claim>> const cases{{plain}, {make_claim("r1"), make_claim("r2")}, {}};
    for (auto const& it : cases)
        EXPECT_EQ(parse_claims(to_json(it), reason), it);
}

// Guards against a malformed claim that some readers apply and others ignore.
TEST(claim, malformed_claim_invalidates_its_record)
{
    base::error reason;
    for (std::string const name : {"workspace", "key", "request", "agent", "incarnation"})
    {
        auto body = to_json({make_claim("r1"), make_claim("r2")});
        for (nlohmann::json const& value :
             {nlohmann::json(), nlohmann::json(""), nlohmann::json(1),
              nlohmann::json(std::string(max_claim_identifier_bytes + 1, 'a'))})
        {
            body["claims"][1][name] = value;
            EXPECT_FALSE(parse_claims(body, reason)) << body.dump();
            EXPECT_EQ(reason.kind, base::error_kind::invalid_input);
        }
        body["claims"][1].erase(name);
        EXPECT_FALSE(parse_claims(body, reason));
    }
    auto upper_case_key = make_claim("r1");
    upper_case_key.key_digest = std::string(64, 'A');
    EXPECT_FALSE(parse_claims(to_json({upper_case_key}), reason));
    for (std::string const text : {"1", "[]", "{}", R"({"kind":"claim","claims":3})",
                                   R"({"kind":"claim","claims":[3]})", R"({"kind":1})"})
        EXPECT_FALSE(parse_claims(nlohmann::json::parse(text), reason)) << text;
}

// Guards against claims that wait until the batch is full.
TEST(claim_batch, is_due_when_full_or_after_the_longest_wait)
{
    claim_batch batch(2, std::chrono::milliseconds(5));
    base::time_point const start;
    EXPECT_FALSE(batch.due_at());
    EXPECT_TRUE(batch.take_due(start).empty());
    batch.add(make_claim("r1"), start);
    EXPECT_EQ(batch.due_at(), start + std::chrono::milliseconds(5));
    EXPECT_TRUE(batch.take_due(start + std::chrono::milliseconds(4)).empty());
    EXPECT_EQ(batch.take_due(start + std::chrono::milliseconds(5)).size(), 1U);
    EXPECT_FALSE(batch.due_at());
    batch.add(make_claim("r1"), start);
    batch.add(make_claim("r2"), start);
    EXPECT_EQ(batch.take_due(start), (std::vector<claim>{make_claim("r1"), make_claim("r2")}));
}

} // namespace
} // namespace savorymount::deduplication
