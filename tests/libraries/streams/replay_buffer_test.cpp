#include <savorymount/streams/replay_buffer.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <tests/libraries/seeded_property.hpp>

namespace savorymount::streams
{
namespace
{

// Guards against an attach that silently skips what was dropped.
TEST(replay_buffer, says_when_a_position_is_no_longer_held)
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

// Guards against a lost usage event: it has no position of its own, so an entry at that position
// can't be told that it holds everything.
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

// Guards against a buffer that stays full of bytes that the entry has confirmed.
TEST(replay_buffer, a_chunk_that_ends_with_a_token_is_released_at_its_end)
{
    replay_buffer buffer(100);
    base::error reason;
    EXPECT_TRUE(buffer.append({0, 5, "bytes", true}, reason));
    buffer.acknowledge(5);
    EXPECT_EQ(buffer.bytes(), 0U);
    EXPECT_EQ(buffer.chunks_from(5, reason), std::vector<replay_chunk>());
    EXPECT_FALSE(buffer.chunks_from(4, reason));
}

TEST(replay_buffer, refuses_chunks_out_of_order)
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

// Guards against chunks that are dropped although they are needed, or kept above the bound.
TEST(replay_buffer, generated_histories_match_a_list_of_all_chunks)
{
    tests::check_property(
        500,
        []
        {
            auto const capacity = *rc::gen::inRange<std::size_t>(1, 200);
            auto const start = *rc::gen::inRange<std::uint64_t>(0, 3);
            replay_buffer buffer(capacity, start);
            std::vector<replay_chunk> all;
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
                auto const covered = *rc::gen::inRange<std::uint64_t>(0, 4);
                replay_chunk const chunk{
                    end, end + covered,
                    std::string(*rc::gen::inRange<std::size_t>(1, 60), char('a' + n % 26)),
                    *rc::gen::arbitrary<bool>()};
                RC_ASSERT(buffer.append(chunk, reason));
                end += covered;
                all.push_back(chunk);
                RC_ASSERT(buffer.bytes() <= std::max(capacity, chunk.bytes.size()));
                for (std::uint64_t position = buffer.first_position(); position <= end; ++position)
                {
                    std::vector<replay_chunk> expected;
                    for (auto const& it : all)
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
