#include <tests/stand_ins/service/service.hpp>

int main(int argc, char** argv)
{
    using namespace savorymount;
    runtime::settings_parser parser("savorymount-service-stand-in");
    return stand_ins::run(argc, argv, parser,
                          [](runtime::event_loop& loop, runtime::parsed_settings const&)
                          {
                              auto const it = std::make_shared<stand_ins::service>(loop);
                              return [it](stand_ins::exchange_ptr const& exchange)
                              {
                                  it->handle(exchange);
                              };
                          });
}
