#pragma once

#include <string>
#include <vector>

namespace savorymount::tests
{

/// A response that lenient readers take and that is none.
struct odd_response_text
{
    std::string name;
    std::string text;
};

/// Responses with the given fields and a body of two bytes that are none for one reason each.
inline std::vector<odd_response_text> odd_responses(std::string const& fields)
{
    std::string const framing = "Content-Length: 2\r\n";
    std::string const body = "\r\nok";
    std::string const rest = " OK\r\n" + fields + framing + body;
    std::vector<odd_response_text> out;
    for (char const* const it : {"000", "001", "099", "101", "104", "199", "20", "2", "0200",
                                 "2000", "600", "999", "-20", "+20", "2x0", "", "20\x01"})
        out.push_back({std::string("status ") + it, std::string("HTTP/1.1 ") + it + rest});
    for (char const* const it :
         {"HTTP/0.9", "HTTP/1.2", "HTTP/2.0", "HTTP/01.1", "http/1.1", "ICY"})
        out.push_back({std::string("version ") + it, std::string(it) + " 200" + rest});
    auto const add_field = [&](std::string const& name, std::string const& line)
    {
        out.push_back({name, "HTTP/1.1 200 OK\r\n" + fields + line + "\r\n" + framing + body});
    };
    add_field("blank in a name", "X Field: a");
    add_field("blank at the end of a name", "X-Field : a");
    add_field("blank at the beginning of a name", " X-Field: a");
    add_field("folded line", "X-Field: a\r\n\tb");
    add_field("tab in a name", "X\tField: a");
    add_field("control byte in a name", "X\x01Field: a");
    add_field("delete byte in a name", "X\x7f"
                                       "Field: a");
    add_field("byte above 127 in a name", "X\xe9"
                                          "Field: a");
    add_field("no name", ": a");
    add_field("no colon", "X-Field");
    add_field("NUL in a value", std::string("X-Field: a\0b", 12));
    add_field("control byte in a value", "X-Field: a\x01");
    add_field("carriage return in a value", "X-Field: a\rX-Other: b");
    add_field("two lengths", "Content-Length: 3");
    add_field("a length and chunks", "Transfer-Encoding: chunked");
    auto const chunked = [&](std::string const& coding, std::string const& trailer)
    {
        return "HTTP/1.1 200 OK\r\n" + fields + coding + "\r\n2\r\nok\r\n0\r\n" + trailer + "\r\n";
    };
    out.push_back({"another coding", chunked("Transfer-Encoding: gzip, chunked\r\n", "")});
    out.push_back({"two codings", chunked("Transfer-Encoding: chunked\r\n"
                                          "Transfer-Encoding: chunked\r\n",
                                          "")});
    out.push_back(
        {"blank in a trailer's name", chunked("Transfer-Encoding: chunked\r\n", "X Field: a\r\n")});
    out.push_back({"control byte in a trailer",
                   chunked("Transfer-Encoding: chunked\r\n", "X-Field: a\x01\r\n")});
    out.push_back(
        {"control byte in the reason", "HTTP/1.1 200 O\x01K\r\n" + fields + framing + body});
    out.push_back({"empty line before it", "\r\nHTTP/1.1 200 OK\r\n" + fields + framing + body});
    out.push_back({"odd interim response", "HTTP/1.1 103 Early Hints\r\nX Field: a\r\n\r\n"
                                           "HTTP/1.1 200 OK\r\n" +
                                               fields + framing + body});
    return out;
}

} // namespace savorymount::tests
