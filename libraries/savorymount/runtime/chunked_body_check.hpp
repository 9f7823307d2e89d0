#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace savorymount::runtime
{

/// Checks the framing of a body in chunks, with its trailers, before a parser that takes other
/// bytes for the line ends around a chunk.
class chunked_body_check
{
public:
    /// Checks what belongs to the body and ignores the bytes after it. Returns why the bytes are no
    /// body in chunks; empty as long as they may be one.
    std::string feed(std::string_view bytes);

private:
    enum class part
    {
        size_line,
        data,
        data_end,
        trailer,
        finished
    };

    /// Appends bytes up to the end of the line and removes them. Returns whether the line is whole.
    bool take_line(std::string_view& bytes);
    std::string check_line();
    std::string check_size_line();

    part part_ = part::size_line;
    /// The bytes of the current line that have arrived.
    std::string line_;
    std::uint64_t data_left_ = 0;
};

} // namespace savorymount::runtime
