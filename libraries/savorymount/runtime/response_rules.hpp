#pragma once

#include <savorymount/runtime/http_header.hpp>

#include <string>
#include <string_view>

namespace savorymount::runtime
{

/// What an HTTP response may be, for everything that reads one. Stricter than the parsers: bytes
/// that only a lenient reader takes for a response are handed on to nobody.

/// Whether the status ends a response: 200 to 599.
bool is_final_status(int status);

/// Whether a final response follows one with this status: 100, 102 and 103. No request of this
/// program asks for an upgrade, so 101 answers none.
bool is_interim_status(int status);

/// Whether the text is a token (RFC 9110, 5.6.2).
bool is_field_name(std::string_view text);

/// Whether the text has no control byte but the tab.
bool is_field_value(std::string_view text);

/// Whether the line is a header or trailer field: a name, a colon and a value.
bool is_field_line(std::string_view line);

/// Why this is no head of a final or interim response; empty if it is one.
std::string response_fault(int status, http_headers const& headers);

} // namespace savorymount::runtime
