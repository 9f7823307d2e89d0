#include "utilities/bench/bar_chart.hpp"

#include <algorithm>
#include <array>
#include <sstream>

namespace savorymount::bench
{
namespace
{

constexpr std::array<char const*, 6> colours{"#9aa5b1", "#c8b568", "#6f9bd1",
                                             "#c97b63", "#2f7d4f", "#7b5ea7"};
constexpr double row_height = 9;
constexpr double group_gap = 12;
constexpr double label_width = 230;
constexpr double plot_width = 560;
constexpr double header_height = 50;

} // namespace

void bar_chart::add(std::string const& group, std::string const& series, spread const& value)
{
    auto const it = std::find(series_.begin(), series_.end(), series);
    auto const index = static_cast<std::size_t>(it - series_.begin());
    if (it == series_.end())
        series_.push_back(series);
    if (groups_.empty() || groups_.back().first != group)
        groups_.emplace_back(group, std::vector<bar>{});
    groups_.back().second.push_back({index, value});
}

std::string bar_chart::svg() const
{
    double largest = 0;
    double height = header_height;
    for (auto const& [name, bars] : groups_)
    {
        height += group_gap + row_height * static_cast<double>(bars.size());
        for (bar const& it : bars)
            largest = std::max(largest, it.value.most);
    }
    double const scale = largest > 0 ? plot_width / largest : 0;
    std::ostringstream out;
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << label_width + plot_width + 80
        << "\" height=\"" << height + 20 << "\" font-family=\"sans-serif\" font-size=\"11\">\n"
        << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
        << "<text x=\"10\" y=\"18\" font-size=\"14\">" << title_ << "</text>\n";
    for (std::size_t i = 0; i < series_.size(); ++i)
    {
        double const x = 10 + 130 * static_cast<double>(i);
        out << "<rect x=\"" << x << "\" y=\"28\" width=\"10\" height=\"10\" fill=\""
            << colours[i % colours.size()] << "\"/><text x=\"" << x + 14 << "\" y=\"37\">"
            << series_[i] << "</text>\n";
    }
    double y = header_height;
    for (auto const& [name, bars] : groups_)
    {
        y += group_gap;
        double const middle = y + row_height * static_cast<double>(bars.size()) / 2 + 4;
        out << "<text x=\"" << label_width - 8 << "\" y=\"" << middle << "\" text-anchor=\"end\">"
            << name << "</text>\n";
        for (bar const& it : bars)
        {
            double const line = y + row_height / 2;
            out << "<rect x=\"" << label_width << "\" y=\"" << y << "\" width=\""
                << it.value.median * scale << "\" height=\"" << row_height - 1 << "\" fill=\""
                << colours[it.series % colours.size()] << "\"/><line x1=\""
                << label_width + it.value.least * scale << "\" x2=\""
                << label_width + it.value.most * scale << "\" y1=\"" << line << "\" y2=\"" << line
                << "\" stroke=\"black\"/><text x=\"" << label_width + it.value.most * scale + 4
                << "\" y=\"" << y + row_height - 1 << "\" font-size=\"8\">" << it.value.median
                << "</text>\n";
            y += row_height;
        }
    }
    out << "</svg>\n";
    return out.str();
}

} // namespace savorymount::bench
