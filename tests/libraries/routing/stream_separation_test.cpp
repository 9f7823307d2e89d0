#include <savorymount/routing/engine_placement.hpp>
#include <savorymount/routing/stream_separation.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <random>
#include <string>
#include <tests/libraries/time_points.hpp>
#include <vector>

namespace savorymount::routing
{
namespace
{

using namespace std::chrono_literals;
using tests::at;

constexpr int engine_count = 16;
constexpr int instance_count = 4;
constexpr base::duration target_gap = 200ms;
constexpr base::duration target_first_event = 300ms;

std::string engine_id(int index)
{
    return "engine-" + std::to_string(index);
}

upstream_table make_table()
{
    upstream_table out;
    for (int i = 0; i < engine_count; ++i)
    {
        membership::upstream_record record;
        record.id = engine_id(i);
        record.service = "pool";
        record.address = "10.0.0.1:8000";
        record.data_centre = "liege";
        record.slots = 32;
        record.weights["crew"] = 1;
        out.apply_listing(at(0s), record);
    }
    return out;
}

std::vector<upstream_state*> states_of(upstream_table& table)
{
    return table.candidates(at(1s), "pool");
}

struct stream
{
    int instance = 0;
    request_size size;
    base::duration sent_at{};
    base::duration last_event_at{};
    double unread_tokens = 0;
    int steps = 0;
    int events_left = 0;
    bool started = false;
    bool late = false;
};

struct engine
{
    std::vector<stream> streams;
    base::duration step_ends_at{};
    double slowness = 1;
};

struct served_share
{
    double short_prompts = 0;
    double long_prompts = 0;
};

/// Plays short and long prompts of several instances on engines of uneven speed. An engine reads
/// one chunk of a prompt a step, which delays all of its streams.
class played_load
{
public:
    explicit played_load(base::duration gap_of_route) : gap_of_route_(gap_of_route)
    {
        tables_.fill(make_table());
        for (int i = 0; i < engine_count; ++i)
            engines_[static_cast<std::size_t>(i)].slowness = i % 4 == 0 ? 2.2 : 1;
        desired_.add_version("crew", 1, at(0s));
    }

    served_share play(base::duration length)
    {
        for (now_ = 0ms; now_ < length; now_ += 1ms)
        {
            if (random_() % 1000 < 40)
                send(true);
            if (random_() % 1000 < 60)
                send(false);
            if (now_ % 200ms == 0ms)
                exchange_reports();
            for (int i = 0; i < engine_count; ++i)
                advance(i);
        }
        return {share(true), share(false)};
    }

private:
    engine_request make_request(bool short_prompt)
    {
        engine_request out;
        out.target_event_gap = gap_of_route_;
        auto const own = "own-" + std::to_string(++sent_);
        auto const shared = std::to_string(random_() % 100);
        if (short_prompt)
            out.prompt = {"crew", {{"house", 120}, {"client-" + shared, 80}, {own, 600}}, 800, 60};
        else
            out.prompt = {
                "crew", {{"rules", 2500}, {"book-" + shared, 3800}, {own, 2900}}, 9200, 10};
        return out;
    }

    void send(bool short_prompt)
    {
        auto const instance = static_cast<int>(random_() % instance_count);
        auto& table = tables_[static_cast<std::size_t>(instance)];
        auto const choice =
            choose_engine(at(now_), pool_, make_request(short_prompt), table, locations_, desired_);
        ASSERT_TRUE(choice);
        for (auto const digest : choice->digests)
            locations_.record_assignment(at(now_), digest, choice->upstream);
        table.request_sent(at(now_), choice->upstream, choice->size);
        stream out;
        out.instance = instance;
        out.size = choice->size;
        out.sent_at = now_;
        out.unread_tokens = std::max(1.0, choice->size.prefill_tokens);
        out.events_left = short_prompt ? 60 : 10;
        auto const index = std::stoul(choice->upstream.substr(std::string("engine-").size()));
        engines_[index].streams.push_back(out);
    }

    void exchange_reports()
    {
        for (std::size_t i = 0; i < tables_.size(); ++i)
        {
            for (std::size_t k = 0; k < tables_.size(); ++k)
            {
                if (i != k)
                    tables_[i].set_peer_use(std::to_string(k), tables_[k].local_use());
            }
        }
    }

    double pace(int index) const { return (now_ + index * 37ms) % 600ms < 90ms ? 2.5 : 1; }

    void advance(int index)
    {
        auto& it = engines_[static_cast<std::size_t>(index)];
        if (now_ < it.step_ends_at)
            return;
        auto const reads = std::find_if(it.streams.begin(), it.streams.end(),
                                        [](auto const& s) { return s.unread_tokens > 0; });
        double step_ms = 6 + 0.04 * static_cast<double>(it.streams.size());
        for (auto& s : it.streams)
            run_step(index, s);
        if (reads != it.streams.end())
        {
            auto const chunk = std::min(reads->unread_tokens, 1024.0);
            reads->unread_tokens -= chunk;
            step_ms += chunk / 110;
        }
        std::erase_if(it.streams, [](auto const& s) { return s.events_left == 0; });
        it.step_ends_at =
            now_ +
            base::duration(static_cast<std::int64_t>(step_ms * it.slowness * pace(index) * 1000));
    }

