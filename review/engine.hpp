#pragma once

// One engine of the users' services, and the entries that it writes to the platform's store.

#include "store.hpp"

#include <memory>

namespace review
{

struct engine_options
{
    std::string id;
    std::string service;
    std::string zone = "zone-a";
    /// Name of its model; empty for an engine of a plain service.
    std::string model;
};

/// A request that an engine has begun to run.
struct run
{
    connection& to;
    head const& request;
    std::string const& body;
    std::string id;
};

/// An engine that runs each request by a function of the test. It rejects what it must reject, so
/// the function gets only requests that it runs.
class engine
{
public:
    using work = std::function<void(run const&)>;

    engine(store& platform, engine_options options, work hook)
        : store_(platform), options_(std::move(options)), work_(std::move(hook)),
          server_([this](connection& to, head const& request, std::string const& body)
                  { handle(to, request, body); })
    {
    }

    std::string const& id() const { return options_.id; }
    int port() const { return server_.port(); }
    unsigned long version() const { return version_; }

    /// Writes its entry now and about every 1.2 s, until `remove`.
    void list()
    {
        {
            std::lock_guard const lock(mutex_);
            listed_ = true;
            write_entry();
        }
        std::thread([this] { write_again(); }).detach();
    }

    /// Removes its entry, as for an engine that has left without reporting `draining`.
    void remove()
    {
        std::lock_guard const lock(mutex_);
        listed_ = false;
        store_.put("keyed.servers", options_.id, "");
    }

    /// The process ends.
    void stop() { server_.stop(); }

    /// The header fields of each answer to a request that was run.
    headers stamped(std::string const& request_id) const
    {
        headers out{{"X-Request-Id", request_id},
                    {"X-Instance-Id", options_.id},
                    {"X-Response-Stamp", "stamp." + options_.id + "." + request_id}};
        if (!options_.model.empty())
            out.push_back({"X-Weight-Versions", std::to_string(version_)});
        return out;
    }

private:
    void write_again()
    {
        for (;;)
        {
            sleep_ms(1200);
            std::lock_guard const lock(mutex_);
            if (!listed_)
                return;
            write_entry();
        }
    }

    /// Its models, as its entry and its report show them.
    std::string models() const
    {
        if (options_.model.empty())
            return "[]";
        return "[{\"name\":\"" + options_.model +
               "\",\"version\":" + std::to_string(version_) + ",\"adapters\":[]}]";
    }

    void write_entry()
    {
        store_.put("keyed.servers", options_.id,
                   "{\"service\":\"" + options_.service + "\",\"address\":\"" + server_.address() +
                       "\",\"zone\":\"" + options_.zone +
                       "\",\"version\":\"1\",\"slots\":48,\"state\":\"ready\",\"coldLeftMs\":0," +
                       "\"stage\":\"both\",\"models\":" + models() +
                       ",\"sequence\":" + std::to_string(++sequence_) + ",\"born\":1764900000000}");
    }

    void handle(connection& to, head const& request, std::string const& body)
    {
        auto const expected = request.field("X-Expect-Instance");
        auto const request_id = request.field("X-Request-Id");
        if (request.target().rfind("/-/report", 0) == 0)
        {
            to.send(response(200, {{"X-Request-Id", request_id}},
                             "{\"stage\":\"both\",\"models\":" + models() +
                                 ",\"busy\":" + (loading_ ? "true" : "false") +
                                 ",\"sequence\":" + std::to_string(orders_) +
                                 ",\"waiting\":0,\"running\":0,\"kvUsed\":0,"
                                 "\"kvTotal\":90000,\"handles\":0}"));
            return;
        }
        if (!expected.empty() && expected != options_.id)
        {
            to.send(response(
                421, {{"X-Request-Id", request_id}, {"X-Instance-Id", options_.id}}, ""));
            return;
        }
        if (request.target().rfind("/-/order", 0) == 0)
        {
            to.send(response(take_order(body), {{"X-Request-Id", request_id}}, "{}"));
            return;
        }
        auto const expected_version = request.field("X-Expect-Version");
        if (!expected_version.empty() && expected_version != std::to_string(version_))
        {
            to.send(response(
                421, {{"X-Request-Id", request_id}, {"X-Instance-Id", options_.id}}, ""));
            return;
        }
        if (loading_)
        {
            to.send(response(
                503, {{"X-Request-Id", request_id}, {"X-Not-Executed", "1"}}, ""));
            return;
        }
        work_({to, request, body, request_id});
    }

