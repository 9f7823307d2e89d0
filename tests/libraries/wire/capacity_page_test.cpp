#include <savorymount/wire/savorymount.capnp.h>

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <gtest/gtest.h>

#include <fstream>
#include <sstream>
#include <string>

namespace savorymount::wire
{
namespace
{

void write_context(Context::Builder context)
{
    context.setInstance("agent-12000#0123456789ab");
    context.setVersion(123456789);
}

std::size_t size_of(capnp::MessageBuilder& message)
{
    return capnp::messageToFlatArray(message).asBytes().size();
}

std::size_t heartbeat_bytes(unsigned models)
{
    capnp::MallocMessageBuilder message;
    auto result = message.initRoot<Peer::PingResults>();
    write_context(result.initContext());
    auto load = result.initLoad();
    load.setEngine("1234567890-1234567890");
    for (auto it : load.initModels(models))
    {
        it.setModel("model-name");
        it.setVersion("2026-12");
    }
    return size_of(message);
}

std::size_t ask_bytes()
{
    capnp::MallocMessageBuilder message;
    auto request = message.initRoot<Peer::ReserveParams>();
    write_context(request.initContext());
    request.setWorkspace("workspace-660");
    request.setTokens(100000);
    return size_of(message);
}

std::size_t report_bytes()
{
    capnp::MallocMessageBuilder message;
    auto request = message.initRoot<Peer::SettleParams>();
    write_context(request.initContext());
    request.setWorkspace("workspace-660");
    request.setUsed(100000);
    return size_of(message);
}

// Guards against byte rates on the capacity page that no longer belong to the messages.
TEST(capacity_page, message_sizes_match_the_code)
{
    std::ifstream file(std::string(SAVORYMOUNT_SOURCE_FOLDER) + "/docs/CAPACITY.md");
    std::stringstream text;
    text << file.rdbuf();
    auto const expect_row = [&text](std::string const& name, std::size_t bytes)
    {
        auto const row = "| " + name + " | " + std::to_string(bytes) + " |";
        EXPECT_NE(text.str().find(row), std::string::npos) << row;
    };
    expect_row("heartbeat answer, 1 model", heartbeat_bytes(1));
    expect_row("heartbeat answer, 2 models", heartbeat_bytes(2));
    expect_row("heartbeat answer, 6 models", heartbeat_bytes(6));
    expect_row("ask for a grant", ask_bytes());
    expect_row("report on a grant", report_bytes());
}

} // namespace
} // namespace savorymount::wire
