#include "tests/libraries/configuration/example_documents.hpp"
#include "tests/system/support/process.hpp"
#include "tests/system/support/test_client.hpp"
#include <savorymount/configuration/configuration_log.hpp>
#include <savorymount/configuration/key_table.hpp>
#include <savorymount/runtime/http_exchange.hpp>
#include <savorymount/runtime/http_server.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>

namespace savorymount::tests
{
namespace
{

namespace fs = std::filesystem;

using configuration::documents;

struct tool_result
{
    int code = 0;
    std::string output;
};

/// A folder with documents, removed at the end.
class document_folder
{
public:
    explicit document_folder(documents::map_type const& entries)
    {
        char path[] = "/tmp/savorymount-documents-XXXXXX";
        path_ = mkdtemp(path);
        for (auto const& [name, value] : entries)
            write(name + ".json", value.dump(2));
    }
    ~document_folder() { fs::remove_all(path_); }
    document_folder(document_folder const&) = delete;
    document_folder& operator=(document_folder const&) = delete;

    void write(std::string const& name, std::string const& text) const
    {
        fs::create_directories((path_ / name).parent_path());
        std::ofstream(path_ / name) << text;
    }

    std::string path() const { return path_.string(); }

private:
    fs::path path_;
};

class operators_tool : public testing::Test
{
protected:
    process start(std::vector<std::string> arguments, std::string const& operator_name = "mieke")
    {
        arguments.insert(arguments.end(), {"--log-address", address, "--list-address", address,
                                           "--operator=" + operator_name});
        return {"savorymountctl", arguments};
    }

    tool_result run(std::vector<std::string> const& arguments)
    {
        auto tool = start(arguments);
        client.run_until([&] { return !tool.running(); });
        auto const code = tool.wait();
        return {code, tool.output()};
    }

    void post(std::string const& target, nlohmann::json const& body)
    {
        EXPECT_EQ(client.request(platform_address, "POST", target, {}, body.dump()).status, 200);
    }

    void control(nlohmann::json const& command) { post("/control", command); }

    /// The records of the log.
    nlohmann::json records()
    {
        return client.request(platform_address, "GET", "/log/read?from=1").json()["records"];
    }

    /// The configuration that a reader of the log holds.
    std::shared_ptr<configuration::configuration const> in_force()
    {
        configuration::configuration_log reader;
        for (auto const& it : records())
            reader.apply(it["offset"], it["id"], it["body"]);
        return reader.current();
    }

