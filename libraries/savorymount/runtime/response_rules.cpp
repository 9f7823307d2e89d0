#include <savorymount/runtime/response_rules.hpp>

#include <algorithm>

namespace savorymount::runtime
{
namespace
{

constexpr int first_final_status = 200;
constexpr int last_status = 599;
constexpr int status_continue = 100;
constexpr int status_processing = 102;
constexpr int status_early_hints = 103;
constexpr unsigned char first_printable = 0x20;
constexpr unsigned char delete_character = 0x7f;

bool is_control(char it)
{
    auto const byte = static_cast<unsigned char>(it);
    return byte < first_printable || byte == delete_character;
}

bool is_token_character(char it)
{
    constexpr std::string_view separators = " \t\"(),/:;<=>?@[\\]{}";
    bool const is_ascii = static_cast<unsigned char>(it) < delete_character;
    return is_ascii && !is_control(it) && separators.find(it) == std::string_view::npos;
}

/// Any other coding would be dropped with its header field, while the body stays coded.
bool is_only_chunked(http_headers const& headers)
{
    std::size_t codings = 0;
    for (auto const& it : headers)
    {
        if (!equal_header_names(it.name, "Transfer-Encoding"))
            continue;
        ++codings;
        if (!equal_header_names(it.value, "chunked"))
            return false;
    }
    return codings <= 1;
}

} // namespace

bool is_final_status(int status)
{
    return status >= first_final_status && status <= last_status;
}

bool is_interim_status(int status)
{
    return status == status_continue || status == status_processing || status == status_early_hints;
}

bool is_field_name(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), is_token_character);
}

bool is_field_value(std::string_view text)
{
    return std::none_of(text.begin(), text.end(),
                        [](char it) { return it != '\t' && is_control(it); });
}

bool is_field_line(std::string_view line)
{
    auto const colon = line.find(':');
    return colon != std::string_view::npos && is_field_name(line.substr(0, colon)) &&
           is_field_value(line.substr(colon + 1));
}

std::string response_fault(int status, http_headers const& headers)
{
    if (!is_final_status(status) && !is_interim_status(status))
        return "the status " + std::to_string(status) + " is no status of a response";
    for (auto const& it : headers)
    {
        if (!is_field_name(it.name))
            return "the name of a header field is no token";
        if (!is_field_value(it.value))
            return "the value of a header field has a control byte";
    }
    if (!is_only_chunked(headers))
        return "the body has another transfer coding than \"chunked\"";
    return {};
}

} // namespace savorymount::runtime
