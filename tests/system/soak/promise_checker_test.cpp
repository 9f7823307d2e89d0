#include <gtest/gtest.h>

#include <tests/libraries/time_points.hpp>
#include <tests/soak/promise_checker.hpp>

namespace savorymount::soak
{
namespace
{

using namespace std::chrono_literals;
using tests::at;

std::string events(int first, int last)
{
    std::string out;
    for (int i = first; i <= last; ++i)
        out += "id: " + std::to_string(i) + "\ndata: token " + std::to_string(i) + "\n\n";
    return out;
}

call_record served_stream(std::string const& id, base::duration started)
{
    call_record out;
    out.id = id;
    out.key = "key-a";
    out.started = at(started);
    out.ended = at(started + 50ms);
    out.status = 200;
    out.whole = true;
    out.stamped = true;
    out.body = events(1, 8);
    return out;
}

call_record served_booking(std::string const& id, base::duration started)
{
    auto out = served_stream(id, started);
    out.kind = call_kind::booking;
    out.body = "booked " + id;
    return out;
}

/// One stream and one booking that were served.
soak_history good_history()
{
    soak_history out;
    out.calls = {served_stream("stream", 1s), served_booking("booking", 2s)};
    out.runs = {{"engine-0.0", "stream", 1, at(1s)}, {"desk-4.0", "booking", 0, at(2s)}};
    out.ended = at(3s);
    return out;
}

std::vector<std::string> broken_promises(soak_history const& history)
{
    std::vector<std::string> out;
    for (auto const& it : check_promises(history, {}))
        out.push_back(it.promise);
    return out;
}

using promises = std::vector<std::string>;

// Guards against a checker that finds what is not there.
TEST(promise_checker, finds_nothing_in_a_good_history)
{
    EXPECT_EQ(broken_promises(good_history()), promises{});
}

// Guards against a checker that misses a booking that ran twice.
TEST(promise_checker, finds_a_booking_that_ran_twice)
{
    auto history = good_history();
    history.runs.push_back({"desk-5.0", "booking", 0, at(2s)});
    EXPECT_EQ(broken_promises(history), (promises{"at most once", "whole answers"}));
}

// Guards against a checker that believes a refusal whose request ran.
TEST(promise_checker, finds_a_refusal_of_a_request_that_ran)
{
    auto history = good_history();
    history.disturbances = {{at(0s), at(3s)}};
    history.calls.push_back(served_stream("served", 20s));
    history.calls[1].status = 503;
    history.calls[1].stamped = false;
    EXPECT_EQ(broken_promises(history), promises{"truthful refusals"});
}

// Guards against a checker that misses events that come twice, in another order or not at all.
TEST(promise_checker, finds_events_that_are_repeated_or_missing)
{
    for (auto const& body : {events(1, 3) + events(3, 8), events(1, 3) + events(5, 8)})
    {
        auto history = good_history();
        history.calls[0].body = body;
        EXPECT_EQ(broken_promises(history), promises{"events in order, once"});
    }
    auto history = good_history();
    history.calls[0].body = events(1, 5);
    EXPECT_EQ(broken_promises(history), promises{"whole answers"});
}

// Guards against a checker that excuses requests that planned work lost.
TEST(promise_checker, finds_a_request_that_was_lost_in_a_stable_stretch)
{
    auto history = good_history();
    history.calls[0].whole = false;
    EXPECT_EQ(broken_promises(history), promises{"planned work loses nothing"});
    history.disturbances = {{at(-2s), at(-1s)}};
    history.calls.push_back(served_stream("later", 20s));
    EXPECT_EQ(broken_promises(history), promises{});
}

// Guards against a checker that excuses refusals of other prompts by the crashing part, or of that
// part before it crashed anything.
TEST(promise_checker, excuses_only_refusals_of_a_part_that_has_crashed_an_engine)
{
    auto history = good_history();
    history.crashes = {{"engine-0.0", "c1", at(500ms)}};
    auto& call = history.calls[0];
    call.status = 503;
    call.stamped = false;
    call.body = "";
    history.runs.erase(history.runs.begin());
    EXPECT_EQ(broken_promises(history), promises{"planned work loses nothing"});
    call.has_crashing_part = true;
    EXPECT_EQ(broken_promises(history), promises{});
    call.status = 502;
    EXPECT_EQ(broken_promises(history), promises{"planned work loses nothing"});
    call.status = 503;
    history.crashes[0].at = at(1500ms);
    EXPECT_EQ(broken_promises(history), promises{"planned work loses nothing"});
}

// Guards against a checker that excuses a refusal while an upstream of the service took requests, a
// late one, or one of a request that ran.
TEST(promise_checker, excuses_only_refusals_at_once_while_no_upstream_took_the_call)
{
    auto history = good_history();
    auto& call = history.calls[0];
    call.status = 503;
    call.stamped = false;
    call.body = "";
    call.ended = call.started + 500ms;
    history.runs.erase(history.runs.begin());
    history.service_gaps = {{call_kind::booking, call.started - 1s, call.started + 1s}};
    EXPECT_EQ(broken_promises(history), promises{"planned work loses nothing"});
    history.service_gaps[0].kind = call_kind::stream;
    EXPECT_EQ(broken_promises(history), promises{});
    call.ended = call.started + 501ms;
    EXPECT_EQ(broken_promises(history), promises{"planned work loses nothing"});
    call.ended = call.started + 500ms;
    call.status = 504;
    EXPECT_EQ(broken_promises(history), promises{"planned work loses nothing"});
    call.status = 503;
    history.service_gaps[0].to = call.started - 2001ms;
    EXPECT_EQ(broken_promises(history), promises{"planned work loses nothing"});
    history.service_gaps[0] = {call_kind::stream, call.started + 1ms, call.started + 1s};
    EXPECT_EQ(broken_promises(history), promises{"planned work loses nothing"});
}

// Guards against a checker that misses a key that is served after its withdrawal.
TEST(promise_checker, finds_a_withdrawn_key_that_is_served)
{
    auto history = good_history();
    history.calls[0].key = second_key();
    history.key_changes = {{false, at(-4s)}};
    EXPECT_EQ(broken_promises(history), promises{"withdrawn keys"});
    history.key_changes.push_back({true, at(0s)});
    EXPECT_EQ(broken_promises(history), promises{});
}

// Guards against a checker that misses a limit that instances exceed together.
TEST(promise_checker, finds_more_bookings_in_one_window_than_the_limit_and_its_slack)
{
    soak_history history;
    for (int i = 0; i < 138; ++i)
    {
        history.calls.push_back(served_booking("b" + std::to_string(i), 50ms * i));
        history.calls.back().key = limited_key();
        history.runs.push_back({"desk-4.0", "b" + std::to_string(i), 0, at(50ms * i)});
    }
    EXPECT_EQ(broken_promises(history), promises{"limits over all instances"});
    // One fewer is within (10 * 8 + 10) * 1.1 + 38.
    history.calls.pop_back();
    history.runs.pop_back();
    EXPECT_EQ(broken_promises(history), promises{});
}

// Guards against a checker that misses requests that begin on replaced weights.
TEST(promise_checker, finds_a_run_on_replaced_weights)
{
    auto history = good_history();
    history.weights = {{2, at(-9s)}};
    EXPECT_EQ(broken_promises(history), promises{"weights in force"});
    history.weights = {{2, at(-7s)}};
    EXPECT_EQ(broken_promises(history), promises{});
}

// Guards against a checker that misses two holders of the duty.
TEST(promise_checker, finds_two_holders_of_one_fencing_token)
{
    auto history = good_history();
    history.orders = {{"engine-0.0", "gateway-0#a", 3, 2, at(1s)},
                      {"engine-1.0", "gateway-1#b", 3, 2, at(1s)}};
    EXPECT_EQ(broken_promises(history), promises{"one holder of the duty"});
}

// Guards against a checker that takes a stream for whole that ended inside an event.
TEST(promise_checker, finds_a_stream_that_ended_inside_an_event_and_looks_whole)
{
    auto history = good_history();
    history.calls[0].body = events(1, 3) + "id: 4\ndata: tok";
    EXPECT_EQ(broken_promises(history),
              promises{"no stream that ends inside an event looks whole"});
    history.calls[0].whole = false;
    history.disturbances = {{at(0s), at(2s)}};
    history.calls.push_back(served_stream("later", 20s));
    EXPECT_EQ(broken_promises(history), promises{});
}

// Guards against a checker that misses a crashing part that goes on being sent to engines.
TEST(promise_checker, finds_more_late_crashes_by_a_part_than_are_allowed)
{
    auto history = good_history();
    promise_bounds bounds;
    for (int i = 0; i < 5; ++i)
        history.crashes.push_back({"engine-0.0", "c" + std::to_string(i), at(100ms * i)});
    for (auto const time : {3400ms, 3401ms, 3500ms, 3600ms})
        history.crashes.push_back({"engine-1.0", "late", at(time)});
    EXPECT_EQ(count_late_crashes(history, bounds), 3U);
    EXPECT_EQ(broken_promises(history), promises{});
    bounds.late_crashes = 3;
    EXPECT_TRUE(check_promises(history, bounds).empty());
    bounds.late_crashes = 2;
    ASSERT_EQ(check_promises(history, bounds).size(), 1U);
    EXPECT_EQ(check_promises(history, bounds)[0].promise, "a crashing part is held back");
}

// Guards against a checker that takes a deployment for good that serves nothing.
TEST(promise_checker, finds_processes_that_ended_and_a_deployment_that_serves_nothing)
{
    auto history = good_history();
    history.exits = {{"gateway-1", -11}};
    EXPECT_EQ(broken_promises(history), promises{"no process ends by itself"});
    history = {};
    EXPECT_EQ(broken_promises(history), promises{"serves again"});
}

// Guards against a run that does not see an upstream that gets more requests than it named.
TEST(soak, notices_requests_beyond_the_limit_of_an_upstream)
{
    auto history = good_history();
    history.limits = {{"engine-9.0", 1, at(0s), at(20s)}};
    for (int i = 0; i < 12; ++i)
        history.runs.push_back({"engine-9.0", "run-" + std::to_string(i), 1, at(5s + i * 100ms)});
    EXPECT_EQ(broken_promises(history), std::vector<std::string>{"limits that upstreams name"});
    auto allowed = history;
    allowed.runs.pop_back();
    EXPECT_TRUE(broken_promises(allowed).empty());
    // Before all instances know of it, after its end, and around the outage of an instance.
    auto excused = history;
    excused.limits[0].from = at(4s);
    EXPECT_TRUE(broken_promises(excused).empty());
    excused = history;
    excused.limits[0].to = at(5s);
    EXPECT_TRUE(broken_promises(excused).empty());
    excused = history;
    excused.gateway_outages = {{at(1s), at(2s)}};
    EXPECT_TRUE(broken_promises(excused).empty());
}

// Guards against a checker that overlooks text that is joined from two software versions.
TEST(promise_checker, finds_a_stream_that_is_resumed_at_another_software_version)
{
    auto history = good_history();
    auto& call = history.calls[0];
    call.resumes = "begun";
    call.begun = "id: 1\ndata: token 1 v1\n\n";
    call.body.clear();
    for (int i = 2; i <= 8; ++i)
        call.body += "id: " + std::to_string(i) + "\ndata: token " + std::to_string(i) + " v1\n\n";
    EXPECT_TRUE(broken_promises(history).empty());
    call.body.replace(call.body.rfind("v1"), 2, "v2");
    EXPECT_EQ(broken_promises(history), std::vector<std::string>{"events in order, once"});
}

// Guards against a checker that compares nothing while the first event is incomplete, or that takes
// any text behind the tokens for a software version.
TEST(promise_checker, finds_wrong_bytes_in_an_incomplete_first_event_and_behind_tokens)
{
    auto history = good_history();
    history.calls.push_back(served_booking("later", 10s));
    history.runs.push_back({"desk-4.0", "later", 0, at(10s)});
    history.disturbances = {{at(0s), at(1500ms)}};
    auto& call = history.calls[0];
    call.whole = false;
    for (std::string const right : {"", "id: 1", "id: 1\ndata: tok", "id: 1\ndata: token 1 v1"})
    {
        call.body = right;
        EXPECT_TRUE(broken_promises(history).empty()) << right;
    }
    for (std::string const wrong : {"id: 5", "oops", "id: 1\ndata: token 1 oops",
                                    "id: 1\ndata: token 1 oops\n\nid: 2\ndata: token 2 oops\n\n"})
    {
        call.body = wrong;
        EXPECT_EQ(broken_promises(history), std::vector<std::string>{"events in order, once"})
            << wrong;
    }
}

// Guards against a checker that overlooks requests to an upstream that has said that it leaves.
TEST(promise_checker, finds_a_request_to_an_upstream_that_had_said_that_it_leaves)
{
    auto history = good_history();
    history.leaving = {{"desk-4.0", at(1500ms)}};
    history.calls.push_back(served_booking("soon", 3s));
    history.runs.push_back({"desk-4.0", "soon", 0, at(3s)});
    EXPECT_TRUE(broken_promises(history).empty());
    history.calls.push_back(served_booking("late", 5s));
    history.runs.push_back({"desk-4.0", "late", 0, at(5s)});
    EXPECT_EQ(broken_promises(history), std::vector<std::string>{"upstreams that leave"});
    history.calls.back().gateway = 1;
    EXPECT_TRUE(broken_promises(history).empty());
}

// Guards against a checker that overlooks requests to an upstream that wants none for some time.
TEST(promise_checker, finds_requests_to_an_upstream_that_wants_none)
{
    auto history = good_history();
    history.disturbances = {{at(3s), at(9s)}};
    auto refused = served_booking("refused", 3s);
    refused.status = 503;
    refused.stamped = false;
    history.calls.push_back(refused);
    history.rejected_for_now = {{"desk-4.0", "refused", at(3s)}};
    for (int i = 0; i < 3; ++i)
    {
        EXPECT_TRUE(broken_promises(history).empty());
        auto const id = "early-" + std::to_string(i);
        history.calls.push_back(served_booking(id, 4s));
        history.runs.push_back({"desk-4.0", id, 0, at(4s)});
    }
    EXPECT_EQ(broken_promises(history),
              std::vector<std::string>{"upstreams that want no requests"});
}

} // namespace
} // namespace savorymount::soak
