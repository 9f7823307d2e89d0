#include <savorymount/deduplication/claim.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <string_view>

namespace savorymount::deduplication
{
namespace
{

constexpr std::size_t key_digest_digits = 64;

bool is_hex_digit(char it)
{
    return (it >= '0' && it <= '9') || (it >= 'a' && it <= 'f');
}

bool is_key_digest(std::string_view text)
{
    return text.size() == key_digest_digits && std::all_of(text.begin(), text.end(), is_hex_digit);
}

nlohmann::json fields_of(claim const& it)
{
    nlohmann::json out = {{"workspace", it.workspace},
                          {"key", it.key_digest},
                          {"request", it.request_id},
                          {"agent", it.agent},
                          {"incarnation", it.incarnation}};
    if (!it.request_digest.empty())
        out["digest"] = it.request_digest;
    return out;
}

bool read_identifier(nlohmann::json const& object, char const* name, std::string& out)
{
    auto const it = object.find(name);
    if (it == object.end() || !it->is_string())
        return false;
    out = it->get<std::string>();
    return !out.empty() && out.size() <= max_claim_identifier_bytes;
}

bool read_claim(nlohmann::json const& object, claim& out)
{
    return object.is_object() && read_identifier(object, "workspace", out.workspace) &&
           read_identifier(object, "key", out.key_digest) && is_key_digest(out.key_digest) &&
           read_identifier(object, "request", out.request_id) &&
           read_identifier(object, "agent", out.agent) &&
           read_identifier(object, "incarnation", out.incarnation) &&
           (!object.contains("digest") || read_identifier(object, "digest", out.request_digest));
}

} // namespace

nlohmann::json to_json(std::vector<claim> const& claims)
{
    nlohmann::json out = {{"kind", "claim"}};
    if (claims.size() == 1)
    {
        out.update(fields_of(claims.front()));
        return out;
    }
    out["claims"] = nlohmann::json::array();
    for (auto const& it : claims)
        out["claims"].push_back(fields_of(it));
    return out;
}

std::optional<std::vector<claim>> parse_claims(nlohmann::json const& body, base::error& reason)
{
    reason = {base::error_kind::invalid_input,
              "a claim record is malformed and is ignored; check the version of its writer"};
    if (!body.is_object() || body.value("kind", nlohmann::json()) != "claim")
        return std::nullopt;
    auto const list = body.find("claims");
    if (list != body.end() && !list->is_array())
        return std::nullopt;
    auto const elements = list != body.end() ? *list : nlohmann::json::array({body});
    std::vector<claim> out;
    for (auto const& it : elements)
        if (!read_claim(it, out.emplace_back()))
            return std::nullopt;
    return out;
}

} // namespace savorymount::deduplication
