#include <map>
#include <string>
#include <tests/stand_ins/users_platform/fake_upstream.hpp>
#include <tests/stand_ins/users_platform/keyed_topics.hpp>
#include <vector>

namespace savorymount::stand_ins
{
namespace
{

constexpr char const* operator_topic = "keyed.op";
constexpr char const* upstream_topic = "keyed.servers";
constexpr base::duration heartbeat_interval = std::chrono::milliseconds(1200);

/// The store with its upstreams: some model engines and one plain service.
class users_platform
{
public:
    users_platform(runtime::event_loop& loop, std::int64_t engines, std::int64_t desks)
        : timers_(loop), topics_(loop)
    {
        for (std::int64_t i = 0; i < engines; ++i)
            add_engine(loop, i);
        for (std::int64_t i = 0; i < desks; ++i)
            upstreams_.push_back(
                std::make_unique<fake_upstream>(loop, "desk-" + std::to_string(i), false));
        configure(1, {"key-a", "key-b"});
        publish("version/crew", R"({"model":"crew","version":1})");
        for (auto const& it : upstreams_)
            list(*it, "ready");
    }

    void handle(exchange_ptr const& exchange)
    {
        if (topics_.handle(exchange))
            return;
        auto const path = parse_target(exchange->target()).path;
        if (path == "/control")
            control(exchange);
        else if (path == "/state")
            respond(exchange, 200, state());
        else
            respond_error(exchange, 404, "no such call");
    }

private:
    void add_engine(runtime::event_loop& loop, std::int64_t number)
    {
        auto const index = upstreams_.size();
        upstream_hooks hooks;
        hooks.restarted = [this, index](std::string const& former_id)
        {
            write_entry(former_id, "");
            list(*upstreams_[index], "ready");
        };
        upstreams_.push_back(std::make_unique<fake_upstream>(
            loop, "engine-" + std::to_string(number), true, 0, std::move(hooks)));
    }

    void configure(std::uint64_t version, std::vector<std::string> const& keys)
    {
        json const streams{
            {"name", "prompts"},   {"host", "chat.example"}, {"pathPrefix", "/p/"},
            {"kind", "streaming"}, {"timeoutMs", 20000},     {"targetLatencyMs", 800},
            {"priority", 1},       {"service", "pool"},      {"maxAttempts", 2},
            {"public", false},     {"sticky", true},         {"resumable", true}};
        json const bookings{{"name", "bookings"}, {"host", "chat.example"}, {"pathPrefix", "/b/"},
                            {"kind", "unsafe"},   {"timeoutMs", 20000},     {"service", "desk"},
                            {"maxAttempts", 1},   {"public", false}};
        json const tenant{{"name", "club"},   {"apiKeys", keys}, {"unit", "token"},
                          {"plainTokens", 1}, {"ratePerS", 0},   {"burst", 0},
                          {"isolated", true}};
        json const limited{{"name", "small"},  {"apiKeys", {"key-limited"}},
                           {"unit", "token"},  {"plainTokens", 1},
                           {"ratePerS", 10},   {"burst", 10},
                           {"isolated", false}};
        json const whole{{"version", version},
                         {"routes", {streams, bookings}},
                         {"services",
                          {{{"name", "pool"}, {"engine", {{"slots", 8}, {"kvTokens", 90000}}}},
                           {{"name", "desk"}}}},
                         {"tenants", {tenant, limited}}};
        publish("config", whole.dump());
    }

    /// Writes what operators publish; it is written again after a restore.
    void publish(std::string const& key, std::string const& value)
    {
        published_[key] = value;
        topics_.put(operator_topic, key, value);
    }

    /// Brings the store back from a copy of the time `age` ago. After `silence`, operators and
    /// upstreams write what they had written.
    void restore(base::duration age, base::duration silence)
    {
        topics_.restore(age);
        topics_.set_fault("pass");
        run_after(timers_, silence, [this] { write_again(); });
    }

    void write_again()
    {
        for (auto const& [key, value] : published_)
            topics_.put(operator_topic, key, value);
        renew_entries();
        heartbeat_timer_ = timers_.every(heartbeat_interval, [this] { renew_entries(); });
        // Entries of upstreams that have left lapse, since nobody renews them.
        for (auto const& id : topics_.keys(upstream_topic))
        {
            if (!listed_.contains(id))
                topics_.put(upstream_topic, id, "");
        }
    }

    void renew_entries()
    {
        for (auto const& [id, value] : listed_)
            topics_.put(upstream_topic, id, value);
    }