    test_client client;
    process platform{"savorymount-platform-stand-in", {"--port", "0"}};
    runtime::network_address platform_address{
        "127.0.0.1",
        static_cast<std::uint16_t>(std::stoi(platform.wait_for_field("listening", "port")))};
    std::string address = to_string(platform_address);
    document_folder folder{configuration::example::entries()};
};

// Guards against scripts that take a mistake in a document for a mistake in their call.
TEST_F(operators_tool, exit_codes_tell_usage_from_documents)
{
    EXPECT_EQ(run({"validate", folder.path()}).code, 0);
    EXPECT_EQ(run({"--help"}).code, 0);
    EXPECT_EQ(run({"--version"}).output, "savorymountctl 0.1.0\n");
    EXPECT_EQ(run({"validate", "/nowhere"}).code, 2);
    EXPECT_EQ(run({"validate"}).code, 2);
    EXPECT_EQ(run({"aply", folder.path()}).code, 2);
    EXPECT_EQ(run({"status", "--colour=red"}).code, 2);
    EXPECT_EQ(run({"apply", folder.path(), "--base=x"}).code, 2);
    EXPECT_EQ(run({"audit", "--log-address=localhost"}).code, 2);
    folder.write("system.json", R"({"quarantine":1})");
    auto const result = run({"validate", folder.path()});
    EXPECT_EQ(result.code, 3);
    EXPECT_EQ(result.output, "savorymountctl: system.json#/quarantine is not a known field; remove "
                             "it or correct its spelling\n");
}

// Guards against files that are left out silently: applying the folder would remove documents.
TEST_F(operators_tool, folder_with_unknown_files_is_refused)
{
    folder.write(".git/config", "");
    folder.write("README.md", "");
    EXPECT_EQ(run({"validate", folder.path()}).code, 0);
    for (auto const* it : {"workspaces/new.jsn", "workspace/new.json", "routes/New.json",
                           "other.json", "workspaces/open.json/x"})
    {
        document_folder unknown(configuration::example::entries());
        unknown.write(it, "{}");
        EXPECT_EQ(run({"apply", unknown.path()}).code, 3) << it;
    }
    document_folder other(configuration::example::entries());
    other.write("groups/spare.jsn", R"({"group":"spare","kind":"plain"})");
    EXPECT_EQ(run({"apply", other.path()}).code, 3);
    document_folder const empty({});
    EXPECT_EQ(run({"apply", empty.path()}).code, 3);
    EXPECT_TRUE(records().empty());
}

TEST_F(operators_tool, diff_shows_what_apply_publishes)
{
    EXPECT_EQ(run({"apply", folder.path()}).output, "version 1 is in force\n");
    EXPECT_EQ(run({"diff", folder.path()}).output, "version in force: 1\nno differences\n");
    EXPECT_EQ(run({"apply", folder.path()}).output,
              "nothing to publish: version 1 is equal to the folder\n");
    folder.write("system.json", R"({"quarantine_seconds":60,"idempotency_window_seconds":3600})");
    folder.write("groups/spare.json", R"({"group":"spare","kind":"plain"})");
    EXPECT_EQ(run({"diff", folder.path()}).output,
              "version in force: 1\n+ groups/spare\n~ system\n    replace /quarantine_seconds 60\n"
              "publish with: savorymountctl apply " +
                  folder.path() + " --base 1\n");
    EXPECT_EQ(run({"apply", folder.path(), "--base", "1"}).code, 0);
    EXPECT_EQ(in_force()->version(), 2U);
    auto const stale = run({"apply", folder.path(), "--base", "1"});
    EXPECT_EQ(stale.code, 1);
    EXPECT_EQ(stale.output, "savorymountctl: version 2 is in force, not version 1; run "
                            "savorymountctl diff " +
                                folder.path() + " again, then apply\n");
}

// Guards against an operator who repeats a change, or gives up on one, that is already in force.
TEST_F(operators_tool, lost_response_is_looked_up_before_the_append_is_repeated)
{
    control({{"log", "lose_answers"}});
    auto const result = run({"apply", folder.path()});
    EXPECT_EQ(result.code, 0);
    EXPECT_EQ(result.output, "version 1 is in force\n");
    EXPECT_EQ(records().size(), 1U);
}

// Guards against a change that is reported as published while the log refuses appends.
TEST_F(operators_tool, unavailable_log_is_a_failure)
{
    control({{"log", "down"}});
    EXPECT_EQ(run({"apply", folder.path()}).code, 1);
    EXPECT_EQ(run({"audit"}).code, 1);
    control({{"log", "up"}});
    EXPECT_TRUE(records().empty());
}

// Guards against two operators who both believe that their change is in force.
TEST_F(operators_tool, one_of_several_operators_wins_and_the_others_are_told)
{
    ASSERT_EQ(run({"apply", folder.path()}).code, 0);
    std::vector<std::unique_ptr<document_folder>> folders;
    std::vector<process> tools;
    for (int i = 1; i <= 5; ++i)
    {
        auto entries = configuration::example::entries();
        entries["system"]["quarantine_seconds"] = i;
        folders.push_back(std::make_unique<document_folder>(entries));
        tools.push_back(start({"apply", folders.back()->path(), "--base", "1"},
                              "operator-" + std::to_string(i)));
    }
    int winner = 0;
    for (int i = 1; i <= 5; ++i)
    {
        auto& tool = tools[static_cast<std::size_t>(i - 1)];
        auto const code = tool.wait();
        auto const output = tool.output();
        if (code == 0)
        {
            EXPECT_EQ(winner, 0);
            winner = i;
            continue;
        }
        EXPECT_EQ(code, 1);
        EXPECT_NE(output.find("version 2"), std::string::npos) << output;
        EXPECT_NE(output.find("run savorymountctl diff"), std::string::npos) << output;
    }
    ASSERT_NE(winner, 0);
    EXPECT_EQ(in_force()->version(), 2U);
    EXPECT_EQ(in_force()->settings().quarantine, std::chrono::seconds(winner));
}

// Guards against a key that the tool prints but nobody accepts, and one that works after its
// withdrawal.
TEST_F(operators_tool, granted_key_authenticates_until_it_is_withdrawn)
{
    ASSERT_EQ(run({"apply", folder.path()}).code, 0);
    auto const granted = run({"key", "grant", "counter"});
    ASSERT_EQ(granted.code, 0) << granted.output;
    auto const start = granted.output.find("\nsm_") + 1;
    auto const key = granted.output.substr(start, granted.output.find('\n', start) - start);
    auto const owner = configuration::key_table(in_force()).authenticate(key);
    ASSERT_TRUE(owner) << granted.output;
    EXPECT_EQ(owner->workspace, "counter");
    EXPECT_EQ(records().dump().find(key), std::string::npos);
    EXPECT_EQ(run({"key", "withdraw", owner->key_id}).code, 0);
    EXPECT_FALSE(configuration::key_table(in_force()).authenticate(key));
    EXPECT_EQ(run({"key", "withdraw", owner->key_id}).code, 1);
    EXPECT_EQ(run({"key", "grant", "absent"}).code, 1);
    auto const audit = run({"audit"});
    EXPECT_EQ(audit.code, 0);
    EXPECT_EQ(std::count(audit.output.begin(), audit.output.end(), '\n'), 4);
    EXPECT_NE(audit.output.find("accepted  workspaces/counter"), std::string::npos);
}

// Guards against an audit trail that hides refused changes or lets a record write to the terminal.
TEST_F(operators_tool, audit_shows_rejected_changes)
{
    post("/log/append",
         {{"id", "x"},
          {"body", to_json(configuration::change_record{
                       0, "wim", 1000, {{"bad\x1b[2Jname", nlohmann::json::object()}}})}});
    auto const result = run({"audit"});
    EXPECT_EQ(result.code, 0);
    EXPECT_NE(result.output.find("1       1970-01-01T00:00:01Z  wim       0     rejected"),
              std::string::npos)
        << result.output;
    EXPECT_EQ(result.output.find('\x1b'), std::string::npos);
}

// Guards against a status that looks complete although an instance did not answer.
TEST_F(operators_tool, status_shows_every_listed_instance)
{
    runtime::http_server server(
        client.loop(), {},
        [](std::shared_ptr<runtime::http_exchange> const& exchange)
        { exchange->respond(200, {}, R"({"version":7,"degraded":["log unavailable"]})"); });
    base::error reason;
    auto const port = server.listen({"127.0.0.1", 0}, reason);
    ASSERT_TRUE(port) << reason.message;
    control({{"add_instance",
              {{"id", "entry-1"},
               {"role", "entry"},
               {"data_centre", "dc-a"},
               {"state", "live"},
               {"status_address", "127.0.0.1:" + std::to_string(*port)}}}});
    auto const whole = run({"status"});
    EXPECT_EQ(whole.code, 0);
    EXPECT_EQ(whole.output, "INSTANCE  ROLE   DATA CENTRE  STATE  VERSION  DEGRADED\n"
                            "entry-1   entry  dc-a         live   7        log unavailable\n");
    control({{"add_instance", {{"id", "agent-1"}, {"role", "agent"}, {"state", "live"}}}});
    auto const partial = run({"status"});
    EXPECT_EQ(partial.code, 1);
    EXPECT_NE(partial.output.find("unreachable: the list names no status address"),
              std::string::npos);
    EXPECT_NE(partial.output.find("1 of 2 instances did not answer"), std::string::npos);
}

} // namespace
} // namespace savorymount::tests
