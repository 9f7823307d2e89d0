#include "platform/store_client.hpp"
#include <savorymount/runtime/http_server.hpp>

#include <gtest/gtest.h>

#include <tests/libraries/runtime/scripted_server.hpp>
#include <tests/platform/odd_entries.hpp>

namespace savorymount::tests
{
namespace
{

using nlohmann::json;

std::string answer(std::string const& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

class store_client_test : public testing::Test
{
protected:
    template <typename Condition>
    void run_until(Condition holds)
    {
        while (!holds())
            event_base_loop(loop.base(), EVLOOP_ONCE);
    }

    runtime::event_loop loop;
    runtime::timer_service timers{loop};
    runtime::outbound_client client{loop, timers};
};

// Guards against a page that is read again for ever because of one item.
TEST_F(store_client_test, an_odd_item_of_a_list_leaves_the_others_in_force)
{
    std::string const sound = R"({"key":"odd","value":"b2xk","offset":1})";
    std::vector<std::string> answers;
    // The store writes the items and encodes the values, so no item is nested.
    constexpr std::size_t max_item_bytes = 150'000;
    for (auto const& it : odd_entries(sound))
    {
        if (json::accept(it) && it.size() < max_item_bytes)
            answers.push_back(
                answer(R"({"items":[{"key":"a","value":"b2xk","offset":1},)" + it +
                       R"(,{"key":"z","value":"b2xk","offset":3}],"more":false,"end":9})"));
    }
    auto const pages = answers.size();
    scripted_server server(loop, answers, scripted_server::afterwards::keep);
    platform::store_client store(client, server.address());
    for (std::size_t i = 0; i < pages; ++i)
    {
        bool done = false;
        std::optional<platform::newest_page> page;
        store.read_newest("keyed.test", "",
                          [&](std::optional<platform::newest_page> it, base::error const&)
                          {
                              page = std::move(it);
                              done = true;
                          });
        run_until([&] { return done; });
        ASSERT_TRUE(page) << i;
        EXPECT_EQ(page->records.front().key, "a") << i;
        EXPECT_EQ(page->records.back().key, "z") << i;
    }
}

// Guards against a list that can't be read beyond a page whose last key is no word.
TEST_F(store_client_test, a_key_with_odd_bytes_may_end_a_page)
{
    for (std::string const key : {"a b", "a&part=1", "a#b", "a%b", "a\r\nX-Tenant: b", "a\xff"})
    {
        std::string target;
        runtime::http_server server(loop, {},
                                    [&](std::shared_ptr<runtime::http_exchange> const& exchange)
                                    {
                                        target = exchange->target();
                                        EXPECT_TRUE(exchange->headers().size() <= 2);
                                        exchange->respond(200, {},
                                                          R"({"items":[],"more":false,"end":9})");
                                    });
        base::error reason;
        auto const port = server.listen({"127.0.0.1", 0}, reason);
        platform::store_client store(client, {"127.0.0.1", *port});
        bool done = false;
        bool found = false;
        store.read_newest("keyed.test", key,
                          [&](std::optional<platform::newest_page> const& it, base::error const&)
                          {
                              found = it.has_value();
                              done = true;
                          });
        run_until([&] { return done; });
        EXPECT_TRUE(found) << key;
        EXPECT_EQ(target.find("&part=1"), std::string::npos) << target;
        EXPECT_NE(target.find("&after=a%"), std::string::npos) << target;
    }
}

// Guards against a record without a whole key that is read again for ever.
TEST(store_record_parser, a_record_without_a_whole_key_is_skipped)
{
    using namespace std::string_literals;
    auto const header = std::string(7, '\0') + "\x09" + std::string(8, '\0');
    for (auto const& odd : {"\0\0\0\0"s, "\0\0\0\x01\xff"s,
                            "\0\0\0\x03\x09"
                            "ab"s})
    {
        auto body = header;
        body += platform::serialize_record("a", "1");
        body += odd;
        body += platform::serialize_record("b", "2");
        base::error reason;
        auto const page = platform::parse_records(body, 5, reason);
        ASSERT_TRUE(page) << reason.message;
        EXPECT_EQ(page->next_offset, 8U);
        std::vector<platform::keyed_record> const expected{{"a", "1", 5}, {"b", "2", 7}};
        EXPECT_EQ(page->records, expected);
    }
}

// Guards against a value that can't be read and deletes its key.
TEST_F(store_client_test, an_item_with_an_odd_value_is_no_deletion)
{
    scripted_server server(loop,
                           {answer(R"({"items":[{"key":"a","value":"*","offset":1},)"
                                   R"({"key":"b","offset":2}],"more":false,"end":9})")},
                           scripted_server::afterwards::keep);
    platform::store_client store(client, server.address());
    std::optional<platform::newest_page> page;
    bool done = false;
    store.read_newest("keyed.test", "",
                      [&](std::optional<platform::newest_page> it, base::error const&)
                      {
                          page = std::move(it);
                          done = true;
                      });
    run_until([&] { return done; });
    ASSERT_TRUE(page);
    ASSERT_EQ(page->records.size(), 2U);
    for (auto const& it : page->records)
        EXPECT_TRUE(it.value) << it.key;
}

} // namespace
} // namespace savorymount::tests