    /// Writes an upstream's entry; an empty value removes it.
    void write_entry(std::string const& id, std::string const& value)
    {
        if (value.empty())
            listed_.erase(id);
        else
            listed_[id] = value;
        topics_.put(upstream_topic, id, value);
    }

    void list(fake_upstream const& it, std::string const& upstream_state)
    {
        json models = json::array();
        if (it.model_engine())
            models.push_back({{"name", "crew"}, {"version", it.version()}});
        json const entry{{"service", it.model_engine() ? "pool" : "desk"},
                         {"address", "127.0.0.1:" + std::to_string(it.port())},
                         {"zone", "liege"},
                         {"version", it.software().empty() ? "v1" : it.software()},
                         {"slots", 8},
                         {"coldLeftMs", 0},
                         {"state", upstream_state},
                         {"models", models},
                         {"sequence", 1},
                         {"born", it.starts()}};
        write_entry(it.id(), entry.dump());
    }

    void control(exchange_ptr const& exchange)
    {
        auto const body = parse_object(exchange);
        if (!body)
            return;
        if (body->contains("configuration"))
            configure(body->at("configuration").get<std::uint64_t>(),
                      body->at("keys").get<std::vector<std::string>>());
        if (body->contains("weights"))
            publish("version/crew",
                    json{{"model", "crew"}, {"version", body->at("weights")}}.dump());
        if (body->contains("unreadable"))
            topics_.put(upstream_topic, "ghost", body->at("unreadable").get<std::string>());
        if (body->contains("entry"))
            write_entry(body->at("entry").at("id").get<std::string>(),
                        body->at("entry").at("value").get<std::string>());
        if (body->contains("store"))
            topics_.set_fault(body->at("store").get<std::string>());
        if (body->contains("compact"))
            topics_.compact();
        if (body->contains("restore_ms"))
            restore(std::chrono::milliseconds(body->at("restore_ms").get<std::int64_t>()),
                    std::chrono::milliseconds(body->value("silence_ms", 0)));
        for (auto const& it : upstreams_)
        {
            if (body->contains("orders"))
                it->refuse_orders(body->at("orders") == "refused");
            if (body->value("break_off", "") == it->id())
                it->break_off_after(3);
            if (body->contains("ends_with_connection"))
                it->end_answers_with_connection(body->at("ends_with_connection").get<bool>());
            if (body->value("close_inside_event", "") == it->id())
                it->close_inside_event(1);
            if (body->value("limited", "") == it->id())
                it->name_limit(body->at("limit").get<std::string>());
            if (body->contains("crash_on_part"))
                it->crash_on_part(body->at("crash_on_part").get<std::string>(),
                                  std::chrono::milliseconds(body->value("crash_ms", 2000)));
            if (body->value("add", "") == it->id())
            {
                it->set_software(body->at("software").get<std::string>());
                list(*it, "ready");
            }
            if (body->value("drain", "") == it->id())
                list(*it, "draining");
            if (body->value("remove", "") == it->id())
                write_entry(it->id(), "");
        }
        respond(exchange, 200, {{"ok", true}});
    }

    json state() const
    {
        json out = json::object();
        for (auto const& it : upstreams_)
            out[it->id()] = {
                {"version", it->version()}, {"executions", it->executions()}, {"seen", it->seen()}};
        return out;
    }

    runtime::timer_service timers_;
    keyed_topics topics_;
    /// The newest values of the operators' keys and of the upstreams' entries.
    std::map<std::string, std::string> published_;
    std::map<std::string, std::string> listed_;
    /// Upstreams renew their entries, from the first restore on.
    runtime::timer_service::subscription heartbeat_timer_;
    std::vector<std::unique_ptr<fake_upstream>> upstreams_;
};

} // namespace
} // namespace savorymount::stand_ins

int main(int argc, char** argv)
{
    using namespace savorymount;
    runtime::settings_parser parser("savorymount-users-platform-stand-in");
    parser.add("engines", "2", "number of model engines in this process")
        .add("desks", "1", "number of plain upstreams in this process");
    return stand_ins::run(argc, argv, parser,
                          [](runtime::event_loop& loop, runtime::parsed_settings const& settings)
                          {
                              auto const it = std::make_shared<stand_ins::users_platform>(
                                  loop, stand_ins::number(settings, "engines"),
                                  stand_ins::number(settings, "desks"));
                              return [it](stand_ins::exchange_ptr const& exchange)
                              {
                                  it->handle(exchange);
                              };
                          });
}
