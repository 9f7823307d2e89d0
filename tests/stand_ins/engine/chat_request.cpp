#include <savorymount/base/digest.hpp>

#include <cstdlib>
#include <string_view>
#include <tests/stand_ins/engine/chat_request.hpp>

namespace savorymount::stand_ins
{
namespace
{

constexpr std::size_t bytes_per_token = 4;

// The engine's own seed keeps its block names apart from the router's digests.
constexpr std::uint64_t engine_seed = 0x656e67696e65;

std::optional<std::string> message_text(nlohmann::json const& messages)
{
    if (!messages.is_array())
        return std::nullopt;
    std::string out;
    for (auto const& it : messages)
    {
        if (!it.is_object() || !it.contains("content") || !it.at("content").is_string())
            return std::nullopt;
        out += it.at("content").get<std::string>();
    }
    return out;
}

std::vector<std::uint64_t> block_names(std::string_view text, std::string_view salt,
                                       std::size_t block_bytes)
{
    std::vector<std::uint64_t> out;
    std::uint64_t name = base::chain_digest(engine_seed, salt);
    for (std::size_t n = 0; n + block_bytes <= text.size(); n += block_bytes)
    {
        name = base::chain_digest(name, text.substr(n, block_bytes));
        out.push_back(name);
    }
    return out;
}

std::string text_member(nlohmann::json const& body, char const* name)
{
    auto const it = body.find(name);
    return it != body.end() && it->is_string() ? it->get<std::string>() : std::string();
}

} // namespace

std::string answer_token(chat_request const& request, std::size_t index)
{
    return "t" + std::to_string(index) + "-" + request.mark + " ";
}

std::optional<chat_request> parse_chat_request(nlohmann::json const& body,
                                               runtime::http_headers const& headers,
                                               std::size_t block_tokens,
                                               std::size_t default_answer_tokens)
{
    if (!body.is_object())
        return std::nullopt;
    auto const text = message_text(body.value("messages", nlohmann::json()));
    if (!text)
        return std::nullopt;
    chat_request out;
    out.id = runtime::find_header(headers, "x-request-id").value_or("");
    out.model = {text_member(body, "model"), text_member(body, "adapter"),
                 text_member(body, "version")};
    out.stream = body.contains("stream") && body.at("stream") == true;
    out.priority = std::atoll(runtime::find_header(headers, "x-priority").value_or("0").c_str());
    out.resume_from = std::strtoull(
        runtime::find_header(headers, "x-resume-from").value_or("0").c_str(), nullptr, 10);
    out.answer_tokens = default_answer_tokens;
    for (char const* name : {"max_tokens", "max_completion_tokens"})
    {
        if (body.contains(name) && body.at(name).is_number_unsigned())
            out.answer_tokens = body.at(name);
    }
    out.prompt_tokens = (text->size() + bytes_per_token - 1) / bytes_per_token;
    out.blocks =
        block_names(*text, text_member(body, "cache_salt"), block_tokens * bytes_per_token);
    out.mark = base::to_hex(base::chain_digest(0, *text)).substr(0, 4);
    return out;
}

} // namespace savorymount::stand_ins
