#include <tests/stand_ins/engine/engine.hpp>

int main(int argc, char** argv)
{
    using namespace savorymount;
    runtime::settings_parser parser("savorymount-engine-stand-in");
    parser.add("models", "m::1", "loaded models as model:adapter:version, separated by commas")
        .add("slots", "8", "requests that run at once")
        .add("block-tokens", "2000", "tokens in a cache block")
        .add("cache-blocks", "64", "blocks that the cache holds")
        .add("answer-tokens", "16", "length of an answer without max_tokens")
        .add("token-ms", "1", "time of a step, in which each running request gets a token")
        .add("prefill-ms-per-block", "2", "time to compute a block that is not cached")
        .add("event-lag-ms", "20", "age at which cache events become visible")
        .add("event-gap-every", "0", "every such cache event is lost; 0 loses none")
        .add("load-lag-ms", "20", "interval at which the load report is renewed")
        .add("checks-fencing", "true", "true refuses orders with an old fencing token")
        .add("load-ms", "20", "time to load weights")
        .add("weights", "", "IP:port of the weight store; empty for none");
    return stand_ins::run(argc, argv, parser,
                          [](runtime::event_loop& loop, runtime::parsed_settings const& settings)
                          {
                              auto const it = std::make_shared<stand_ins::engine>(loop, settings);
                              return [it](stand_ins::exchange_ptr const& exchange)
                              {
                                  it->handle(exchange);
                              };
                          });
}
