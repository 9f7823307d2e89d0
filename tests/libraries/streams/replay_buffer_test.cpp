#include <savorymount/streams/replay_buffer.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <tests/libraries/seeded_property.hpp>

namespace savorymount::streams
{
namespace
{

// Guards against a reconnect that silently skips removed chunks.
TEST(replay_buffer, reports_a_position_that_is_no_longer_buffered)
{
    replay_buffer buffer(10);
    base::error reason;
    EXPECT_TRUE(buffer.append({0, 2, "aaaa"}, reason));
    EXPECT_TRUE(buffer.append({2, 3, "bbbb"}, reason));
    EXPECT_EQ(buffer.chunks_from(2, reason)->size(), 2U);
    EXPECT_EQ(buffer.chunks_from(3, reason), (std::vector<replay_chunk>{{2, 3, "bbbb"}}));
    EXPECT_TRUE(buffer.append({3, 4, "cccc"}, reason));
    EXPECT_FALSE(buffer.chunks_from(2, reason));
    EXPECT_EQ(reason.kind, base::error_kind::not_found);
    EXPECT_EQ(buffer.chunks_from(3, reason),
              (std::vector<replay_chunk>{{2, 3, "bbbb"}, {3, 4, "cccc"}}));
    EXPECT_FALSE(buffer.chunks_from(5, reason));
    EXPECT_EQ(reason.kind, base::error_kind::invalid_input);
}

// Guards against a lost usage event: it does not advance the position, so a receiver at that
// position may lack it.
TEST(replay_buffer, events_without_a_token_are_replayed_at_their_position)
{
    replay_buffer buffer(13);
    base::error reason;
    EXPECT_TRUE(buffer.append({0, 1, "token, usage"}, reason));
    EXPECT_EQ(buffer.chunks_from(1, reason), (std::vector<replay_chunk>{{0, 1, "token, usage"}}));
    buffer.acknowledge(1);
    EXPECT_EQ(buffer.chunks_from(1, reason), (std::vector<replay_chunk>{{0, 1, "token, usage"}}));
    EXPECT_TRUE(buffer.append({1, 1, "end"}, reason));
    EXPECT_FALSE(buffer.chunks_from(1, reason));
    EXPECT_EQ(reason.kind, base::error_kind::not_found);
}

// Guards against a buffer that keeps bytes that the receiver has acknowledged.
TEST(replay_buffer, a_chunk_that_ends_with_a_token_is_removed_once_acknowledged)
{
    replay_buffer buffer(100);
    base::error reason;
    EXPECT_TRUE(buffer.append({0, 5, "bytes", true}, reason));
    buffer.acknowledge(5);
    EXPECT_EQ(buffer.bytes(), 0U);
    EXPECT_EQ(buffer.chunks_from(5, reason), std::vector<replay_chunk>());
    EXPECT_FALSE(buffer.chunks_from(4, reason));
}

TEST(replay_buffer, rejects_chunks_out_of_order)
{
    replay_buffer buffer(100, 5);
    base::error reason;
    EXPECT_FALSE(buffer.append({0, 1, "t"}, reason));
    EXPECT_EQ(reason.kind, base::error_kind::invalid_input);
    EXPECT_FALSE(buffer.append({5, 4, "t"}, reason));
    EXPECT_TRUE(buffer.append({5, 6, "t"}, reason));
    EXPECT_FALSE(buffer.append({5, 6, "t"}, reason));
    EXPECT_FALSE(buffer.chunks_from(4, reason));
    EXPECT_EQ(reason.kind, base::error_kind::not_found);
}

// Guards against chunks that are removed although a receiver needs them, or kept above the
// capacity.
TEST(replay_buffer, generated_histories_match_a_list_of_all_chunks)
{
    tests::check_property(
        500,
        []
        {
            auto const capacity = *rc::gen::inRange<std::size_t>(1, 200);
            auto const start = *rc::gen::inRange<std::uint64_t>(0, 3);
            replay_buffer buffer(capacity, start);
            std::vector<replay_chunk> all_chunks;
            std::uint64_t end = start;
            base::error reason;
            auto const steps = *rc::gen::inRange(0, 40);
            for (int n = 0; n < steps; ++n)
            {
                if (*rc::gen::inRange(0, 5) == 0)
                {
                    buffer.acknowledge(*rc::gen::inRange<std::uint64_t>(start, end + 1));
                    continue;
                }
                auto const token_count = *rc::gen::inRange<std::uint64_t>(0, 4);
                replay_chunk const chunk{
                    end, end + token_count,
                    std::string(*rc::gen::inRange<std::size_t>(1, 60), char('a' + n % 26)),
                    *rc::gen::arbitrary<bool>()};
                RC_ASSERT(buffer.append(chunk, reason));
                end += token_count;
                all_chunks.push_back(chunk);
                RC_ASSERT(buffer.bytes() <= std::max(capacity, chunk.bytes.size()));
                for (std::uint64_t position = buffer.first_position(); position <= end; ++position)
                {
                    std::vector<replay_chunk> expected;
                    for (auto const& it : all_chunks)
                        if (it.end > position ||
                            (it.end == position && (!it.ends_with_token || it.position == it.end)))
                            expected.push_back(it);
                    RC_ASSERT(buffer.chunks_from(position, reason) == expected);
                }
                if (buffer.first_position() > 0)
                    RC_ASSERT(!buffer.chunks_from(buffer.first_position() - 1, reason));
            }
        });
}

} // namespace
} // namespace savorymount::streams