    static unsigned long number_of(std::string const& body, char const* name)
    {
        auto const at = body.find("\"" + std::string(name) + "\":");
        return at == std::string::npos
                   ? 0
                   : std::strtoul(body.c_str() + at + std::strlen(name) + 3, nullptr, 10);
    }

    /// The status of the answer to an order. The weights are in place 0.57 s later.
    int take_order(std::string const& body)
    {
        std::lock_guard const lock(mutex_);
        auto const fence = number_of(body, "fence");
        auto const version = number_of(body, "version");
        if (fence < fence_)
            return 412;
        if (version == version_)
            return 200;
        if (loading_ || number_of(body, "precondition") != orders_)
            return 409;
        fence_ = fence;
        ++orders_;
        loading_ = true;
        std::thread(
            [this, version]
            {
                sleep_ms(570);
                std::lock_guard const loaded(mutex_);
                version_ = version;
                loading_ = false;
                if (listed_)
                    write_entry();
            })
            .detach();
        return 202;
    }

    store& store_;
    engine_options options_;
    work work_;
    server server_;
    std::mutex mutex_;
    bool listed_ = false;
    unsigned sequence_ = 0;
    unsigned long fence_ = 0;
    std::atomic<unsigned long> orders_{0};
    std::atomic<unsigned long> version_{1};
    std::atomic<bool> loading_{false};
};

/// A route of the configuration.
struct route
{
    std::string path_prefix;
    std::string kind;
    std::string service;
    int timeout_ms;
    bool prompts = false;
};

inline constexpr char const* host = "review.example";
inline constexpr char const* api_key = "key-of-the-review";
inline constexpr char const* model = "model-1";

/// The operator names weights of the model: its write as the store executes it.
inline void name_version(store& platform, unsigned version)
{
    platform.put("keyed.op", std::string("version/") + model,
                 std::string("{\"model\":\"") + model +
                     "\",\"version\":" + std::to_string(version) + "}");
}

/// Writes the first configuration and the first version of the model.
inline void configure(store& platform, std::vector<route> const& routes, int max_attempts = 1)
{
    std::string list;
    std::string services;
    std::set<std::string> named;
    for (auto const& it : routes)
    {
        list += std::string(list.empty() ? "" : ",") + "{\"name\":\"" + it.service +
                std::to_string(list.size()) + "\",\"host\":\"" + host + "\",\"pathPrefix\":\"" +
                it.path_prefix + "\",\"kind\":\"" + it.kind +
                "\",\"timeoutMs\":" + std::to_string(it.timeout_ms) +
                ",\"targetLatencyMs\":500,\"priority\":0,\"service\":\"" + it.service +
                "\",\"maxAttempts\":" + std::to_string(max_attempts) +
                ",\"public\":false,\"sticky\":" + (it.prompts ? "true" : "false") +
                ",\"resumable\":false,\"gapAimMs\":400}";
        if (!named.insert(it.service).second)
            continue;
        services += std::string(services.empty() ? "" : ",") + "{\"name\":\"" + it.service +
                    "\",\"healthPath\":\"/health\",\"maxConns\":290,\"protocol\":\"h1\"" +
                    (it.prompts ? ",\"engine\":{\"slots\":48,\"kvTokens\":94101}" : "") + "}";
    }
    platform.put("keyed.op", "config",
                 "{\"version\":1,\"routes\":[" + list + "],\"services\":[" + services +
                     "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
                     "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":"
                     "\"tenant-1\",\"apiKeys\":[\"" +
                     api_key +
                     "\"],\"priority\":1,\"unit\":\"token\",\"plainTokens\":200,\"isolated\":false,"
                     "\"ratePerS\":0,\"burst\":0}]}");
    name_version(platform, 1);
}

/// The head of a client's request.
inline std::string request_head(std::string const& method, std::string const& target,
                                std::string const& id, int deadline_ms, headers const& more = {},
                                std::size_t body_bytes = 0)
{
    auto out = method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: " + id +
               "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) +
               "\r\nAuthorization: Bearer " + api_key + "\r\n";
    for (auto const& it : more)
        out += it.first + ": " + it.second + "\r\n";
    if (body_bytes > 0 || method != "GET")
        out += "Content-Length: " + std::to_string(body_bytes) + "\r\n";
    return out + "\r\n";
}

} // namespace review
