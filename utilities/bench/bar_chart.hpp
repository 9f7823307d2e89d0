#pragma once

#include "utilities/bench/measure.hpp"

#include <string>
#include <utility>
#include <vector>

namespace savorymount::bench
{

/// Grouped bars with a line from the least to the most value, as an SVG image.
class bar_chart
{
public:
    explicit bar_chart(std::string title) : title_(std::move(title)) {}

    /// Adds a bar to a group; series keep their colour in all groups.
    void add(std::string const& group, std::string const& series, spread const& value);

    std::string svg() const;

private:
    struct bar
    {
        std::size_t series;
        spread value;
    };

    std::string title_;
    std::vector<std::string> series_;
    std::vector<std::pair<std::string, std::vector<bar>>> groups_;
};

} // namespace savorymount::bench
