#include <savorymount/streams/chat_usage.hpp>

#include <nlohmann/json.hpp>

namespace savorymount::streams
{
namespace
{

std::optional<chat_usage> set_invalid_input(base::error& reason, std::string message)
{
    reason = {base::error_kind::invalid_input, std::move(message)};
    return std::nullopt;
}

bool read_count(nlohmann::json const& object, char const* name, std::uint64_t& out)
{
    auto const it = object.find(name);
    if (it == object.end() || !it->is_number_unsigned())
        return false;
    out = it->get<std::uint64_t>();
    return true;
}

bool read_cached_tokens(nlohmann::json const& usage, std::uint64_t& out)
{
    auto const details = usage.find("prompt_tokens_details");
    if (details == usage.end() || details->is_null())
        return true;
    if (!details->is_object())
        return false;
    auto const cached = details->find("cached_tokens");
    if (cached == details->end() || cached->is_null())
        return true;
    return read_count(*details, "cached_tokens", out);
}

} // namespace

std::optional<chat_usage> parse_chat_usage(std::string_view json, base::error& reason)
{
    auto const document = nlohmann::json::parse(json, nullptr, false);
    if (!document.is_object())
        return set_invalid_input(
            reason, "the response is not a JSON object; check the upstream's protocol");
    auto const usage = document.find("usage");
    if (usage == document.end() || usage->is_null())
    {
        reason = {base::error_kind::not_found,
                  "the response has no usage; configure the upstream to report it"};
        return std::nullopt;
    }
    chat_usage out;
    if (!usage->is_object() || !read_count(*usage, "prompt_tokens", out.prompt_tokens) ||
        !read_count(*usage, "completion_tokens", out.completion_tokens) ||
        !read_cached_tokens(*usage, out.cached_tokens))
        return set_invalid_input(
            reason, "the usage has no valid token counts; check the upstream's protocol");
    if (out.cached_tokens > out.prompt_tokens)
        return set_invalid_input(
            reason, "the usage has more cached tokens than prompt tokens; check the upstream");
    return out;
}

std::optional<chat_usage> parse_event_usage(std::string_view data, base::error& reason)
{
    // Quotes inside a JSON string are escaped, so this matches only a member name or a complete
    // string.
    if (data.find("\"usage\"") != std::string_view::npos)
        return parse_chat_usage(data, reason);
    reason = {base::error_kind::not_found, "the event has no usage"};
    return std::nullopt;
}

} // namespace savorymount::streams
