#include <savorymount/runtime/http_message.hpp>

#include <algorithm>
#include <array>
#include <http_parser.h>
#include <unordered_set>

namespace savorymount::runtime
{
namespace
{

constexpr std::array<std::string_view, 10> hop_by_hop_names{
    "Connection", "Keep-Alive",        "Proxy-Connection", "Proxy-Authenticate", "TE",
    "Trailer",    "Transfer-Encoding", "Upgrade",          "Content-Length",     "Expect"};

std::string trim(std::string_view text)
{
    auto const first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return std::string(text.substr(first, text.find_last_not_of(" \t") - first + 1));
}

std::string lower_case(std::string_view text)
{
    std::string out(text);
    for (auto& it : out)
        it = it >= 'A' && it <= 'Z' ? static_cast<char>(it - 'A' + 'a') : it;
    return out;
}

void append_headers(std::string& out, http_headers const& headers)
{
    for (auto const& it : headers)
    {
        out += it.name;
        out += ": ";
        out += it.value;
        out += "\r\n";
    }
}

} // namespace

bool has_no_body(int status)
{
    constexpr int first_final = 200;
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    return status < first_final || status == no_content || status == not_modified;
}

bool is_hop_by_hop(std::string_view name)
{
    return std::any_of(hop_by_hop_names.begin(), hop_by_hop_names.end(),
                       [name](std::string_view it) { return equal_header_names(it, name); });
}

std::vector<std::string> connection_options(http_headers const& headers)
{
    std::vector<std::string> out;
    for (auto const& header : headers)
    {
        if (!equal_header_names(header.name, "Connection"))
            continue;
        std::string_view rest = header.value;
        while (!rest.empty())
        {
            auto const comma = std::min(rest.find(','), rest.size());
            out.push_back(trim(rest.substr(0, comma)));
            rest.remove_prefix(std::min(comma + 1, rest.size()));
        }
    }
    return out;
}

http_headers end_to_end_headers(http_headers const& headers)
{
    // A client chooses both the number of options and that of fields, so they are not multiplied.
    std::unordered_set<std::string> named;
    for (auto const& it : connection_options(headers))
        named.insert(lower_case(it));
    http_headers out;
    for (auto const& header : headers)
    {
        bool const listed = !named.empty() && named.contains(lower_case(header.name));
        if (!listed && !is_hop_by_hop(header.name))
            out.push_back(header);
    }
    return out;
}

std::string serialize_request_head(std::string const& method, std::string const& target,
                                   http_headers const& headers, std::string_view fields)
{
    std::string out = method + " " + target + " HTTP/1.1\r\n";
    out += fields;
    append_headers(out, headers);
    out += "\r\n";
    return out;
}

std::string serialize_fields(http_headers const& headers)
{
    std::string out;
    append_headers(out, headers);
    return out;
}

std::string serialize_response_head(int status, http_headers const& headers)
{
    std::string out = "HTTP/1.1 " + std::to_string(status) + " " +
                      http_status_str(static_cast<http_status>(status)) + "\r\n";
    append_headers(out, headers);
    out += "\r\n";
    return out;
}

} // namespace savorymount::runtime
