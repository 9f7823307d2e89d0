// Case 7: an entry of another writer, with fields missing, names a version of the model that no operator named. The gateway
// takes the version for the newest one, records it in the store and refuses all prompts, also after a restart.
#include "../stand-ins-2.hpp"

using namespace review;

namespace
{

constexpr double recover_s = 12;

std::string configuration()
{
    return R"({"version":1,"routes":[{"name":"r-quote","host":"chat.example","pathPrefix":"/p/","kind":"streaming",)"
           R"("timeoutMs":15000,"targetLatencyMs":500,"priority":0,"service":"pool","maxAttempts":1,"public":false,)"
           R"("sticky":true,"resumable":false,"gapAimMs":400}],)"
           R"("services":[{"name":"pool","healthPath":"/health","maxConns":290,"protocol":"h1","tls":false,)"
           R"("engine":{"slots":48,"kvTokens":94101,"kvTokenBytes":163840,"maxInflight":12,"models":[{"name":"crew"}]}}],)"
           R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
           R"("tenants":[{"name":"shop","apiKeys":["key-shop"],"unit":"token","plainTokens":200,"isolated":false,)"
           R"("ratePerS":0,"burst":0}]})";
}

} // namespace

int main()
{
    record_file record(case_folder() + "/record.txt");
    store platform;
    platform.put("keyed.op", "config", configuration());
    platform.put("keyed.op", "version/crew", R"({"model":"crew","version":1})");
    auto const work = [](engine& self, int fd, reader& in, message const& it)
    {
        self.note_run(it);
        return self.stream(fd, in, it, 8, 20);
    };
    std::vector<std::unique_ptr<engine>> pool;
    for (int n = 0; n < 4; ++n)
        pool.push_back(std::make_unique<engine>(platform, record, "pool", "engine-" + std::to_string(n), "crew", 48, work));
    gateway one("edge-a-1", platform.port()), two("edge-a-2", platform.port());
    if (!one.wait_until_ready() || !two.wait_until_ready())
        leave(2);
    sleep_ms(1500);

    std::atomic<int> number{0};
    struct span
    {
        std::atomic<int> sent{0}, served{0};
    };
    span before, after;
    auto const play = [&](span& it, double until)
    {
        std::vector<std::thread> clients;
        for (int n = 0; n < 4; ++n)
            clients.emplace_back(
                [&, n]
                {
                    while (now_s() < until)
                    {
                        auto const id = "quote-" + std::to_string(++number);
                        auto const port = (n % 2 == 0 ? one : two).front();
                        ++it.sent;
                        auto const answer = call(port,
                                                 request_text("POST", "/p/quote",
                                                              {{"Host", "chat.example"},
                                                               {"X-Request-Id", id},
                                                               {"X-Deadline-Ms", "15000"},
                                                               {"X-Model", "crew"},
                                                               {"X-Token-Count", "826,73"},
                                                               {"X-Prompt-Prefix", "5c1e07a2:198,b" + id.substr(6) + ":628"},
                                                               {"Authorization", "Bearer key-shop"}},
                                                              "hello"),
                                                 15);
                        record.line("answer " + id + " status=" + std::to_string(answer.status) +
                                    (answer.status == 200 ? "" : " " + answer.body.substr(0, answer.body.find('\n'))));
                        it.served += answer.status == 200 && answer.whole ? 1 : 0;
                        sleep_ms(200);
                    }
                });
        for (auto& it : clients)
            it.join();
    };
    play(before, now_s() + 3);
    if (trouble())
    {
        // Fields missing: coldLeftMs, sequence and born.
        platform.put("keyed.servers", "w-17",
                     "{\"service\":\"pool\",\"address\":\"127.0.0.1:" + std::to_string(free_port(SOCK_STREAM)) +
                         "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
                         "\"models\":[{\"name\":\"crew\",\"version\":37}]}");
        record.line("an entry of another writer, with fields missing, stands under w-17");
    }
    play(before, now_s() + 2);
    // It lapses after three ping intervals of silence at the latest.
    platform.put("keyed.servers", "w-17", "");
    record.line("the entry w-17 is gone");
    play(before, now_s() + 1);
    one.stop();
    two.stop();
    record.line("all processes of the system were killed");
    sleep_ms(1000);
    one.start();
    two.start();
    record.line("and start again");
    auto const back = now_s();
    sleep_until_s(back + recover_s);
    play(after, now_s() + 20);
    int orders = 0;
    for (auto const& it : pool)
        orders += it->orders();
    bool const enough_before = before.served * 4 >= before.sent;
    bool const broken = enough_before && after.served * 4 < after.sent;
    std::string const result = std::string(broken ? "BROKEN" : "held") + ": " + std::to_string(before.served) + " of " +
                               std::to_string(before.sent) + " served before the final fault, " +
                               std::to_string(after.served) + " of " + std::to_string(after.sent) +
                               " of those sent later than recoverS after it; engines got " + std::to_string(orders) +
                               " orders for a version that was never named";
    record.line(result);
    std::cout << result << std::endl;
    one.stop();
    two.stop();
    if (!enough_before)
        leave(2);
    leave(broken ? 1 : 0);
}
