#include <savorymount/streams/event_splitter.hpp>

#include <gtest/gtest.h>

namespace savorymount::streams
{
namespace
{

// Guards against bytes that are changed or lost, and against incomplete events.
TEST(event_splitter, keeps_every_byte_for_any_split_of_the_input)
{
    std::string const stream = "x-weight-versions: 3\nid: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n"
                               "data: no id\n\nid: 3\ndata: cut";
    for (std::size_t step = 1; step <= stream.size(); ++step)
    {
        event_splitter splitter;
        std::vector<raw_event> events;
        for (std::size_t offset = 0; offset < stream.size(); offset += step)
            splitter.feed(std::string_view(stream).substr(offset, step), events);
        ASSERT_EQ(events.size(), 3U);
        EXPECT_EQ(events[0].id, 1U);
        EXPECT_EQ(events[1].id, 2U);
        EXPECT_EQ(events[2].id, std::nullopt);
        EXPECT_EQ(splitter.pending(), "id: 3\ndata: cut");
        EXPECT_EQ(events[0].bytes + events[1].bytes + events[2].bytes + splitter.pending(), stream);
    }
}

} // namespace
} // namespace savorymount::streams
