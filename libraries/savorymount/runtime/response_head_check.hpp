#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace savorymount::runtime
{

/// Checks the bytes of response heads line by line, before a parser that takes more than
/// `response_rules` allow. Interim heads and the final one after them are one run.
class response_head_check
{
public:
    /// Checks what belongs to the heads and returns how many bytes that are; the others follow the
    /// final head. Sets `fault` if the bytes are no response.
    std::size_t feed(std::string_view bytes, std::string& fault);

    /// Whether the final head is whole.
    bool finished() const { return finished_; }

    /// The next bytes begin a new response.
    void reset();

private:
    std::string check_line(std::string_view line);
    std::string check_status_line(std::string_view line);

    /// The bytes of the current line that have arrived.
    std::string line_;
    bool in_status_line_ = true;
    bool interim_ = false;
    bool finished_ = false;
};

} // namespace savorymount::runtime
