#include <savorymount/configuration/schema.hpp>

#include <gtest/gtest.h>

#include <fstream>
#include <map>
#include <set>
#include <sstream>
#include <string>

namespace savorymount::configuration
{
namespace
{

/// The row of a field's table on the page.
std::string row_of(field_rule const& rule)
{
    auto const fallback =
        rule.fallback.empty() ? std::string("required") : "`" + std::string(rule.fallback) + "`";
    auto const unit = rule.unit.empty() ? std::string("-") : std::string(rule.unit);
    return "| `" + std::string(rule.name) + "` | " + unit + " | " + fallback + " | " +
           describe(rule) + " |";
}

/// The first four columns of each table row below each heading of the third level.
std::map<std::string, std::string> tables_of(std::string const& path)
{
    std::ifstream page(path);
    std::map<std::string, std::string> out;
    std::string heading;
    std::string line;
    while (std::getline(page, line))
    {
        if (line.starts_with("#"))
            heading = line.starts_with("### ") ? line.substr(4) : "";
        if (heading.empty() || !line.starts_with("| `"))
            continue;
        std::size_t end = 0;
        for (int column = 0; column < 4; ++column)
            end = line.find(" |", end + 1);
        out[heading] += line.substr(0, end) + " |\n";
    }
    return out;
}

// Guards against a page that leaves out a field, names one that the code does not know, or states
// other units, defaults or bounds.
TEST(configuration_page, lists_the_fields_of_the_code)
{
    std::map<std::string, std::string> expected;
    for (auto const* schema : schemas())
        for (auto const& rule : schema->fields)
            expected[std::string(schema->title)] += row_of(rule) + "\n";
    auto const found = tables_of(std::string(SAVORYMOUNT_SOURCE_FOLDER) + "/docs/CONFIGURATION.md");
    for (auto const& [heading, rows] : expected)
        EXPECT_EQ(found.contains(heading) ? found.at(heading) : "", rows) << heading;
    EXPECT_EQ(found.size(), expected.size());
}

} // namespace
} // namespace savorymount::configuration
