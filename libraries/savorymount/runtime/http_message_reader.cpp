#include <savorymount/runtime/http_message_reader.hpp>
#include <savorymount/runtime/response_rules.hpp>

#include <algorithm>
#include <utility>

namespace savorymount::runtime
{
namespace
{

// Line ends and separators that a field needs besides its name and value.
constexpr std::size_t field_overhead_bytes = 4;
constexpr int parsing_continues = 0;
constexpr int parsing_fails = -1;
constexpr int response_has_no_body = 1;

bool asks_for_continue(http_headers const& headers)
{
    auto const value = find_header(headers, "Expect");
    return value && equal_header_names(*value, "100-continue");
}

bool are_names_tokens(http_headers const& headers)
{
    return std::all_of(headers.begin(), headers.end(),
                       [](auto const& it) { return is_field_name(it.name); });
}

} // namespace

http_message_reader::http_message_reader(http_message_kind kind, std::size_t max_header_bytes,
                                         http_message_hooks hooks)
    : kind_(kind), hooks_(std::move(hooks)), max_header_bytes_(max_header_bytes),
      settings_(make_settings())
{
    http_parser_init(&parser_, kind == http_message_kind::request ? HTTP_REQUEST : HTTP_RESPONSE);
    parser_.data = this;
}

::http_parser_settings http_message_reader::make_settings()
{
    ::http_parser_settings out;
    http_parser_settings_init(&out);
    out.on_message_begin = on_begin;
    out.on_url = on_url;
    out.on_header_field = on_field;
    out.on_header_value = on_value;
    out.on_headers_complete = on_headers_complete;
    out.on_body = on_body;
    out.on_message_complete = on_complete;
    return out;
}

std::optional<std::size_t> http_message_reader::feed(std::string_view bytes, base::error& reason)
{
    if (kind_ == http_message_kind::request)
        return execute_sound(bytes, reason);
    auto const head_bytes = head_check_.feed(bytes, fault_);
    std::optional<std::size_t> consumed = 0;
    // NOTE: The parser takes no bytes at all for the end of the connection.
    if (head_bytes > 0)
        consumed = execute_sound(bytes.substr(0, head_bytes), reason);
    bool const is_body_next = consumed == head_bytes && head_bytes < bytes.size() && inside_;
    if (!is_body_next)
        return consumed;
    auto const rest = bytes.substr(head_bytes);
    if (chunk_check_)
        fault_ = chunk_check_->feed(rest);
    consumed = execute_sound(rest, reason);
    return consumed ? std::optional(head_bytes + *consumed) : std::nullopt;
}

std::optional<std::size_t> http_message_reader::execute_sound(std::string_view bytes,
                                                              base::error& reason)
{
    auto const consumed = fault_.empty() ? execute(bytes, reason) : std::nullopt;
    if (!consumed && !fault_.empty())
        reason = {base::error_kind::invalid_input, kind_ == http_message_kind::request
                                                       ? fault_
                                                       : "the message is no response: " + fault_};
    return consumed;
}

std::optional<std::size_t> http_message_reader::execute(std::string_view bytes, base::error& reason)
{
    http_parser_pause(&parser_, 0);
    auto const consumed = http_parser_execute(&parser_, &settings_, bytes.data(), bytes.size());
    auto const failure = HTTP_PARSER_ERRNO(&parser_);
    if (failure == HPE_OK || failure == HPE_PAUSED)
        return consumed;
    std::exchange(head_.headers, {});
    if (too_large_ || failure == HPE_HEADER_OVERFLOW)
        reason = {base::error_kind::too_large, "the header is larger than " +
                                                   std::to_string(max_header_bytes_) +
                                                   " bytes; send fewer or shorter fields"};
    else
        reason = {base::error_kind::invalid_input,
                  std::string("the message is malformed: ") + http_errno_description(failure)};
    return std::nullopt;
}

bool http_message_reader::finish()
{
    if (!inside_)
        return false;
    http_parser_pause(&parser_, 0);
    http_parser_execute(&parser_, &settings_, nullptr, 0);
    auto const failure = HTTP_PARSER_ERRNO(&parser_);
    return !inside_ && (failure == HPE_OK || failure == HPE_PAUSED);
}

http_message_reader& http_message_reader::self(::http_parser* parser)
{
    return *static_cast<http_message_reader*>(parser->data);
}

int http_message_reader::on_begin(::http_parser* parser)
{
    auto& reader = self(parser);
    reader.head_ = {};
    reader.header_bytes_ = 0;
    reader.inside_ = true;
    reader.head_complete_ = false;
    reader.last_was_value_ = true;
    return parsing_continues;
}

int http_message_reader::on_url(::http_parser* parser, char const* at, std::size_t length)
{
    auto& reader = self(parser);
    reader.head_.target.append(at, length);
    return reader.count_header_bytes(length) ? parsing_continues : parsing_fails;
}

int http_message_reader::on_field(::http_parser* parser, char const* at, std::size_t length)
{
    auto& reader = self(parser);
    // NOTE: Fields after the head are trailers of a chunked body. They are counted and dropped.
    // A name that arrives in pieces may end with an empty one.
    if (reader.head_complete_ && length > 0 && !is_field_name({at, length}))
        return parsing_fails;
    if (!reader.head_complete_)
    {
        if (reader.last_was_value_)
            reader.head_.headers.push_back({});
        reader.last_was_value_ = false;
        reader.head_.headers.back().name.append(at, length);
    }
    return reader.count_header_bytes(length + field_overhead_bytes) ? parsing_continues
                                                                    : parsing_fails;
}

int http_message_reader::on_value(::http_parser* parser, char const* at, std::size_t length)
{
    auto& reader = self(parser);
    if (!reader.head_complete_)
    {
        reader.last_was_value_ = true;
        reader.head_.headers.back().value.append(at, length);
    }
    else if (!is_field_value({at, length}))
        return parsing_fails;
    return reader.count_header_bytes(length) ? parsing_continues : parsing_fails;
}

int http_message_reader::on_headers_complete(::http_parser* parser)
{
    auto& reader = self(parser);
    bool const is_sound =
        parser->type == HTTP_REQUEST ? reader.check_request_head() : reader.check_response_head();
    if (!is_sound)
        return parsing_fails;
    reader.head_complete_ = true;
    reader.head_.keep_alive = http_should_keep_alive(parser) != 0;
    if (parser->type == HTTP_REQUEST)
        reader.head_.method = http_method_str(static_cast<http_method>(parser->method));
    else
        reader.head_.status = static_cast<int>(parser->status_code);
    bool const has_length = (parser->flags & F_CONTENTLENGTH) != 0;
    if (has_length)
        reader.head_.content_length = parser->content_length;
    reader.head_.reads_chunks =
        parser->http_major > 1 || (parser->http_major == 1 && parser->http_minor >= 1);
    reader.head_.expects_continue = asks_for_continue(reader.head_.headers);
    if (reader.is_interim())
        return response_has_no_body;
    reader.ends_with_connection_ =
        parser->type == HTTP_RESPONSE && !has_length && (parser->flags & F_CHUNKED) == 0 &&
        !has_no_body(reader.head_.status) && !reader.expects_head_response_;
    bool const has_chunks = (parser->flags & F_CHUNKED) != 0 && !has_no_body(reader.head_.status) &&
                            !reader.expects_head_response_;
    if (parser->type == HTTP_RESPONSE && has_chunks)
        reader.chunk_check_.emplace();
    reader.hooks_.head(reader.head_);
    // The owner keeps the fields; many short ones take far more memory than their bytes.
    std::exchange(reader.head_.headers, {});
    return reader.expects_head_response_ ? response_has_no_body : parsing_continues;
}

int http_message_reader::on_body(::http_parser* parser, char const* at, std::size_t length)
{
    self(parser).hooks_.body(std::string_view(at, length));
    return parsing_continues;
}

int http_message_reader::on_complete(::http_parser* parser)
{
    auto& reader = self(parser);
    if (reader.is_interim())
        return parsing_continues;
    reader.inside_ = false;
    reader.head_check_.reset();
    reader.chunk_check_.reset();
    http_parser_pause(parser, 1);
    reader.hooks_.end();
    return parsing_continues;
}

bool http_message_reader::check_request_head()
{
    // NOTE: The parser ends the message after the head, whatever length it names. Its body would be
    // taken for the next request.
    if (parser_.method == HTTP_CONNECT)
        fault_ = "CONNECT is not supported; send the request itself";
    return fault_.empty() && are_names_tokens(head_.headers);
}

bool http_message_reader::check_response_head()
{
    fault_ = response_fault(static_cast<int>(parser_.status_code), head_.headers);
    bool const knows_chunks = parser_.http_major > 1 || parser_.http_minor > 0;
    if (fault_.empty() && !knows_chunks && find_header(head_.headers, "Transfer-Encoding"))
        fault_ = "a response of HTTP/1.0 has a transfer coding";
    // The parser takes other bytes for the end of a line.
    if (fault_.empty() && !is_interim_status(static_cast<int>(parser_.status_code)) &&
        !head_check_.finished())
        fault_ = "its head does not end with an empty line";
    return fault_.empty();
}

bool http_message_reader::count_header_bytes(std::size_t n)
{
    header_bytes_ += n;
    too_large_ = header_bytes_ > max_header_bytes_;
    return !too_large_;
}

bool http_message_reader::is_interim() const
{
    return is_interim_status(head_.status);
}

} // namespace savorymount::runtime
