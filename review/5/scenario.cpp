// The store turns one machine away for some seconds and serves it again. Then an engine leaves.

#include "../engine.hpp"
#include "../gateway.hpp"

#include <map>

namespace
{

using namespace review;

constexpr double settle_ms = 4000;
constexpr double away_ms = 4500;
constexpr double stable_ms = 3000;
constexpr double drain_ms = 2000;
// From the store's return for the machine to the engine's leaving.
constexpr double leave_after_ms = 1400;
// From its leaving to the end of its process.
constexpr double serve_on_ms = 2600;
constexpr int events = 8;
constexpr double event_gap_ms = 250;
constexpr int client_limit_ms = 15'000;
constexpr double request_interval_ms = 40;

void stream_answer(engine const& self, run const& it)
{
    std::string out = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n";
    for (auto const& field : self.stamped(it.id))
        out += field.first + ": " + field.second + "\r\n";
    it.to.send(out + "\r\n");
    for (int i = 1; i <= events; ++i)
    {
        if (!it.to.send(chunk_of("id: " + std::to_string(i) + "\ndata: token\n\n")))
            return it.to.close();
        sleep_ms(event_gap_ms);
    }
    it.to.send("0\r\n\r\n");
}

/// Parts that no other request has.
std::string prompt_prefix()
{
    static std::atomic<unsigned> last{0xa0000};
    unsigned const number = last += 2;
    char out[64];
    std::snprintf(out, sizeof out, "%x:198,%x:628", number, number + 1);
    return out;
}

/// Whether the answer is complete; `status` is 0 without one.
bool call(int port, std::string const& id, int& status)
{
    connection it(connect_to(port));
    auto const until = now_ms() + client_limit_ms;
    it.send(request_head("POST", "/notice/draft", id, client_limit_ms,
                         {{"X-Model", model},
                          {"X-Token-Count", "826,8"},
                          {"X-Prompt-Prefix", prompt_prefix()}}));
    auto const head = it.read_head(until);
    status = head ? head->status() : 0;
    while (head && status == 200)
    {
        auto const chunk = it.read_chunk(until);
        if (!chunk || chunk->empty())
            return chunk.has_value();
    }
    return false;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 4)
        return 2;
    bool const trouble = std::string(argv[1]) != "0";
    recorder record(argv[3]);
    now_ms();

    store platform;
    configure(platform, {{"/notice/", "streaming", "pool", client_limit_ms, true}});
    std::mutex mutex;
    std::map<std::string, double> sent_at;
    std::atomic<double> removed_at{0};
    std::atomic<double> served_again_at{0};
    std::atomic<int> late{0};
    std::vector<std::unique_ptr<engine>> engines;
    auto const add_engine = [&](std::string const& id)
    {
        auto const index = engines.size();
        engines.push_back(std::make_unique<engine>(
            platform, engine_options{id, "pool", "zone-a", model},
            [&, id, index](run const& it)
            {
                double client_sent_at = 0;
                {
                    std::lock_guard const lock(mutex);
                    client_sent_at = sent_at[it.id];
                }
                // The machine is in touch again stableMs after the store's return for it.
                bool const in_touch = now_ms() > served_again_at + stable_ms;
                bool const is_late = id == "i-leaving" && removed_at > 0 && in_touch &&
                                     client_sent_at > removed_at + drain_ms;
                if (is_late && late++ < 40)
                    record.line("engine %s runs %s, sent %.2f s after the store accepted its "
                                "leaving",
                                id.c_str(), it.id.c_str(), (client_sent_at - removed_at) / 1000);
                stream_answer(*engines[index], it);
            }));
        engines.back()->list();
    };
    add_engine("i-1");
    add_engine("i-2");
    add_engine("i-leaving");
    std::string const name = "edge-zone-a-1";
    gateway machine(argv[2], name, "zone-a", platform.address_for(name), small_deployment());
    gateway other(argv[2], "edge-zone-a-2", "zone-a", platform.address_for("edge-zone-a-2"),
                  small_deployment());
    if (!machine.wait_until_ready() || !other.wait_until_ready())
        return 2;
    record.line("two gateways are ready");
    sleep_ms(settle_ms);

    std::atomic<bool> calling{true};
    std::atomic<int> running{0};
    std::atomic<int> served{0};
    std::atomic<int> cut{0};
    std::thread clients(
        [&]
        {
            for (int n = 0; calling; ++n, sleep_ms(request_interval_ms))
            {
                ++running;
                std::thread(
                    [&, n]
                    {
                        auto const id = "request-" + std::to_string(n);
                        {
                            std::lock_guard const lock(mutex);
                            sent_at[id] = now_ms();
                        }
                        int status = 0;
                        bool const whole = call(machine.port(), id, status);
                        ++(whole ? served : cut);
                        if (!whole)
                            record.line("client: %s is not served whole (status %d)", id.c_str(),
                                        status);
                        --running;
                    })
                    .detach();
            }
        });

    if (trouble)
    {
        platform.turn_away(name, true);
        record.line("the store turns %s away", name.c_str());
    }
    sleep_ms(away_ms);
    platform.turn_away(name, false);
    served_again_at = now_ms();
    record.line("the store serves %s", name.c_str());
    sleep_ms(leave_after_ms);
    engines.back()->remove();
    removed_at = now_ms();
    record.line("engine i-leaving leaves: the store has accepted the removal of its entry");
    sleep_ms(serve_on_ms);
    engines.back()->stop();
    record.line("the process of engine i-leaving ends");
    sleep_ms(1000);
    calling = false;
    clients.join();
    for (int i = 0; running > 0 && i < 400; ++i)
        sleep_ms(10);
    machine.end();
    other.end();
    record.line("%d streams served, %d cut or refused", served.load(), cut.load());
    record.line("DRAIN: %d requests reached engine i-leaving that were sent later than drainMs "
                "after its leaving was accepted",
                late.load());
    std::_Exit(late > 0 ? 1 : 0);
}
