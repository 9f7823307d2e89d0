#pragma once

#include <string>
#include <vector>

namespace savorymount::tests
{

/// Arguments of a gateway on loopback whose ports the kernel chooses.
inline std::vector<std::string> gateway_arguments(std::string const& instance,
                                                  std::string const& store, bool first_start,
                                                  std::vector<std::string> const& more = {})
{
    std::vector<std::string> out{
        "--instance",       instance,      "--data-centre",  "liege",
        "--http-listen",    "127.0.0.1:0", "--ready-listen", "127.0.0.1:0",
        "--metrics-listen", "127.0.0.1:0", "--peer-listen",  "127.0.0.1:0",
        "--store-address",  store,         "--first-start",  first_start ? "true" : "false"};
    out.insert(out.end(), more.begin(), more.end());
    return out;
}

} // namespace savorymount::tests
