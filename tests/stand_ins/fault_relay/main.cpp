#include <tests/stand_ins/fault_relay/fault_relay.hpp>

namespace
{

using namespace savorymount;

runtime::network_address address(runtime::parsed_settings const& settings, std::string const& name)
{
    base::error reason;
    auto const out = runtime::parse_address(name, settings.text(name), reason);
    if (out)
        return *out;
    std::cerr << reason.message << "\n";
    std::exit(2);
}

} // namespace

int main(int argc, char** argv)
{
    runtime::settings_parser parser("savorymount-fault-relay");
    parser.add("listen", "127.0.0.1:0", "IP:port whose connections are relayed")
        .add("target", std::nullopt, "IP:port that they are relayed to");
    return stand_ins::run(argc, argv, parser,
                          [](runtime::event_loop& loop, runtime::parsed_settings const& settings)
                          {
                              auto const it = std::make_shared<stand_ins::fault_relay>(
                                  loop, address(settings, "target"));
                              base::error reason;
                              auto const port = it->listen(address(settings, "listen"), reason);
                              if (!port)
                              {
                                  std::cerr << reason.message << "\n";
                                  std::exit(1);
                              }
                              std::cout << "relaying port=" << *port << std::endl;
                              return [it](stand_ins::exchange_ptr const& exchange)
                              {
                                  it->handle(exchange);
                              };
                          });
}
