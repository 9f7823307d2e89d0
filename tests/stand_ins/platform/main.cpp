#include <tests/stand_ins/platform/platform.hpp>

int main(int argc, char** argv)
{
    using namespace savorymount;
    runtime::settings_parser parser("savorymount-platform-stand-in");
    parser.add("retention-ms", "3600000", "time that log records are kept")
        .add("slow-ms", "500", "delay of log responses in mode slow")
        .add("appends-per-second", "500", "log appends above this rate get 429")
        .add("list-lag-ms", "0", "age of the instance list that is shown")
        .add("weights-ms", "20", "time of one weight download")
        .add("weights-at-once", "3", "downloads that run at once without slowing down")
        .add("weights-per-second", "100", "downloads above this rate get 429");
    return stand_ins::run(argc, argv, parser,
                          [](runtime::event_loop& loop, runtime::parsed_settings const& settings)
                          {
                              auto const it = std::make_shared<stand_ins::platform>(loop, settings);
                              return [it](stand_ins::exchange_ptr const& exchange)
                              {
                                  it->handle(exchange);
                              };
                          });
}
