#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <tests/system/support/deployment.hpp>
#include <thread>

namespace savorymount::tests
{
namespace
{

using namespace std::chrono_literals;

/// The parts of an answer that a caller relies on.
std::string describe(std::string const& title, caller_answer const& answer)
{
    std::string out = "== " + title + "\n" + std::to_string(answer.status) + "\n";
    for (std::string const name :
         {"content-type", "retry-after", "x-savorymount-execution", "x-savorymount-request-id"})
    {
        auto const value = answer.header(name);
        if (!value.empty())
            out.append(name).append(": ").append(value).append("\n");
    }
    return out + "\n" + answer.body + "\n";
}

std::string read_file(std::string const& path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

// Guards against any change of what callers see: a whole session must match the golden file byte
// for byte. SAVORYMOUNT_UPDATE_GOLDEN=1 writes the file anew.
TEST(session, matches_the_golden_file)
{
    deployment system({.engines = 1, .services = 1, .entries = 1});
    auto const& fresh = system.add_entry();
    while (system.status(fresh.status_address)["upstreams"] != 2)
        std::this_thread::sleep_for(20ms);
    auto& client = system.client();
    std::string session;
    session += describe("booking without a key",
                        client.request(fresh.http, "POST", "/bookings", {}, "{}"));
    session +=
        describe("path without a route", client.request(fresh.http, "GET", "/nowhere",
                                                        {{"x-api-key", system.key("large")}}));
    auto const booking = system.book(1, "large");
    client.wait({booking});
    session += describe("booking", *booking);
    auto const prompt = system.prompt(1, "large", {"house rules", "client"}, false, 4);
    client.wait({prompt});
    session += describe("prompt", *prompt);
    auto const stream = system.prompt(1, "large", {"house rules", "client"}, true, 4);
    client.wait({stream});
    session += describe("streamed prompt", *stream);
    auto const body = R"({"model":"other","messages":[{"role":"user","content":"x"}]})";
    session += describe("unknown model",
                        client.request(fresh.http, "POST", "/v1/chat/completions",
                                       {{"authorization", "Bearer " + system.key("large")}}, body));
    std::string const path = std::string(SAVORYMOUNT_SOURCE_FOLDER) + "/tests/golden/session.txt";
    if (std::getenv("SAVORYMOUNT_UPDATE_GOLDEN") != nullptr)
        std::ofstream(path) << session;
    EXPECT_EQ(session, read_file(path));
}

} // namespace
} // namespace savorymount::tests
