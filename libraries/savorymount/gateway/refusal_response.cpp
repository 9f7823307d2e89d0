#include <savorymount/gateway/refusal_response.hpp>

#include <cstdio>
#include <string>

namespace savorymount::gateway
{
namespace
{

std::string seconds_text(base::duration time)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%.3f", std::chrono::duration<double>(time).count());
    return text;
}

} // namespace

runtime::http_headers refusal_headers(refusal const& it)
{
    runtime::http_headers out{{"Content-Type", "text/plain"}};
    if (it.retry_after)
        out.push_back({"Retry-After", seconds_text(*it.retry_after)});
    return out;
}

} // namespace savorymount::gateway
