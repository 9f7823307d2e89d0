#include <savorymount/base/digest.hpp>
#include <savorymount/configuration/credential_filter.hpp>
#include <savorymount/entry/routed_request.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace savorymount::entry
{
namespace
{

constexpr std::size_t longest_idempotency_key = 255;

bool is_connection_header(std::string_view name)
{
    constexpr std::string_view names[] = {"connection",
                                          "keep-alive",
                                          "proxy-authorization",
                                          "proxy-connection",
                                          "te",
                                          "trailer",
                                          "transfer-encoding",
                                          "upgrade",
                                          "content-length",
                                          "host",
                                          "expect"};
    return std::any_of(std::begin(names), std::end(names),
                       [name](std::string_view it)
                       { return runtime::equal_header_names(it, name); });
}

std::optional<std::string> take_idempotency_key(runtime::http_headers& headers, base::error& reason)
{
    auto const value = runtime::find_header(headers, "idempotency-key");
    std::erase_if(headers, [](runtime::http_header const& it)
                  { return runtime::equal_header_names(it.name, "idempotency-key"); });
    if (!value)
        return std::string();
    if (value->empty() || value->size() > longest_idempotency_key)
    {
        reason = {base::error_kind::invalid_input, "Idempotency-Key must have 1 to 255 characters"};
        return std::nullopt;
    }
    return base::sha256_hex(*value);
}

bool authenticate(std::optional<std::string> const& presented, configuration::route const& route,
                  configuration::key_table const& keys, routed_request& out, base::error& reason)
{
    if (route.open)
    {
        out.workspace = configuration::open_workspace;
        return true;
    }
    auto const key = presented ? keys.authenticate(*presented) : std::nullopt;
    if (!key)
    {
        reason = {base::error_kind::unauthorized,
                  presented ? "the key is not valid; ask the operator for a new one"
                            : "no key came with the request; send it as Authorization: Bearer KEY"};
        return false;
    }
    out.workspace = key->workspace;
    out.key_id = key->key_id;
    return true;
}

/// The newest version of the model that is served; the newest wanted one if none is, so that a
/// new version takes over only once an engine holds it.
configuration::wanted_model const* find_model(configuration::upstream_group const& group,
                                              std::string const& name, model_check const& serves)
{
    auto const colon = name.find(':');
    std::string const model = name.substr(0, colon);
    std::string const adapter = colon == std::string::npos ? "" : name.substr(colon + 1);
    configuration::wanted_model const* newest = nullptr;
    for (auto it = group.models.rbegin(); it != group.models.rend(); ++it)
    {
        if (it->model != model || it->adapter != adapter)
            continue;
        if (serves(group.group, {it->model, it->adapter, it->version}))
            return &*it;
        newest = newest == nullptr ? &*it : newest;
    }
    return newest;
}

/// The caller's limit on the answer, at most what the model allows; zero if it is not a number.
std::uint64_t answer_limit(nlohmann::json const& body, std::uint64_t allowed)
{
    for (char const* const name : {"max_completion_tokens", "max_tokens"})
    {
        auto const it = body.find(name);
        if (it == body.end() || it->is_null())
            continue;
        return it->is_number_unsigned() ? std::min(it->get<std::uint64_t>(), allowed) : 0;
    }
    return allowed;
}

bool read_model_body(configuration::upstream_group const& group, model_check const& serves,
                     routed_request& out, base::error& reason)
{
    auto body = nlohmann::json::parse(out.body, nullptr, false);
    if (!body.is_object() || !body.contains("model") || !body["model"].is_string())
    {
        reason = {base::error_kind::invalid_input,
                  "the body must be a JSON object with \"model\" and \"messages\""};
        return false;
    }
    auto const name = body["model"].get<std::string>();
    auto const* const wanted = find_model(group, name, serves);
    if (wanted == nullptr)
    {
        reason = {base::error_kind::not_found,
                  "the model " + name + " is not offered here; ask the operator for the names"};
        return false;
    }
    out.answer_tokens = answer_limit(body, wanted->max_answer_tokens);
    if (out.answer_tokens == 0)
    {
        reason = {base::error_kind::invalid_input, "max_tokens must be a positive whole number"};
        return false;
    }
    auto const stream = body.find("stream");
    out.stream = stream != body.end() && stream->is_boolean() && stream->get<bool>();
    out.model = runtime::held_model{wanted->model, wanted->adapter, wanted->version};
    routing::prefix_seed const seed{out.workspace, wanted->model, wanted->adapter, wanted->version};
    auto prefix = routing::parse_prompt_prefix(out.body, seed, {}, reason);
    if (!prefix)
        return false;
    out.prefix = std::move(*prefix);
    // The engine must not generate more than was reserved, whatever the caller asked for.
    body.erase("max_completion_tokens");
    body["max_tokens"] = out.answer_tokens;
    body.erase("cache_salt");
    out.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return true;
}

} // namespace

std::optional<routed_request> parse_routed_request(raw_request const& raw,
                                                   configuration::configuration const& current,
                                                   configuration::key_table const& keys,
                                                   model_check const& serves, base::error& reason)
{
    std::vector<configuration::header> headers;
    for (auto const& it : raw.headers)
    {
        if (!is_connection_header(it.name))
            headers.push_back({it.name, it.value});
    }
    auto const filtered = configuration::filter_credentials(headers, raw.target, reason);
    if (!filtered)
        return std::nullopt;
    auto const* const route = current.match_route(filtered->target);
    if (route == nullptr)
    {
        reason = {base::error_kind::not_found, "no route serves this path; check the address"};
        return std::nullopt;
    }
    routed_request out;
    if (!authenticate(filtered->presented_key, *route, keys, out, reason))
        return std::nullopt;
    auto const* const contract = current.find_workspace(out.workspace);
    auto const* const group = current.find_group(route->group);
    if (contract == nullptr || group == nullptr || (!route->open && !contract->allows(route->name)))
    {
        reason = {base::error_kind::forbidden,
                  "the contract of this workspace does not include this route; ask the operator"};
        return std::nullopt;
    }
    out.id = raw.id;
    out.route = route->name;
    out.group = route->group;
    out.method = raw.method;
    out.target = filtered->target;
    for (auto const& it : filtered->headers)
        out.headers.push_back({it.name, it.value});
    out.body = raw.body;
    out.priority = static_cast<std::int32_t>(contract->weight);
    bool const model = route->kind == configuration::upstream_kind::model;
    out.repeatable = model || route->repeatable(raw.method);
    auto key = take_idempotency_key(out.headers, reason);
    if (!key)
        return std::nullopt;
    out.idempotency_key = std::move(*key);
    if (!model)
        out.cost_tokens = route->cost_tokens;
    else if (!read_model_body(*group, serves, out, reason))
        return std::nullopt;
    out.digest =
        base::sha256_hex(out.workspace + "\n" + out.method + "\n" + out.target + "\n" + out.body);
    return out;
}

} // namespace savorymount::entry
