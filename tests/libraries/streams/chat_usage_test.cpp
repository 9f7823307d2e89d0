#include <savorymount/streams/chat_usage.hpp>

#include <gtest/gtest.h>

#include <string>

namespace savorymount::streams
{
namespace
{

// Guards against tokens that are not charged or are assigned to the wrong count.
TEST(chat_usage, parses_token_counts)
{
    base::error reason;
    EXPECT_EQ(parse_chat_usage(R"({"choices":[],"usage":{"prompt_tokens":7,"completion_tokens":3,
                                   "prompt_tokens_details":{"cached_tokens":4}}})",
                               reason),
              (chat_usage{7, 3, 4}));
    EXPECT_EQ(parse_chat_usage(R"({"usage":{"prompt_tokens":7,"completion_tokens":3}})", reason),
              (chat_usage{7, 3, 0}));
    EXPECT_EQ(parse_chat_usage(
                  R"({"usage":{"prompt_tokens":7,"completion_tokens":3,
                      "prompt_tokens_details":{"cached_tokens":null}}})",
                  reason),
              (chat_usage{7, 3, 0}));
}

// Guards against generated text that is parsed as the usage.
TEST(chat_usage, events_without_a_usage_member_have_no_usage)
{
    base::error reason;
    EXPECT_EQ(parse_event_usage(R"({"usage":{"prompt_tokens":7,"completion_tokens":3}})", reason),
              (chat_usage{7, 3, 0}));
    for (std::string const text :
         {R"({"content":"{\"usage\":{\"prompt_tokens\":7,\"completion_tokens\":3}}"})",
          R"({"content":"usage"})", "not json", R"({"usage":null})"})
    {
        EXPECT_FALSE(parse_event_usage(text, reason));
        EXPECT_EQ(reason.kind, base::error_kind::not_found) << text;
    }
}

TEST(chat_usage, reports_missing_and_malformed_usage_differently)
{
    base::error reason;
    for (std::string const text : {R"({})", R"({"usage":null})"})
    {
        EXPECT_FALSE(parse_chat_usage(text, reason));
        EXPECT_EQ(reason.kind, base::error_kind::not_found) << text;
    }
    for (std::string const text :
         {"", "[DONE]", "[1]", R"({"usage":3})", R"({"usage":{}})",
          R"({"usage":{"prompt_tokens":7})",
          R"({"usage":{"prompt_tokens":-7,"completion_tokens":3}})",
          R"({"usage":{"prompt_tokens":7.5,"completion_tokens":3}})",
          R"({"usage":{"prompt_tokens":"7","completion_tokens":3}})",
          R"({"usage":{"prompt_tokens":18446744073709551616,"completion_tokens":3}})",
          R"({"usage":{"prompt_tokens":7,"completion_tokens":3,"prompt_tokens_details":4}})",
          R"({"usage":{"prompt_tokens":7,"completion_tokens":3,
              "prompt_tokens_details":{"cached_tokens":8}}})"})
    {
        EXPECT_FALSE(parse_chat_usage(text, reason));
        EXPECT_EQ(reason.kind, base::error_kind::invalid_input) << text;
    }
}

} // namespace
} // namespace savorymount::streams