    void run_step(int index, stream& s)
    {
        constexpr int steps_per_event = 5;
        if (s.unread_tokens > 0 || ++s.steps % steps_per_event != 0)
            return;
        auto& table = tables_[static_cast<std::size_t>(s.instance)];
        auto const id = engine_id(index);
        if (!s.started)
        {
            table.load_reported(at(now_), id,
                                {1, 0, 32, static_cast<std::uint32_t>(100 * pace(index))});
            table.response_started(at(now_), id, s.size);
            s.late = now_ - s.sent_at > target_first_event;
        }
        else
        {
            table.event_gap_observed(at(now_), id, now_ - s.last_event_at);
            s.late = s.late || now_ - s.last_event_at > target_gap;
        }
        s.started = true;
        s.last_event_at = now_;
        if (--s.events_left > 0)
            return;
        table.request_finished(id, true, s.size);
        bool const is_short = s.size.memory_tokens < 2000;
        ++finished_[is_short ? 1 : 0];
        in_time_[is_short ? 1 : 0] += s.late ? 0 : 1;
    }

    double share(bool short_prompt) const
    {
        std::size_t const i = short_prompt ? 1 : 0;
        return finished_[i] == 0 ? 0 : static_cast<double>(in_time_[i]) / finished_[i];
    }

    base::duration gap_of_route_;
    engine_pool_config pool_{"pool", "liege", 100'000, "", 8s, 1};
    std::array<upstream_table, instance_count> tables_;
    std::array<engine, engine_count> engines_;
    part_locations locations_;
    orders::desired_weights desired_;
    std::mt19937 random_{7};
    base::duration now_{};
    int sent_ = 0;
    std::array<int, 2> finished_{};
    std::array<int, 2> in_time_{};
};

// Guards against streams that pause because their engine reads long prompts for others, and against
// moving that delay to the long prompts.
TEST(stream_separation, more_streams_are_in_time_beside_long_prompts)
{
    auto const mixed = played_load(0ms).play(20s);
    auto const separate = played_load(target_gap).play(20s);
    RecordProperty("short_mixed", std::to_string(mixed.short_prompts));
    RecordProperty("short_separate", std::to_string(separate.short_prompts));
    RecordProperty("long_mixed", std::to_string(mixed.long_prompts));
    RecordProperty("long_separate", std::to_string(separate.long_prompts));
    EXPECT_GT(separate.short_prompts, mixed.short_prompts);
    EXPECT_GE(separate.long_prompts, mixed.long_prompts);
}

// Guards against a change for deployments whose routes or engines do not ask for separation.
TEST(stream_separation, is_not_in_force_without_a_target_gap_or_a_pace)
{
    auto table = make_table();
    EXPECT_FALSE(stream_separation(at(1s), states_of(table), 0.5, target_gap).in_force());
    table.load_reported(at(1s), engine_id(3), {1, 0, 32, 100});
    EXPECT_TRUE(stream_separation(at(1s), states_of(table), 0.5, target_gap).in_force());
    EXPECT_FALSE(stream_separation(at(1s), states_of(table), 0.5, 0ms).in_force());
}

// Guards against instances that keep different engines for short prompts, and against engines kept
// while there are no short prompts or no long ones.
TEST(stream_separation, instances_keep_the_same_engines_by_the_share_of_short_prompts)
{
    auto table = make_table();
    for (int i = 0; i < engine_count; ++i)
        table.load_reported(at(1s), engine_id(i), {8, 0, 32, 100});
    auto const kept = [&](double share)
    {
        stream_separation const it(at(1s), states_of(table), share, target_gap);
        std::vector<std::string> out;
        for (int i = 0; i < engine_count; ++i)
        {
            if (!it.suits(engine_id(i), false))
                out.push_back(engine_id(i));
        }
        return out;
    };
    EXPECT_TRUE(kept(0).empty());
    auto const few = kept(0.25);
    auto const more = kept(0.5);
    EXPECT_EQ(few.size(), 2U);
    EXPECT_EQ(more.size(), 4U);
    EXPECT_TRUE(std::includes(more.begin(), more.end(), few.begin(), few.end()));
}

// Guards against short streams on engines that were seen to be slow.
TEST(stream_separation, keeps_no_slow_engine_for_short_prompts)
{
    auto table = make_table();
    for (int i = 0; i < engine_count; ++i)
    {
        table.load_reported(at(1s), engine_id(i), {8, 0, 32, 100});
        for (int k = 0; k < 10; ++k)
            table.event_gap_observed(at(1s), engine_id(i), i % 2 == 0 ? 30ms : 90ms);
    }
    stream_separation const it(at(1s), states_of(table), 0.5, target_gap);
    int kept = 0;
    for (int i = 0; i < engine_count; ++i)
    {
        bool const suits = it.suits(engine_id(i), true);
        kept += suits ? 1 : 0;
        EXPECT_TRUE(!suits || i % 2 == 0) << i;
    }
    EXPECT_EQ(kept, 4);
}

} // namespace
} // namespace savorymount::routing
