#pragma once

#include "platform/request_codec.hpp"
#include <savorymount/gateway/gateway_request.hpp>
#include <savorymount/runtime/inbound_server.hpp>

#include <functional>
#include <memory>
#include <string>
#include <tests/libraries/runtime/raw_client.hpp>
#include <utility>
#include <vector>

namespace savorymount::tests
{

/// The gateway's request path in one process: real connections on both sides, without the store.
/// There are three routes: /safe/ and /unsafe/ lead to the service "desk", /stream/ to "engines".
class request_harness
{
public:
    explicit request_harness(gateway::response_limits limits = {},
                             runtime::outbound_options options = {},
                             base::duration timeout = std::chrono::seconds(20))
        : responses(limits), pool_(loop, timers, std::move(options))
    {
        platform.decode_request = platform::decode_request;
        platform.encode_upstream_request = platform::encode_upstream_request;
        platform.decode_response_metadata = platform::decode_response_metadata;
        platform.response_headers = platform::response_headers;
        platform.read_upstreams = [this]
        {
            if (!stored_streams)
                return;
            if (unread_changes)
                std::exchange(unread_changes, nullptr)();
            streams_.upstreams_read(timers.now());
        };
        platform.read_streams = [this](std::string const&, auto callback)
        {
            callback(stored_streams);
        };
        platform.write_stream_origins =
            [](std::string const&, streams::origin_record const&, auto callback)
        {
            callback(gateway::append_outcome::accepted);
        };
        platform.write_stream_versions =
            [](std::string const&, std::vector<streams::service_version> const&, auto callback)
        {
            callback(gateway::append_outcome::accepted);
        };
        cluster.apply_deployment(timers.now(), make_deployment(timeout));
        streams_.start();
        base::error reason;
        port_ = *server_.listen({"127.0.0.1", 0}, reason);
    }

    void add_upstream(std::string const& id, std::string const& service,
                      runtime::network_address const& address,
                      std::string const& software_version = "v1")
    {
        membership::upstream_record record;
        record.id = id;
        record.service = service;
        record.address = to_string(address);
        record.data_centre = "dc";
        record.slots = 100;
        record.software_version = software_version;
        cluster.upstream_listed(timers.now(), std::move(record));
    }

    std::unique_ptr<raw_client> connect() { return std::make_unique<raw_client>(loop, port_); }

    static std::string request(std::string const& target, std::string const& id)
    {
        return "POST " + target + " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id +
               "\r\nContent-Length: 2\r\n\r\n{}";
    }

    /// Sends a request on a connection of its own.
    std::unique_ptr<raw_client> send(std::string const& target, std::string const& id)
    {
        auto out = connect();
        out->send(request(target, id));
        return out;
    }

    /// Each read of the list of upstreams takes this time.
    void delay_list_reads(base::duration delay)
    {
        platform.read_upstreams = [this, delay, read = platform.read_upstreams]
        {
            list_timer_ = timers.after(delay, read);
        };
    }

    /// Runs the loop until so many requests have ended.
    void run_until_ended(std::size_t count)
    {
        run_until([this, count] { return outcomes.size() >= count; });
    }

    /// Runs the loop until `finished` holds; a hang ends with the test's own limit.
    void run_until(std::function<bool()> const& finished)
    {
        while (!finished())
            event_base_loop(loop.base(), EVLOOP_ONCE);
    }

    runtime::event_loop loop;
    runtime::timer_service timers{loop};
    base::random_source random{1};
    gateway::cluster_state cluster{make_settings(), timers.now()};
    gateway::platform_adapter platform;
    gateway::response_memory responses;
    std::vector<gateway::request_outcome> outcomes;
    /// What the next read of the list of upstreams brings.
    std::function<void()> unread_changes;
    /// What the store holds about streams; empty if the store does not answer.
    std::optional<streams::stored_origins> stored_streams = streams::stored_origins{};

private:
    static gateway::gateway_settings make_settings()
    {
        gateway::gateway_settings out;
        out.instance = "local";
        out.data_centre = "dc";
        out.first_start = true;
        out.retries.slack = 1000;
        return out;
    }

    static configuration::service_route make_route(std::string const& path,
                                                   configuration::repeat_rule kind,
                                                   std::string const& service,
                                                   base::duration timeout)
    {
        configuration::service_route out;
        out.name = path;
        out.host = "h.example";
        out.path_prefix = path;
        out.kind = kind;
        out.timeout = timeout;
        out.shares = {{service, 1.0}};
        out.max_attempts = 3;
        out.open = true;
        out.resumable = true;
        return out;
    }

    static configuration::deployment make_deployment(base::duration timeout)
    {
        using configuration::repeat_rule;
        configuration::deployment out;
        out.version = 1;
        out.routes = {make_route("/safe/", repeat_rule::safe, "desk", timeout),
                      make_route("/unsafe/", repeat_rule::unsafe, "desk", timeout),
                      make_route("/stream/", repeat_rule::streaming, "engines", timeout)};
        for (char const* name : {"desk", "engines"})
            out.services[name].name = name;
        return out;
    }

    runtime::timer_service::subscription list_timer_;
    runtime::outbound_pool pool_;
    gateway::stream_directory streams_{timers, cluster, platform,
                                       []
                                       {
                                           return true;
                                       }};
    gateway::request_admission admission_{timers, cluster, random};
    gateway::gateway_context context_{timers,
                                      pool_,
                                      cluster,
                                      platform,
                                      random,
                                      responses,
                                      streams_,
                                      admission_,
                                      [this](gateway::request_outcome const& it)
                                      {
                                          outcomes.push_back(it);
                                      }};
    runtime::inbound_server server_{
        loop, timers,
        [this](std::shared_ptr<runtime::inbound_connection> client, runtime::http_request&& it)
        {
            std::make_shared<gateway::gateway_request>(context_, std::move(client), std::move(it))
                ->start();
        }};
    std::uint16_t port_ = 0;
};

} // namespace savorymount::tests
