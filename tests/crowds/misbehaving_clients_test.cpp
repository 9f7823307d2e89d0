#include <gtest/gtest.h>

#include <cstddef>
#include <iostream>
#include <memory>
#include <string>
#include <tests/crowds/crowd_client.hpp>
#include <tests/crowds/descriptor_limit.hpp>
#include <tests/system/support/platform_deployment.hpp>
#include <vector>

namespace savorymount::tests
{
namespace
{

// Lowered, so that a crowd of some hundred connections is far more than the process may hold.
constexpr std::size_t memory_mb = 40;
constexpr std::size_t memory_bytes = memory_mb * 1'000'000;
constexpr std::size_t usual_descriptors = 1000;
constexpr std::size_t few_descriptors = 400;

// The limits of the configuration that the stand-in publishes.
constexpr std::size_t legal_head_bytes = 16'000;
constexpr std::size_t far_too_large_head_bytes = 200'000;
constexpr std::size_t small_body_bytes = 65'536;
constexpr std::size_t largest_body_bytes = std::size_t{4} * 1024 * 1024;

enum class crowd_port
{
    callers,
    ready,
    metrics
};

/// One crowd: where its connections go, how many there are, and what each of them sends.
struct crowd
{
    char const* name;
    crowd_port port;
    std::size_t connections;
    crowd_message message;
    std::size_t max_descriptors = usual_descriptors;
};

std::ostream& operator<<(std::ostream& out, crowd const& it)
{
    return out << it.name;
}

std::string caller_head(std::string const& target, std::string const& key = "key-a")
{
    return "POST " + target +
           " HTTP/1.1\r\nHost: chat.example\r\nX-Request-Id: crowd-{id}\r\nX-Deadline-Ms: 15000\r\n"
           "X-Model: crew\r\nX-Token-Count: 300,8\r\nX-Prompt-Prefix: aa:200,bb:100\r\n"
           "Authorization: Bearer " +
           key + "\r\n";
}

std::string routed()
{
    return caller_head("/p/chat");
}

std::string unrouted()
{
    return caller_head("/no-such-route");
}

std::string status_head()
{
    return "GET / HTTP/1.1\r\nHost: status.example\r\n";
}

std::string status_post()
{
    return "POST / HTTP/1.1\r\nHost: status.example\r\n";
}

/// Adds fields of a few bytes until the head has `bytes` bytes. It isn't ended.
std::string with_short_fields(std::string head, std::size_t bytes)
{
    while (head.size() < bytes)
        head += "a:b\r\n";
    return head;
}

std::string with_length(std::string const& head, std::size_t bytes)
{
    return head + "Content-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

/// A body that stops just short of its end.
crowd_message unfinished_body(std::string const& head, std::size_t bytes,
                              std::size_t piece_bytes = 0)
{
    constexpr std::size_t missing_bytes = 100;
    constexpr std::size_t block_bytes = 16'384;
    auto const sent_bytes = bytes - missing_bytes;
    crowd_message out{with_length(head, bytes) + std::string(sent_bytes % block_bytes, 'x'),
                      std::string(block_bytes, 'x'), sent_bytes / block_bytes};
    out.piece_bytes = piece_bytes;
    return out;
}

crowd_message body_far_over_the_limit(std::string const& head)
{
    constexpr std::size_t block_bytes = 65'536;
    return {with_length(head, 100 * largest_body_bytes), std::string(block_bytes, 'x'), 100};
}

/// A body in chunks of one byte that does not end.
crowd_message chunked_body(std::string const& head, std::size_t chunks)
{
    return {head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", chunks};
}

/// A body in chunks of 64 KiB that does not end.
crowd_message large_chunks(std::string const& head, std::size_t chunks)
{
    constexpr std::size_t chunk_bytes = 65'536;
    return {head + "Transfer-Encoding: chunked\r\n\r\n",
            "10000\r\n" + std::string(chunk_bytes, 'x') + "\r\n", chunks};
}

crowd_message requests_ahead(std::string const& request, std::size_t count)
{
    return {"", request, count};
}

/// Sends `bytes` of the head, one in each turn, and then nothing.
crowd_message slow_head(std::string const& head, std::size_t turns)
{
    crowd_message out{with_short_fields(head, legal_head_bytes)};
    out.piece_bytes = 1;
    out.max_turns = turns;
    return out;
}

crowd_message half_way(std::string const& head)
{
    auto out = unfinished_body(head, small_body_bytes);
    out.repeats /= 2;
    out.ends_sending = true;
    return out;
}

std::string echoed_booking(std::size_t bytes)
{
    return with_length(caller_head("/b/slot"), bytes) + std::string(bytes, 'x');
}

std::string refused_request()
{
    return with_length(caller_head("/p/chat", "no-such-key"), 0);
}

// NOTE: The crowds and their bounds stay as they are; a mended product passes them.
std::vector<crowd> all_crowds()
{
    using enum crowd_port;
    constexpr std::size_t status_head_bytes = 8000;
    return {
        {"routed_heads_of_short_fields",
         callers,
         600,
         {with_short_fields(routed(), legal_head_bytes)}},
        {"routed_heads_of_short_fields_before_a_body", callers, 600,
         unfinished_body(with_short_fields(routed(), legal_head_bytes), 1000)},
        {"routed_heads_far_over_the_limit",
         callers,
         600,
         {with_short_fields(routed(), far_too_large_head_bytes)}},
        {"routed_heads_sent_slowly", callers, 600, slow_head(routed(), 400)},
        {"routed_small_bodies", callers, 600, unfinished_body(routed(), small_body_bytes)},
        {"routed_small_bodies_in_pieces", callers, 600,
         unfinished_body(routed(), small_body_bytes, 4096)},
        {"routed_largest_bodies", callers, 100, unfinished_body(routed(), largest_body_bytes)},
        {"routed_bodies_far_over_the_limit", callers, 600, body_far_over_the_limit(routed())},
        {"routed_bodies_in_tiny_chunks", callers, 600, chunked_body(routed(), 10'000)},
        {"routed_bodies_in_endless_chunks", callers, 100, large_chunks(routed(), 200)},
        {"routed_bodies_left_half_way", callers, 600, half_way(routed())},
        {"routed_refused_requests_ahead", callers, 300, requests_ahead(refused_request(), 4000)},
        {"routed_answers_not_read",
         callers,
         300,
         {echoed_booking(100'000), echoed_booking(100'000), 20}},
        {"routed_largest_answers_not_read", callers, 100, {echoed_booking(1'000'000)}},
        {"unrouted_heads_of_short_fields",
         callers,
         600,
         {with_short_fields(unrouted(), legal_head_bytes)}},
        {"unrouted_small_bodies", callers, 600, unfinished_body(unrouted(), small_body_bytes)},
        {"unrouted_largest_bodies", callers, 100, unfinished_body(unrouted(), largest_body_bytes)},
        {"unrouted_bodies_in_tiny_chunks", callers, 600, chunked_body(unrouted(), 10'000)},
        {"unrouted_requests_ahead", callers, 300, requests_ahead(with_length(unrouted(), 0), 4000)},
        {"ready_heads_of_short_fields",
         ready,
         600,
         {with_short_fields(status_head(), status_head_bytes)}},
        {"ready_heads_far_over_the_limit", ready, 600, {with_short_fields(status_head(), 60'000)}},
        {"ready_heads_sent_slowly", ready, 600, slow_head(status_head(), 400)},
        {"ready_bodies", ready, 600, unfinished_body(status_post(), status_head_bytes)},
        {"ready_bodies_far_over_the_limit", ready, 300,
         unfinished_body(status_post(), largest_body_bytes)},
        {"ready_bodies_in_endless_chunks", ready, 300, large_chunks(status_post(), 50)},
        {"ready_requests_ahead", ready, 600, requests_ahead(status_head() + "\r\n", 4000)},
        {"metrics_heads_of_short_fields",
         metrics,
         600,
         {with_short_fields(status_head(), status_head_bytes)}},
        {"metrics_heads_far_over_the_limit",
         metrics,
         600,
         {with_short_fields(status_head(), 60'000)}},
        {"metrics_bodies_in_endless_chunks", metrics, 300, large_chunks(status_post(), 50)},
        {"metrics_requests_ahead", metrics, 600, requests_ahead(status_head() + "\r\n", 1000)},
        {"idle_connections_of_callers", callers, 600, {""}, few_descriptors},
        {"idle_connections_to_ready", ready, 600, {""}, few_descriptors},
        {"idle_connections_to_metrics", metrics, 600, {""}, few_descriptors},
    };
}

class misbehaving_clients : public testing::TestWithParam<crowd>
{
};

runtime::network_address const& address_of(platform_deployment const& system, crowd_port port)
{
    switch (port)
    {
    case crowd_port::callers:
        return system.http(0);
    case crowd_port::ready:
        return system.ready(0);
    case crowd_port::metrics:
        break;
    }
    return system.metrics(0);
}

// A quarter is left for upstreams, the store, peers and the other ports.
std::size_t descriptor_bound(std::size_t limit)
{
    return limit - limit / 4;
}

std::size_t memory_bound()
{
#ifdef __SANITIZE_ADDRESS__
    // The sanitizer keeps memory of its own, several times that of the program.
    return 10 * memory_bytes;
#else
    return memory_bytes;
#endif
}

// Guards against a gateway that ends, hangs, exceeds its memory or its descriptors, or serves no
// ordinary caller while a crowd holds its connections.
TEST_P(misbehaving_clients, leave_the_gateway_alive_within_its_bounds_and_serving)
{
    auto const& it = GetParam();
    std::unique_ptr<platform_deployment> system;
    {
        descriptor_limit const limit(it.max_descriptors);
        system = std::make_unique<platform_deployment>(
            1, std::vector<std::string>{"--memory-mb", std::to_string(memory_mb)});
    }
    crowd_client clients(address_of(*system, it.port), it.connections);
    clients.send(it.message);
    auto& gateway = system->gateway(0);
    ASSERT_TRUE(gateway.running());
    auto const descriptors = gateway.open_descriptors();
    EXPECT_LE(descriptors, descriptor_bound(it.max_descriptors));

    EXPECT_EQ(system->book(0, "ordinary").status, 200);
    EXPECT_EQ(system->client.request(system->ready(0), "GET", "/").status, 200);

    ASSERT_TRUE(gateway.running());
    auto const peak = gateway.peak_resident_bytes();
    EXPECT_LE(peak, memory_bound());
    std::cout << it.name << ": sent " << clients.sent_bytes() / 1'000'000 << " MB, peak "
              << peak / 1'000'000 << " MB, " << descriptors << " descriptors\n";
}

INSTANTIATE_TEST_SUITE_P(crowds, misbehaving_clients, testing::ValuesIn(all_crowds()),
                         [](auto const& it) { return std::string(it.param.name); });

} // namespace
} // namespace savorymount::tests
