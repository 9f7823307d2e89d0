#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <tests/system/support/gateway_arguments.hpp>
#include <tests/system/support/process.hpp>

namespace savorymount::tests
{
namespace
{

struct tool_result
{
    int code = 0;
    std::string output;
};

tool_result run_tool(std::vector<std::string> const& arguments)
{
    process tool("savorymountctl", arguments);
    int const code = tool.wait();
    return {code, tool.output()};
}

/// A log of a gateway, removed at the end.
class log_file
{
public:
    log_file(std::string const& name, std::string const& text) : path_(testing::TempDir() + name)
    {
        std::ofstream(path_) << text;
    }
    ~log_file() { std::filesystem::remove(path_); }
    log_file(log_file const&) = delete;
    log_file& operator=(log_file const&) = delete;

    std::string const& path() const { return path_; }

private:
    std::string path_;
};

std::string line(std::string const& second, std::string const& rest)
{
    return "time=2026-05-14T00:15:" + second + " program=savorymount-gateway level=I " + rest +
           "\n";
}

// Guards against a history that lacks a hop, what the process believed, or its neighbours.
TEST(users_platform_tool, explains_a_request_from_the_logs_of_several_processes)
{
    log_file const first(
        "explain-gateway-1.log",
        line("01.000", "event=200 name=configuration_adopted version=6") +
            line("02.000", "event=200 name=configuration_adopted version=7") +
            line("03.000", "event=300 name=log_unavailable reason=\"no answer in time\"") +
            "   9.75 gateway-1 " +
            line("04.000", "event=714 name=request_repeated request=ab12 upstream=engine-1 "
                           "reason=\"Connection reset by peer\"") +
            line("04.500", "event=712 name=request_failed request=ab12 upstream=engine-2 "
                           "status=502 reason=\"said \\\"no\\\"\"") +
            line("05.000", "event=200 name=configuration_adopted version=8"));
    log_file const second(
        "explain-gateway-2.log",
        line("01.000", "event=300 name=log_unavailable reason=other") +
            line("04.100", "event=712 name=request_failed request=cd34 upstream=engine-1 "
                           "status=502") +
            line("09.000", "event=712 name=request_failed request=ef56 upstream=engine-1 "
                           "status=502"));
    auto const out = run_tool({"explain", "ab12", first.path(), second.path()});
    EXPECT_EQ(out.code, 0) << out.output;
    for (char const* it : {"reason=Connection reset by peer", "reason=said \"no\"", "version=7",
                           "reason=no answer in time", "within a second: 1"})
        EXPECT_NE(out.output.find(it), std::string::npos) << it << "\n" << out.output;
    for (char const* it : {"version=6", "version=8", "reason=other", "ef56"})
        EXPECT_EQ(out.output.find(it), std::string::npos) << it << "\n" << out.output;
}

// Guards against silence about a request whose lines may have been left out.
TEST(users_platform_tool, says_why_a_request_may_have_no_line)
{
    log_file const log("explain-dropped.log", line("01.000", "event=104 name=log_lines_dropped "
                                                             "lines=12"));
    auto const out = run_tool({"explain", "ab12", log.path()});
    EXPECT_EQ(out.code, 1);
    EXPECT_NE(out.output.find("log_lines_dropped"), std::string::npos) << out.output;
    EXPECT_EQ(run_tool({"explain", "ab12", "/nowhere/gateway.log"}).code, 1);
    EXPECT_EQ(run_tool({"explain", "ab12"}).code, 2);
}

// Guards against operators who can't see what the store holds.
TEST(users_platform_tool, shows_what_the_store_holds)
{
    process platform("savorymount-users-platform-stand-in", {});
    auto const store = "127.0.0.1:" + platform.wait_for_field("listening", "port");
    process gateway("savorymount-gateway", gateway_arguments("gateway-1", store, true));
    gateway.wait_for_field("name=duty_acquired", "fence");
    auto const out = run_tool({"status", "--store-address", store});
    EXPECT_EQ(out.code, 0) << out.output;
    for (char const* it :
         {"Configuration version 1: 2 routes, 2 services, 2 workspaces", "Weights named: crew:1",
          "last renewed by gateway-1#", "engine-0", "engine-1", "desk-0", "gateway-1  "})
        EXPECT_NE(out.output.find(it), std::string::npos) << it << "\n" << out.output;
}

// Guards against a tool that hangs or reports success without a store.
TEST(users_platform_tool, fails_without_a_store)
{
    auto const out = run_tool({"status", "--store-address", "127.0.0.1:1"});
    EXPECT_EQ(out.code, 1);
    EXPECT_NE(out.output.find("check --store-address"), std::string::npos) << out.output;
    EXPECT_EQ(run_tool({"status", "--store-address", "nowhere"}).code, 2);
}

} // namespace
} // namespace savorymount::tests
