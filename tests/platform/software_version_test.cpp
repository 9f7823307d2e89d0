#include <gtest/gtest.h>

#include <tests/libraries/runtime/scripted_server.hpp>
#include <tests/platform/request_harness.hpp>

namespace savorymount::tests
{
namespace
{

using afterwards = scripted_server::afterwards;

std::string events(int first, int last)
{
    std::string out;
    for (int i = first; i <= last; ++i)
        out += "id: " + std::to_string(i) + "\ndata: token\n\n";
    return out;
}

std::string stream_head(std::string const& id, std::size_t length)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: " + id +
           "\r\nX-Response-Stamp: s\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

std::string whole_stream(std::string const& id, int first, int last)
{
    auto const body = events(first, last);
    return stream_head(id, body.size()) + body;
}

std::string broken_stream(std::string const& id, int last)
{
    return stream_head(id, 100'000) + events(1, last);
}

std::string resumption(std::string const& id, std::string const& resumes)
{
    return "POST /stream/ask HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id +
           "\r\nLast-Event-Id: 2\r\nResumes: " + resumes + "\r\nContent-Length: 2\r\n\r\n{}";
}

// Guards against an answer whose text is joined from two software versions, since the stream that
// broke off went on at an engine of another one.
TEST(software_version, a_stream_that_breaks_off_does_not_go_on_at_another_version)
{
    request_harness system;
    scripted_server broken(system.loop, {broken_stream("r", 2)}, afterwards::reset);
    scripted_server other(system.loop, {whole_stream("r", 3, 4)}, afterwards::keep);
    system.add_upstream("broken", "engines", broken.address(), "v1");
    auto const caller = system.send("/stream/ask", "r");
    system.run_until([&] { return broken.connections() > 0; });
    system.add_upstream("other", "engines", other.address(), "v2");
    system.run_until_ended(1);
    EXPECT_EQ(system.outcomes[0].end, gateway::request_end::failed);
    EXPECT_EQ(other.requests(), 0U);
}

// Guards against a stream that ends early although an engine of its software version serves.
TEST(software_version, a_stream_that_breaks_off_goes_on_at_its_version)
{
    request_harness system;
    scripted_server broken(system.loop, {broken_stream("r", 2)}, afterwards::reset);
    scripted_server other(system.loop, {whole_stream("r", 3, 4)}, afterwards::keep);
    scripted_server same(system.loop, {whole_stream("r", 3, 4)}, afterwards::keep);
    system.add_upstream("broken", "engines", broken.address(), "v1");
    auto const caller = system.send("/stream/ask", "r");
    system.run_until([&] { return broken.connections() > 0; });
    system.add_upstream("other", "engines", other.address(), "v2");
    system.add_upstream("same", "engines", same.address(), "v1");
    system.run_until_ended(1);
    EXPECT_EQ(system.outcomes[0].end, gateway::request_end::answered);
    EXPECT_EQ(same.requests(), 1U);
    EXPECT_EQ(other.requests(), 0U);
}

// Guards against text that is joined from two software versions when a caller resumes a stream.
TEST(software_version, a_stream_that_its_caller_resumes_goes_on_at_its_version)
{
    for (std::string const version : {"v1", "v2"})
    {
        request_harness system;
        scripted_server first(system.loop, {whole_stream("begun", 1, 4)}, afterwards::keep);
        system.add_upstream("first", "engines", first.address(), version);
        auto const caller = system.send("/stream/ask", "begun");
        system.run_until_ended(1);
        system.cluster.upstream_unlisted(system.timers.now(), "first");
        scripted_server one(system.loop, {whole_stream("again", 3, 4)}, afterwards::keep);
        scripted_server two(system.loop, {whole_stream("again", 3, 4)}, afterwards::keep);
        system.add_upstream("one", "engines", one.address(), "v1");
        system.add_upstream("two", "engines", two.address(), "v2");
        auto const again = system.connect();
        again->send(resumption("again", "begun"));
        system.run_until_ended(2);
        EXPECT_EQ(system.outcomes[1].end, gateway::request_end::answered);
        EXPECT_EQ(system.outcomes[1].software_version, version);
    }
}

// Guards against text that is joined from two software versions because nobody knows which one
// began the stream, as after all instances were killed.
TEST(software_version, a_stream_of_an_unknown_version_is_refused)
{
    request_harness system;
    scripted_server one(system.loop, {whole_stream("again", 3, 4)}, afterwards::keep);
    scripted_server two(system.loop, {whole_stream("again", 3, 4)}, afterwards::keep);
    system.add_upstream("one", "engines", one.address(), "v1");
    system.add_upstream("two", "engines", two.address(), "v2");
    auto const caller = system.connect();
    caller->send(resumption("again", "begun"));
    system.run_until_ended(1);
    EXPECT_EQ(system.outcomes[0].end, gateway::request_end::refused);
    EXPECT_EQ(system.outcomes[0].status, 503);
    EXPECT_EQ(one.requests() + two.requests(), 0U);
}

// Guards against text of two versions from an upstream that has started anew under its id.
TEST(software_version, a_stream_does_not_go_on_at_an_upstream_that_started_anew_at_another_version)
{
    request_harness system;
    scripted_server broken(system.loop, {broken_stream("r", 2)}, afterwards::reset);
    scripted_server other(system.loop, {whole_stream("r", 3, 4)}, afterwards::keep);
    system.add_upstream("broken", "engines", broken.address(), "v1");
    auto const caller = system.send("/stream/ask", "r");
    system.run_until([&] { return broken.connections() > 0; });
    system.add_upstream("other", "engines", other.address(), "v1");
    system.unread_changes = [&]
    {
        system.add_upstream("other", "engines", other.address(), "v2");
    };
    system.run_until_ended(1);
    EXPECT_EQ(system.outcomes[0].end, gateway::request_end::failed);
    EXPECT_EQ(other.requests(), 0U);
}

// Guards against a stream that ends because the store does not answer.
TEST(software_version, a_stream_that_breaks_off_goes_on_while_the_list_cannot_be_read)
{
    request_harness system;
    scripted_server broken(system.loop, {broken_stream("r", 2)}, afterwards::reset);
    scripted_server same(system.loop, {whole_stream("r", 3, 4)}, afterwards::keep);
    system.add_upstream("broken", "engines", broken.address(), "v1");
    auto const caller = system.send("/stream/ask", "r");
    system.run_until([&] { return broken.connections() > 0; });
    system.add_upstream("same", "engines", same.address(), "v1");
    system.stored_streams.reset();
    system.run_until_ended(1);
    EXPECT_EQ(system.outcomes[0].end, gateway::request_end::answered);
}

// Guards against text of two versions when an origin is found before the list is read.
TEST(software_version, a_stream_found_in_the_store_waits_for_the_list)
{
    request_harness system;
    scripted_server one(system.loop, {whole_stream("again", 3, 4)}, afterwards::keep);
    system.add_upstream("one", "engines", one.address(), "v1");
    system.stored_streams->origins = {{streams::stream_key("begun"), "engines", "v1"}};
    system.unread_changes = [&]
    {
        system.add_upstream("one", "engines", one.address(), "v2");
    };
    system.delay_list_reads(std::chrono::milliseconds(30));
    auto const caller = system.connect();
    caller->send(resumption("again", "begun"));
    system.run_until_ended(1);
    EXPECT_EQ(one.requests(), 0U);
    EXPECT_EQ(system.outcomes[0].status, 503);
}

// Guards against refusing a stream although an upstream of its version has just joined.
TEST(software_version, a_stream_found_in_the_store_goes_on_at_an_upstream_that_has_just_joined)
{
    request_harness system;
    scripted_server one(system.loop, {whole_stream("again", 3, 4)}, afterwards::keep);
    scripted_server two(system.loop, {whole_stream("again", 3, 4)}, afterwards::keep);
    system.add_upstream("one", "engines", one.address(), "v1");
    system.stored_streams->origins = {{streams::stream_key("begun"), "engines", "v2"}};
    system.unread_changes = [&]
    {
        system.add_upstream("two", "engines", two.address(), "v2");
    };
    system.delay_list_reads(std::chrono::milliseconds(30));
    auto const caller = system.connect();
    caller->send(resumption("again", "begun"));
    system.run_until_ended(1);
    EXPECT_EQ(system.outcomes[0].status, 200) << system.outcomes[0].reason;
    EXPECT_EQ(two.requests(), 1U);
}

// Guards against text of two versions when the upstream that began a stream had started anew under
// its id before its entry was read.
TEST(software_version, a_stream_begun_at_an_upstream_of_an_outdated_version_does_not_go_on)
{
    request_harness system;
    scripted_server broken(system.loop, {broken_stream("r", 2)}, afterwards::reset);
    scripted_server other(system.loop, {whole_stream("r", 3, 4)}, afterwards::keep);
    system.add_upstream("broken", "engines", broken.address(), "v1");
    system.unread_changes = [&]
    {
        system.add_upstream("broken", "engines", broken.address(), "v2");
    };
    auto const caller = system.send("/stream/ask", "r");
    system.run_until([&] { return broken.connections() > 0; });
    system.add_upstream("other", "engines", other.address(), "v1");
    system.run_until_ended(1);
    EXPECT_EQ(other.requests(), 0U);
}

// Guards against text of two services when a route moved between a stream and its resumption.
TEST(software_version, a_stream_does_not_go_on_at_the_service_to_which_its_route_has_moved)
{
    request_harness system;
    scripted_server one(system.loop, {whole_stream("again", 3, 4)}, afterwards::keep);
    scripted_server two(system.loop, {whole_stream("again", 3, 4)}, afterwards::keep);
    system.add_upstream("one", "engines", one.address(), "v1");
    system.add_upstream("two", "desk", two.address(), "v7");
    auto data = system.cluster.deployment()->data();
    data.version = 2;
    data.routes[2].shares = {{"desk", 1.0}};
    system.cluster.apply_deployment(system.timers.now(), data);
    auto const caller = system.connect();
    caller->send(resumption("again", "begun"));
    system.run_until_ended(1);
    EXPECT_EQ(two.requests(), 0U) << system.outcomes[0].origin_source;
}

// Guards against text of two services when a stream of a split route is resumed at another
// instance, which draws the service anew; and against refusing the stream although its origin is
// recorded.
TEST(software_version, a_stream_of_a_split_route_goes_on_at_its_recorded_service_only)
{
    for (bool const is_recorded : {false, true})
    {
        request_harness system;
        scripted_server one(system.loop, {whole_stream("again", 3, 4)}, afterwards::keep);
        scripted_server two(system.loop, {whole_stream("again", 3, 4)}, afterwards::keep);
        system.add_upstream("one", "engines", one.address(), "v1");
        system.add_upstream("two", "desk", two.address(), "v7");
        auto data = system.cluster.deployment()->data();
        data.version = 2;
        data.routes[2].shares = {{"engines", 1.0}, {"desk", 1.0}};
        system.cluster.apply_deployment(system.timers.now(), data);
        if (is_recorded)
            system.stored_streams->origins = {{streams::stream_key("begun"), "engines", "v1"}};
        auto const caller = system.connect();
        caller->send(resumption("again", "begun"));
        system.run_until_ended(1);
        EXPECT_EQ(system.outcomes[0].status, is_recorded ? 200 : 503);
        EXPECT_EQ(one.requests(), is_recorded ? 1U : 0U);
        EXPECT_EQ(two.requests(), 0U);
    }
}

// Guards against refusing streams of a route that moved so long ago that all its former streams
// have ended.
TEST(software_version, a_stream_goes_on_when_its_route_has_moved_long_ago)
{
    request_harness system({}, {}, std::chrono::milliseconds(0));
    auto data = system.cluster.deployment()->data();
    data.version = 2;
    data.routes[2].shares = {{"desk", 1.0}};
    data.routes[2].timeout = std::chrono::seconds(5);
    auto const moved_at = system.timers.now() - std::chrono::seconds(5);
    system.cluster.apply_deployment(moved_at, data);
    scripted_server one(system.loop, {whole_stream("again", 3, 4)}, afterwards::keep);
    scripted_server two(system.loop, {whole_stream("again", 3, 4)}, afterwards::keep);
    system.add_upstream("one", "engines", one.address(), "v1");
    system.add_upstream("two", "desk", two.address(), "v7");
    auto const caller = system.connect();
    caller->send(resumption("again", "begun"));
    system.run_until_ended(1);
    EXPECT_EQ(system.outcomes[0].status, 200) << system.outcomes[0].reason;
    EXPECT_EQ(two.requests(), 1U);
}

// Guards against refusing a stream of another instance although there is one version only.
TEST(software_version, a_stream_of_elsewhere_goes_on_while_all_upstreams_have_one_version)
{
    request_harness system;
    scripted_server one(system.loop, {whole_stream("again", 3, 4)}, afterwards::keep);
    system.add_upstream("one", "engines", one.address(), "v1");
    auto const caller = system.connect();
    caller->send(resumption("again", "begun"));
    system.run_until_ended(1);
    EXPECT_EQ(system.outcomes[0].end, gateway::request_end::answered);
    EXPECT_EQ(system.outcomes[0].origin_source, "only_version");
}

// Guards against an instance that was cut off from the store and takes the only version that it has
// seen for the only one there is.
TEST(software_version, a_stream_of_elsewhere_is_refused_while_the_list_cannot_be_read)
{
    request_harness system;
    scripted_server one(system.loop, {whole_stream("again", 3, 4)}, afterwards::keep);
    system.add_upstream("one", "engines", one.address(), "v1");
    system.stored_streams.reset();
    auto const caller = system.connect();
    caller->send(resumption("again", "begun"));
    system.run_until_ended(1);
    EXPECT_EQ(system.outcomes[0].end, gateway::request_end::refused);
    EXPECT_EQ(system.outcomes[0].status, 503);
    EXPECT_EQ(one.requests(), 0U);
}

} // namespace
} // namespace savorymount::tests
