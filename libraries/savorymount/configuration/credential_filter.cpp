#include <savorymount/configuration/caller_key.hpp>
#include <savorymount/configuration/credential_filter.hpp>
#include <savorymount/configuration/request_path.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace savorymount::configuration
{
namespace
{

constexpr std::array<std::string_view, 4> credential_headers{"authorization", "proxy-authorization",
                                                             "x-api-key", "api-key"};
constexpr std::array<std::string_view, 3> credential_parameters{"key", "api-key", "access-token"};
constexpr std::array<std::string_view, 3> system_headers{"x-request-id", "x-priority",
                                                         "x-resume-from"};
constexpr std::string_view system_prefix = "x-savorymount-";
/// Upstreams decode once or twice; a text that hides deeper is no ordinary value.
constexpr int max_decodings = 5;

char lower(char it)
{
    return it >= 'A' && it <= 'Z' ? static_cast<char>(it - 'A' + 'a') : it;
}

std::string_view trimmed(std::string_view text)
{
    auto const start = text.find_first_not_of(" \t\"");
    if (start == std::string_view::npos)
        return {};
    return text.substr(start, text.find_last_not_of(" \t\"") - start + 1);
}

/// Servers that pass headers on as variables treat `_` and `-` alike.
std::string normalized_name(std::string_view name)
{
    std::string out(trimmed(name));
    for (char& it : out)
        it = it == '_' ? '-' : lower(it);
    return out;
}

template <std::size_t Size>
bool is_one_of(std::array<std::string_view, Size> const& names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

bool is_system_header(std::string_view name)
{
    return name.starts_with(system_prefix) || is_one_of(system_headers, name);
}

bool is_word(char it)
{
    return (it >= 'a' && it <= 'z') || (it >= '0' && it <= '9');
}

/// Length of the run of lower-case letters and digits at `start`.
std::size_t word_length(std::string_view text, std::size_t start)
{
    std::size_t end = start;
    while (end < text.size() && is_word(text[end]))
        ++end;
    return end - start;
}

bool contains_plain_key(std::string_view text)
{
    constexpr std::string_view prefix = "sm_";
    constexpr std::size_t min_id_length = 4;
    constexpr std::size_t min_secret_length = 16;
    std::string lowered(text);
    std::transform(lowered.begin(), lowered.end(), lowered.begin(), lower);
    for (auto at = lowered.find(prefix); at != std::string::npos; at = lowered.find(prefix, at + 1))
    {
        auto const id = at + prefix.size();
        auto const id_length = word_length(lowered, id);
        auto const end = id + id_length;
        if (id_length < min_id_length || end >= lowered.size() || lowered[end] != '_')
            continue;
        if (word_length(lowered, end + 1) >= min_secret_length)
            return true;
    }
    return false;
}

/// Decodes well-formed escapes and keeps the others, as lenient servers do.
std::string leniently_decoded(std::string_view text)
{
    std::string out;
    out.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        auto const escape = text[i] == '%' ? percent_decoded(text.substr(i, 3)) : std::nullopt;
        out.append(escape ? *escape : std::string(1, text[i]));
        if (escape)
            i += 2;
    }
    return out;
}

/// Collects what the request presents and what may be passed on.
class request_filter
{
public:
    explicit request_filter(base::error& reason) : reason_(reason) {}

    void add_header(header const& it)
    {
        auto const name = normalized_name(it.name);
        if (is_one_of(credential_headers, name))
        {
            note_authorization(it.value);
            return;
        }
        if (is_system_header(name))
            return;
        if (name == "cookie")
        {
            add_cookies(it);
            return;
        }
        if (!contains_key(it.name) && !contains_key(it.value))
            out_.headers.push_back(it);
    }

    bool add_target(std::string_view target)
    {
        // A fragment never belongs into a request.
        target = target.substr(0, target.find('#'));
        auto const question = target.find('?');
        auto const path = target.substr(0, question);
        if (contains_key(path))
        {
            reason_ = {base::error_kind::invalid_input,
                       "the path contains a key; send it in the Authorization header"};
            return false;
        }
        out_.target = path;
        if (question == std::string_view::npos)
            return true;
        auto const query = kept_parts(target.substr(question + 1), '&',
                                      [](std::string_view name)
                                      { return normalized_name(leniently_decoded(name)); });
        if (!query.empty())
            out_.target += "?" + query;
        return true;
    }

    std::optional<filtered_request> result()
    {
        if (conflicting_)
        {
            reason_ = {base::error_kind::invalid_input,
                       "different keys came with the request; send one key"};
            return std::nullopt;
        }
        return std::move(out_);
    }

private:
    /// The parts of `text` that carry no credential.
    template <class Name>
    std::string kept_parts(std::string_view text, char separator, Name const& name_of)
    {
        std::string out;
        std::size_t start = 0;
        bool first = true;
        while (start <= text.size())
        {
            auto const end = std::min(text.find(separator, start), text.size());
            auto const part = text.substr(start, end - start);
            start = end + 1;
            if (is_credential(part, name_of))
                continue;
            if (!std::exchange(first, false))
                out += separator;
            out += part;
        }
        return out;
    }

    template <class Name>
    bool is_credential(std::string_view part, Name const& name_of)
    {
        auto const equals = part.find('=');
        auto const name = name_of(part.substr(0, equals));
        auto const value =
            equals == std::string_view::npos ? std::string_view() : part.substr(equals + 1);
        note_key(leniently_decoded(value));
        return is_one_of(credential_headers, name) || is_one_of(credential_parameters, name) ||
               contains_key(part);
    }

    void add_cookies(header const& it)
    {
        auto const kept = kept_parts(it.value, ';', normalized_name);
        auto const start = kept.find_first_not_of(" \t");
        if (start != std::string::npos)
            out_.headers.push_back({it.name, kept.substr(start)});
    }

    void note_authorization(std::string_view value)
    {
        value = trimmed(value);
        note_key(value);
        // The scheme, such as Bearer, is not checked: some clients leave it out or spell it freely.
        auto const space = value.find_last_of(" \t");
        if (space != std::string_view::npos)
            note_key(value.substr(space + 1));
    }

    void note_key(std::string_view text)
    {
        text = trimmed(text);
        if (!parse_caller_key(text))
            return;
        if (out_.presented_key && *out_.presented_key != text)
            conflicting_ = true;
        out_.presented_key = std::string(text);
    }

    base::error& reason_;
    filtered_request out_;
    bool conflicting_ = false;
};

} // namespace

std::optional<filtered_request> filter_credentials(std::vector<header> const& headers,
                                                   std::string_view target, base::error& reason)
{
    request_filter filter(reason);
    if (!filter.add_target(target))
        return std::nullopt;
    for (auto const& it : headers)
        filter.add_header(it);
    return filter.result();
}

bool contains_key(std::string_view text)
{
    if (contains_plain_key(text))
        return true;
    std::string decoded(text);
    for (int i = 0; i < max_decodings; ++i)
    {
        if (decoded.find('%') == std::string::npos)
            return false;
        auto next = leniently_decoded(decoded);
        if (next == decoded)
            return false;
        if (contains_plain_key(next))
            return true;
        decoded = std::move(next);
    }
    return leniently_decoded(decoded) != decoded;
}

} // namespace savorymount::configuration
