#include <savorymount/runtime/http_fetch.hpp>
#include <savorymount/runtime/plugin_registry.hpp>

#include <utility>

namespace savorymount::plugins
{
namespace
{

using namespace std::chrono_literals;

constexpr base::duration connect_timeout = 1s;
constexpr base::duration answer_timeout = 3s;
constexpr std::size_t max_page_bytes = std::size_t{64} * 1024 * 1024;

base::error malformed(std::string_view what)
{
    return {base::error_kind::unavailable, "the platform's log sent a malformed " +
                                               std::string(what) +
                                               "; check the log address in the settings"};
}

std::optional<runtime::log_record> parse_record(nlohmann::json const& it)
{
    if (!it.is_object() || !it.contains("offset") || !it["offset"].is_number_unsigned())
        return std::nullopt;
    runtime::log_record out;
    out.offset = it["offset"].get<std::uint64_t>();
    if (it.contains("id") && it["id"].is_string())
        out.id = it["id"].get<std::string>();
    if (it.contains("time_ms") && it["time_ms"].is_number_integer())
        out.time_ms = it["time_ms"].get<std::int64_t>();
    if (it.contains("body"))
        out.body = it["body"];
    return out;
}

std::optional<runtime::log_page> parse_page(std::string const& text)
{
    auto const parsed = nlohmann::json::parse(text, nullptr, false);
    bool const complete = parsed.is_object() && parsed.contains("first") &&
                          parsed["first"].is_number_unsigned() && parsed.contains("next") &&
                          parsed["next"].is_number_unsigned() && parsed.contains("records") &&
                          parsed["records"].is_array();
    if (!complete)
        return std::nullopt;
    runtime::log_page out;
    out.first = parsed["first"].get<std::uint64_t>();
    out.next = parsed["next"].get<std::uint64_t>();
    for (auto const& it : parsed["records"])
    {
        if (auto record = parse_record(it))
            out.records.push_back(std::move(*record));
    }
    return out;
}

base::error describe(std::optional<runtime::http_answer> const& answer,
                     std::optional<runtime::http_failure> const& failure)
{
    if (failure)
        return failure->reason;
    return {base::error_kind::unavailable,
            "the platform's log answered with status " + std::to_string(answer->status)};
}

runtime::http_call_request make_request(runtime::network_address const& address, std::string method,
                                        std::string target, std::string body)
{
    runtime::http_call_request out;
    out.address = address;
    out.method = std::move(method);
    out.target = std::move(target);
    out.headers = {{"content-type", "application/json"}};
    out.body = std::move(body);
    out.connect_timeout = connect_timeout;
    out.idle_timeout = answer_timeout;
    return out;
}

void append(runtime::event_loop& loop, runtime::network_address const& address,
            nlohmann::json const& record, runtime::platform_log::append_done done)
{
    runtime::http_fetch(
        loop, make_request(address, "POST", "/log/append", record.dump()), max_page_bytes,
        [done = std::move(done)](std::optional<runtime::http_answer> const& answer,
                                 std::optional<runtime::http_failure> const& failure)
        {
            if (!answer || answer->status != 200)
            {
                auto reason = describe(answer, failure);
                // The record may have been written although its answer is lost or is an error.
                bool const refused = answer && answer->status / 100 == 4;
                if (!refused && (answer || failure->written))
                    reason.kind = base::error_kind::unknown_outcome;
                done(std::nullopt, reason);
                return;
            }
            auto const parsed = nlohmann::json::parse(answer->body, nullptr, false);
            if (parsed.is_object() && parsed.contains("offset") &&
                parsed["offset"].is_number_unsigned())
                done(parsed["offset"].get<std::uint64_t>(), {});
            else
                done(std::nullopt, malformed("append answer"));
        });
}

void read(runtime::event_loop& loop, runtime::network_address const& address, std::uint64_t from,
          std::size_t limit, runtime::platform_log::read_done done)
{
    auto const target =
        "/log/read?from=" + std::to_string(from) + "&limit=" + std::to_string(limit);
    runtime::http_fetch(
        loop, make_request(address, "GET", target, ""), max_page_bytes,
        [done = std::move(done)](std::optional<runtime::http_answer> const& answer,
                                 std::optional<runtime::http_failure> const& failure)
        {
            if (!answer || answer->status != 200)
            {
                done(std::nullopt, describe(answer, failure));
                return;
            }
            auto page = parse_page(answer->body);
            auto const reason = page ? base::error{} : malformed("page");
            done(std::move(page), reason);
        });
}

runtime::platform_log make_log(runtime::event_loop& loop, runtime::network_address const& address)
{
    runtime::platform_log out;
    out.append = [&loop, address](std::string id, nlohmann::json body,
                                  runtime::platform_log::append_done done)
    {
        nlohmann::json const record{{"id", std::move(id)}, {"body", std::move(body)}};
        append(loop, address, record, std::move(done));
    };
    out.read = [&loop, address](std::uint64_t from, std::size_t limit,
                                runtime::platform_log::read_done done)
    {
        read(loop, address, from, limit, std::move(done));
    };
    return out;
}

bool const registered =
    runtime::plugin_registry<runtime::platform_log>::instance().add("http", make_log);

} // namespace
} // namespace savorymount::plugins
