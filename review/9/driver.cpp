// Case 9: the operator makes a tenant isolated. Parts of its prompts that engines cached before stay under the salt that
// all other tenants use, and the next tenant with the same parts runs on them.
#include "../stand-ins-2.hpp"

#include <set>

using namespace review;

namespace
{

std::string configuration(int version, bool isolated)
{
    return R"({"version":)" + std::to_string(version) +
           R"(,"routes":[{"name":"r-quote","host":"chat.example","pathPrefix":"/p/","kind":"streaming",)"
           R"("timeoutMs":15000,"targetLatencyMs":500,"priority":0,"service":"pool","maxAttempts":1,"public":false,)"
           R"("sticky":true,"resumable":false,"gapAimMs":400}],)"
           R"("services":[{"name":"pool","healthPath":"/health","maxConns":290,"protocol":"h1","tls":false,)"
           R"("engine":{"slots":48,"kvTokens":94101,"kvTokenBytes":163840,"maxInflight":12,"models":[{"name":"crew"}]}}],)"
           R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
           R"("tenants":[{"name":"clinic","apiKeys":["key-clinic"],"unit":"token","plainTokens":200,"isolated":)" +
           (isolated ? "true" : "false") +
           R"(,"ratePerS":0,"burst":0},{"name":"shop","apiKeys":["key-shop"],"unit":"token","plainTokens":200,)"
           R"("isolated":false,"ratePerS":0,"burst":0}]})";
}

std::string prompt(std::string const& id, std::string const& key, std::string const& own_part)
{
    return request_text("POST", "/p/quote",
                        {{"Host", "chat.example"},
                         {"X-Request-Id", id},
                         {"X-Deadline-Ms", "15000"},
                         {"X-Model", "crew"},
                         {"X-Token-Count", "900,8"},
                         {"X-Prompt-Prefix", "5c1e07a2:500,91bd3f06:300," + own_part + ":100"},
                         {"Authorization", "Bearer " + key}},
                        "hello");
}

/// One cached part of an engine: under a salt and behind the parts before it.
struct cached_part
{
    std::string maker, maker_tenant;
};

} // namespace

int main()
{
    record_file record(case_folder() + "/record.txt");
    store platform;
    platform.put("keyed.op", "config", configuration(1, false));
    platform.put("keyed.op", "version/crew", R"({"model":"crew","version":1})");

    // Engines cache parts as the pages say: found again only under the same salt, if all parts before are cached too.
    std::mutex mutex;
    std::map<std::string, std::map<std::string, cached_part>> caches;
    std::string isolated_tenant;
    std::vector<std::string> broken;
    auto const work = [&](engine& self, int fd, reader& in, message const& it)
    {
        self.note_run(it);
        {
            std::lock_guard const lock(mutex);
            auto const id = find(it.headers, "X-Request-Id"), tenant = find(it.headers, "X-Tenant");
            std::string chain = find(it.headers, "X-Cache-Salt") + "|";
            std::istringstream parts(find(it.headers, "X-Prompt-Prefix"));
            bool hit = true;
            for (std::string part; std::getline(parts, part, ',');)
            {
                chain += part + ",";
                auto& cache = caches[self.id()];
                auto const found = cache.find(chain);
                hit = hit && found != cache.end();
                if (!hit)
                {
                    cache[chain] = {id, tenant};
                    continue;
                }
                auto const& maker = found->second;
                record.line("reuse  " + id + " of " + tenant + " uses part " + part + " that " + maker.maker + " of " +
                            maker.maker_tenant + " made");
                if (maker.maker_tenant != tenant && !isolated_tenant.empty() &&
                    (tenant == isolated_tenant || maker.maker_tenant == isolated_tenant))
                    broken.push_back(id + " of " + tenant + " uses part " + part + " of " + maker.maker_tenant);
            }
        }
        return self.stream(fd, in, it, 4, 20);
    };
    engine one(platform, record, "pool", "engine-1", "crew", 48, work);
    engine two(platform, record, "pool", "engine-2", "crew", 48, work);
    gateway gate("edge-a-1", platform.port());
    if (!gate.wait_until_ready())
        leave(2);
    sleep_ms(1500);

    int answered = 0, asked = 0;
    auto const ask = [&](std::string const& id, std::string const& key, std::string const& own)
    {
        ++asked;
        auto const it = call(gate.front(), prompt(id, key, own), 15);
        record.line("answer " + id + " status=" + std::to_string(it.status) + (it.whole ? " whole" : " cut"));
        answered += it.status == 200 && it.whole ? 1 : 0;
    };
    for (int n = 0; n < 4; ++n)
        ask("clinic-before-" + std::to_string(n), "key-clinic", "a" + std::to_string(n));
    platform.put("keyed.op", "config", configuration(2, trouble()));
    record.line(std::string("the operator's version 2 is confirmed; clinic is ") + (trouble() ? "isolated" : "as before"));
    // configApplyMs is 2,000: from then on the new version binds.
    sleep_ms(3000);
    {
        std::lock_guard const lock(mutex);
        isolated_tenant = trouble() ? "clinic" : "";
    }
    for (int n = 0; n < 4; ++n)
        ask("shop-after-" + std::to_string(n), "key-shop", "b" + std::to_string(n));
    for (int n = 0; n < 2; ++n)
        ask("clinic-after-" + std::to_string(n), "key-clinic", "c" + std::to_string(n));
    std::string result = std::string(broken.empty() ? "held" : "BROKEN") + ": " + std::to_string(broken.size()) +
                         " uses of parts across the wall; " + std::to_string(answered) + " of " +
                         std::to_string(asked) + " answered";
    if (!broken.empty())
        result += "; the first: " + broken.front();
    record.line(result);
    std::cout << result << std::endl;
    gate.stop();
    if (answered < asked)
        leave(2);
    leave(broken.empty() ? 0 : 1);
}
