#include "utilities/savorymountctl/text_table.hpp"

#include <algorithm>
#include <utility>

namespace savorymount::control
{

text_table::text_table(std::vector<std::string> heading)
{
    rows_.push_back(std::move(heading));
}

void text_table::add(std::vector<std::string> const& row)
{
    std::vector<std::string> cells;
    cells.reserve(row.size());
    for (auto const& it : row)
        cells.push_back(it.empty() ? "-" : printable(it));
    rows_.push_back(std::move(cells));
}

std::string text_table::text() const
{
    std::vector<std::size_t> widths(rows_.front().size(), 0);
    for (auto const& row : rows_)
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    std::string out;
    for (auto const& row : rows_)
    {
        for (std::size_t i = 0; i < row.size(); ++i)
        {
            out += row[i];
            if (i + 1 < row.size())
                out.append(widths[i] - row[i].size() + 2, ' ');
        }
        out += "\n";
    }
    return out;
}

std::string printable(std::string text)
{
    std::replace_if(
        text.begin(), text.end(),
        [](char it) { return static_cast<unsigned char>(it) < 0x20 || it == 0x7f; }, '?');
    return text;
}

} // namespace savorymount::control
