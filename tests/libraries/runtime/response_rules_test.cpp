#include <savorymount/base/random_source.hpp>
#include <savorymount/runtime/http_message_reader.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <cctype>
#include <iterator>
#include <tests/libraries/runtime/odd_responses.hpp>
#include <tests/libraries/seeded_property.hpp>

namespace savorymount::runtime
{
namespace
{

constexpr std::size_t max_header_bytes = 4096;

/// What reading some bytes as one response came to.
struct reading
{
    bool refused = false;
    bool head = false;
    bool ended = false;
    std::string body;
};

reading read_response(std::string const& bytes, std::size_t piece_bytes)
{
    reading out;
    http_message_reader reader(http_message_kind::response, max_header_bytes,
                               {[&](http_head const&) { out.head = true; },
                                [&](std::string_view it) { out.body += it; },
                                [&]
                                {
                                    out.ended = true;
                                }});
    for (std::size_t at = 0; at < bytes.size() && !out.refused && !out.ended; at += piece_bytes)
    {
        base::error reason;
        out.refused = !reader.feed(std::string_view(bytes).substr(at, piece_bytes), reason);
        EXPECT_EQ(out.refused, !reason.message.empty());
    }
    return out;
}

bool has_control_byte(std::string_view text)
{
    return std::any_of(text.begin(), text.end(),
                       [](char it)
                       { return it != '\t' && std::iscntrl(static_cast<unsigned char>(it)) != 0; });
}

bool is_status_line(std::string_view line)
{
    bool const has_version = line.starts_with("HTTP/1.0 ") || line.starts_with("HTTP/1.1 ");
    if (!has_version || line.size() < 12 || has_control_byte(line))
        return false;
    auto const is_digit = [](char it)
    {
        return it >= '0' && it <= '9';
    };
    bool const is_status =
        line[9] >= '2' && line[9] <= '5' && is_digit(line[10]) && is_digit(line[11]);
    return is_status && (line.size() == 12 || line[12] == ' ');
}

bool is_field(std::string_view line)
{
    auto const colon = line.find(':');
    auto const name = line.substr(0, colon);
    bool const is_token = std::all_of(
        name.begin(), name.end(),
        [](char it)
        {
            return std::isalnum(static_cast<unsigned char>(it)) != 0 ||
                   std::string_view("!#$%&'*+-.^_`|~").find(it) != std::string_view::npos;
        });
    return colon != std::string_view::npos && !name.empty() && is_token &&
           !has_control_byte(line.substr(colon));
}

/// Whether the bytes up to the first empty line are the head of a final response.
bool is_head(std::string const& bytes)
{
    bool is_first = true;
    for (std::size_t at = 0; at < bytes.size(); is_first = false)
    {
        auto const end = bytes.find('\n', at);
        if (end == std::string::npos)
            return false;
        auto line = std::string_view(bytes).substr(at, end - at);
        at = end + 1;
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (line.empty())
            return !is_first;
        if (is_first ? !is_status_line(line) : !is_field(line))
            return false;
    }
    return false;
}

// Guards against bytes that a lenient parser takes for a response.
TEST(response_rules, what_is_no_response_is_refused_however_it_arrives)
{
    for (auto const& it : tests::odd_responses("X-Request-Id: r\r\n"))
    {
        for (std::size_t const piece_bytes : {std::size_t{1}, std::size_t{7}, it.text.size()})
        {
            auto const out = read_response(it.text, piece_bytes);
            EXPECT_TRUE(out.refused) << it.name << " in pieces of " << piece_bytes;
            EXPECT_FALSE(out.ended) << it.name << " in pieces of " << piece_bytes;
        }
    }
}

// Guards against the loss of responses that are allowed.
TEST(response_rules, sound_responses_are_taken_however_they_arrive)
{
    std::string const end = "\r\nContent-Length: 2\r\n\r\nok";
    for (std::string const& it :
         {"HTTP/1.1 200 OK" + end, "HTTP/1.1 200" + end, "HTTP/1.1 599 " + end,
          "HTTP/1.0 200 OK" + end, "HTTP/1.1 200 caf\xe9\tOK" + end,
          "HTTP/1.1 200 OK\r\nX-Field:" + end, "HTTP/1.1 200 OK\r\nX-Field: \xe9\t b " + end,
          "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~9aZ: b" + end,
          "HTTP/1.1 200 OK\nContent-Length: 2\n\nok" + std::string(),
          "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK" + end,
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n2\r\nok\r\n0\r\nX-Field: "
          "a\r\n\r\n" +
              std::string()})
    {
        for (std::size_t const piece_bytes : {std::size_t{1}, std::size_t{7}, it.size()})
        {
            auto const out = read_response(it, piece_bytes);
            EXPECT_TRUE(out.ended && !out.refused) << it;
            EXPECT_EQ(out.body, "ok") << it;
        }
    }
}

// Guards against a chunk whose extension does not end and is kept until it does.
TEST(response_rules, a_chunk_extension_without_end_is_refused_after_some_bytes)
{
    http_message_reader reader(http_message_kind::response, max_header_bytes,
                               {[](http_head const&) {}, [](std::string_view) {},
                                [] {
                                }});
    base::error reason;
    ASSERT_TRUE(
        reader.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;name=", reason));
    constexpr std::size_t max_kept_bytes = std::size_t{8} * 1024;
    std::string const piece(1024, 'v');
    std::size_t taken = 0;
    while (taken <= max_kept_bytes && reader.feed(piece, reason))
        taken += piece.size();
    EXPECT_LE(taken, max_kept_bytes);
    EXPECT_EQ(reason.kind, base::error_kind::invalid_input);
}

// Guards against a sequence of bytes that nobody thought of and that is taken for a response.
TEST(response_rules, no_generated_bytes_are_taken_for_a_head_that_is_none)
{
    std::string const sound = "HTTP/1.1 200 OK\r\nX-Field: a, b\r\nContent-Length: 2\r\n\r\nok";
    // The array ends with a NUL, which is one of the bytes.
    constexpr char bytes_of_heads[] = "\1\t\n\r\x7f\xe9 :0259-\"HT/.";
    tests::check_property(
        3000,
        [&](std::uint32_t seed)
        {
            base::random_source random(seed);
            auto text = sound;
            for (auto n = random.uniform_below(4); n > 0; --n)
            {
                auto const at = random.uniform_below(text.size());
                char const it = bytes_of_heads[random.uniform_below(std::size(bytes_of_heads))];
                switch (random.uniform_below(3))
                {
                case 0:
                    text[at] = it;
                    break;
                case 1:
                    text.insert(at, 1, it);
                    break;
                default:
                    text.erase(at, 1);
                }
            }
            auto const piece_bytes = 1 + random.uniform_below(text.size());
            auto const out = read_response(text, piece_bytes);
            RC_LOG() << testing::PrintToString(text) << " in pieces of " << piece_bytes;
            RC_ASSERT(!out.head || is_head(text));
            RC_ASSERT(text != sound || out.ended);
        });
}

} // namespace
} // namespace savorymount::runtime
