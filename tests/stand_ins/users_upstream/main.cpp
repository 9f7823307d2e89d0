#include <tests/stand_ins/users_platform/fake_upstream.hpp>

namespace
{

using namespace savorymount;

/// Applies what a test asked for at `/control`.
void control(stand_ins::fake_upstream& it, stand_ins::exchange_ptr const& exchange)
{
    auto const body = stand_ins::parse_object(exchange);
    if (!body)
        return;
    if (body->contains("ends_with_connection"))
        it.end_answers_with_connection(body->at("ends_with_connection").get<bool>());
    if (body->contains("close_inside_event"))
        it.close_inside_event(body->at("close_inside_event").get<unsigned>());
    if (body->contains("limit"))
        it.name_limit(body->at("limit").get<std::string>());
    if (body->contains("leaving"))
        it.say_leaving();
    if (body->contains("reject_for_now"))
        it.reject_for_now(body->at("reject_for_now").get<std::string>());
    if (body->contains("crash_on_part"))
        it.crash_on_part(body->at("crash_on_part").get<std::string>(),
                         std::chrono::milliseconds(body->at("crash_ms").get<std::int64_t>()));
    stand_ins::respond(exchange, 200, {{"ok", true}});
}

} // namespace

/// One upstream of the users' platform as a process of its own. It prints each run, accepted order,
/// crash and restart with the time since boot in microseconds.
int main(int argc, char** argv)
{
    runtime::settings_parser parser("savorymount-users-upstream-stand-in");
    parser.add("id", std::nullopt, "id of this incarnation")
        .add("kind", std::nullopt, "engine or desk")
        .add("serve-port", "0", "port for requests; 0 lets the kernel choose")
        .add("ends-with-connection", "0", "1: answers end with their connection")
        .add("software", "", "software version that events name")
        .add("crash-on-part", "", "prompt part that crashes the engine")
        .add("crash-ms", "2000", "how long the engine is away after a crash");
    return stand_ins::run(
        argc, argv, parser,
        [](runtime::event_loop& loop, runtime::parsed_settings const& settings)
        {
            stand_ins::upstream_hooks hooks;
            hooks.run = [&loop](std::string const& request, std::uint64_t version)
            {
                std::cout << "run at=" << loop.now().time_since_epoch().count()
                          << " request=" << request << " version=" << version << std::endl;
            };
            hooks.order_accepted =
                [&loop](std::string const& holder, std::uint64_t fence, std::uint64_t version)
            {
                std::cout << "order at=" << loop.now().time_since_epoch().count()
                          << " holder=" << holder << " fence=" << fence << " version=" << version
                          << std::endl;
            };
            // The hook needs the upstream that it is made for.
            auto const self = std::make_shared<std::weak_ptr<stand_ins::fake_upstream>>();
            hooks.crashed = [&loop](std::string const& request)
            {
                std::cout << "crash at=" << loop.now().time_since_epoch().count()
                          << " request=" << request << std::endl;
            };
            hooks.rejected_for_now = [&loop](std::string const& request)
            {
                std::cout << "rejected_for_now at=" << loop.now().time_since_epoch().count()
                          << " request=" << request << std::endl;
            };
            hooks.restarted = [&loop, self](std::string const& former_id)
            {
                std::cout << "restart at=" << loop.now().time_since_epoch().count()
                          << " former=" << former_id << " id=" << self->lock()->id() << std::endl;
            };
            auto const it = std::make_shared<stand_ins::fake_upstream>(
                loop, settings.text("id"), settings.text("kind") == "engine",
                static_cast<std::uint16_t>(stand_ins::number(settings, "serve-port")),
                std::move(hooks));
            *self = it;
            it->end_answers_with_connection(stand_ins::number(settings, "ends-with-connection") ==
                                            1);
            it->set_software(settings.text("software"));
            it->crash_on_part(settings.text("crash-on-part"),
                              stand_ins::milliseconds(settings, "crash-ms"));
            std::cout << "serving port=" << it->port() << std::endl;
            return [it](stand_ins::exchange_ptr const& exchange)
            {
                if (stand_ins::parse_target(exchange->target()).path == "/control")
                    control(*it, exchange);
                else
                    stand_ins::respond_error(exchange, 404, "no such resource");
            };
        });
}
