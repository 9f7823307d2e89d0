#include <tests/stand_ins/users_platform/fake_upstream.hpp>

/// One upstream of the users' platform as a process of its own. It prints each run and each
/// accepted order with the time since boot in microseconds.
int main(int argc, char** argv)
{
    using namespace savorymount;
    runtime::settings_parser parser("savorymount-users-upstream-stand-in");
    parser.add("id", std::nullopt, "id of this incarnation")
        .add("kind", std::nullopt, "engine or desk")
        .add("serve-port", "0", "port for requests; 0 lets the kernel choose");
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
            auto const it = std::make_shared<stand_ins::fake_upstream>(
                loop, settings.text("id"), settings.text("kind") == "engine",
                static_cast<std::uint16_t>(stand_ins::number(settings, "serve-port")),
                std::move(hooks));
            std::cout << "serving port=" << it->port() << std::endl;
            return [it](stand_ins::exchange_ptr const& exchange)
            {
                stand_ins::respond_error(exchange, 404, "no such resource");
            };
        });
}
