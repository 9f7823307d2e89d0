#pragma once

#include <string>
#include <vector>

namespace savorymount::control
{

/// Rows of text with aligned columns. Control characters are shown as `?`, since cells may hold
/// text from the log or from an instance.
class text_table
{
public:
    explicit text_table(std::vector<std::string> heading);

    void add(std::vector<std::string> const& row);

    /// One line for each row; the last column is not padded.
    std::string text() const;

private:
    std::vector<std::vector<std::string>> rows_;
};

/// `text` with control characters as `?`.
std::string printable(std::string text);

} // namespace savorymount::control
