#pragma once

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tests/system/support/gateway_arguments.hpp>
#include <tests/system/support/output_line.hpp>
#include <tests/system/support/process.hpp>
#include <tests/system/support/test_client.hpp>
#include <unistd.h>
#include <utility>
#include <vector>

namespace savorymount::tests
{

/// The stand-in of the users' platform and some gateways, all as processes of their own.
class platform_deployment
{
public:
    explicit platform_deployment(std::size_t gateways,
                                 std::vector<std::string> gateway_options = {},
                                 std::map<std::string, std::string> settings = {},
                                 std::size_t engines = 2)
        : gateway_options_(std::move(gateway_options)), settings_(std::move(settings)),
          platform_("savorymount-users-platform-stand-in",
                    {"--port", "0", "--engines", std::to_string(engines)}),
          store_{"127.0.0.1", port_of(platform_.wait_for_field("listening", "port"))}
    {
        for (std::size_t i = 0; i < gateways; ++i)
            start_gateway(i);
    }

    ~platform_deployment() { unlink(settings_path_.c_str()); }
    platform_deployment(platform_deployment const&) = delete;
    platform_deployment& operator=(platform_deployment const&) = delete;

    void start_gateway(std::size_t index)
    {
        auto const name = "gateway-" + std::to_string(index);
        write_settings(settings_);
        setenv("SAVORYMOUNT_SETTINGS", settings_path_.c_str(), 1);
        process started("savorymount-gateway",
                        gateway_arguments(name, to_string(store_), true, gateway_options_));
        unsetenv("SAVORYMOUNT_SETTINGS");
        metrics_.push_back(
            {"127.0.0.1", port_of(started.wait_for_field("name=started", "metrics"))});
        http_.push_back({"127.0.0.1", port_of(started.wait_for_field("name=started", "http"))});
        ready_.push_back({"127.0.0.1", port_of(started.wait_for_field("name=started", "ready"))});
        gateways_.push_back(std::move(started));
        wait_until([this, index]
                   { return client.request(ready_[index], "GET", "/").status == 200; });
    }

    /// Replaces the settings file of the gateways: lines `SAVORYMOUNT_NAME=value`.
    void write_settings(std::map<std::string, std::string> const& settings)
    {
        {
            std::ofstream out(settings_path_ + ".new");
            for (auto const& [name, value] : settings)
                out << name << "=" << value << "\n";
        }
        std::rename((settings_path_ + ".new").c_str(), settings_path_.c_str());
    }

    /// Asks again and again until `holds`; a hang ends with the test's own limit.
    template <typename Condition>
    void wait_until(Condition holds)
    {
        while (!holds())
            usleep(20'000);
    }

    /// Whether a gateway has noted that the list lacks this upstream.
    bool unlisted(std::size_t gateway, std::string const& upstream)
    {
        return gateways_[gateway].output().find("name=upstream_unlisted upstream=" + upstream) !=
               std::string::npos;
    }

    /// Waits until a gateway has written a line with this text.
    void wait_for_line(std::size_t gateway, std::string const& text)
    {
        wait_until([&] { return gateways_[gateway].output().find(text) != std::string::npos; });
    }

    void control(nlohmann::json const& body)
    {
        ASSERT_EQ(client.request(store_, "POST", "/control", {}, body.dump()).status, 200);
    }

    nlohmann::json state() { return client.request(store_, "GET", "/state").json(); }

    /// The keys that a topic of the store holds.
    std::set<std::string> records(std::string const& topic)
    {
        auto const page =
            client.request(store_, "GET", "/-/log-newest?topic=" + topic + "&part=0").json();
        std::set<std::string> out;
        for (auto const& it : page["items"])
            out.insert(it["key"].get<std::string>());
        return out;
    }

    process& platform() { return platform_; }

    runtime::http_headers headers(std::string const& id, std::string const& key) const
    {
        return {{"Host", "chat.example"},          {"X-Request-Id", id},
                {"X-Deadline-Ms", "15000"},        {"X-Model", "crew"},
                {"X-Token-Count", "300,8"},        {"X-Prompt-Prefix", "aa:200,bb:100"},
                {"Authorization", "Bearer " + key}};
    }

    std::shared_ptr<caller_answer> prompt(std::size_t gateway, std::string const& id,
                                          std::string const& key = "key-a")
    {
        return client.start(http_[gateway], "POST", "/p/chat", headers(id, key), "text of " + id);
    }

    std::shared_ptr<caller_answer> start_booking(std::size_t gateway, std::string const& id)
    {
        return client.start(http_[gateway], "POST", "/b/slot", headers(id, "key-a"), "{}");
    }

    /// Resumes a stream behind its second event.
    std::shared_ptr<caller_answer> resume(std::size_t gateway, std::string const& id,
                                          std::string const& resumed)
    {
        auto fields = headers(id, "key-a");
        fields.push_back({"Last-Event-Id", "2"});
        fields.push_back({"Resumes", resumed});
        return client.start(http_[gateway], "POST", "/p/chat", fields, "text of " + id);
    }

    caller_answer book(std::size_t gateway, std::string const& id, std::string const& key = "key-a")
    {
        return client.request(http_[gateway], "POST", "/b/slot", headers(id, key), "{}");
    }

    runtime::network_address const& http(std::size_t index) const { return http_[index]; }
    runtime::network_address const& metrics(std::size_t index) const { return metrics_[index]; }
    runtime::network_address const& ready(std::size_t index) const { return ready_[index]; }
    process& gateway(std::size_t index) { return gateways_[index]; }

    test_client client;

private:
    static std::string new_settings_path()
    {
        static int files = 0;
        return testing::TempDir() + "savorymount-gateways-" + std::to_string(getpid()) + "-" +
               std::to_string(++files);
    }

    std::vector<std::string> gateway_options_;
    std::map<std::string, std::string> settings_;
    std::string settings_path_ = new_settings_path();
    process platform_;
    runtime::network_address store_;
    std::vector<process> gateways_;
    std::vector<runtime::network_address> http_;
    std::vector<runtime::network_address> ready_;
    std::vector<runtime::network_address> metrics_;
};

/// What a caller receives of a whole stream.
inline std::string whole_stream()
{
    std::string out;
    for (int i = 1; i <= 8; ++i)
        out += "id: " + std::to_string(i) + "\ndata: token " + std::to_string(i) + "\n\n";
    return out;
}

} // namespace savorymount::tests
