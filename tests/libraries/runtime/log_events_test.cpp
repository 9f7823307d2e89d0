#include <savorymount/runtime/log_events.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <set>
#include <string>
#include <vector>

namespace savorymount::runtime
{
namespace
{

/// One row of the catalogue; the fifth cell, the operator's action, is free text.
using catalogue_row = std::vector<std::string>;

constexpr std::size_t catalogue_columns = 5;

std::string trim(std::string const& text)
{
    auto const first = text.find_first_not_of(' ');
    if (first == std::string::npos)
        return {};
    return text.substr(first, text.find_last_not_of(' ') - first + 1);
}

catalogue_row split_row(std::string const& line)
{
    catalogue_row out;
    for (std::size_t at = 1; at < line.size();)
    {
        auto const end = std::min(line.find('|', at), line.size());
        out.push_back(trim(line.substr(at, end - at)));
        at = end + 1;
    }
    return out;
}

std::vector<catalogue_row> read_catalogue()
{
    std::vector<catalogue_row> out;
    std::ifstream in(SAVORYMOUNT_SOURCE_FOLDER "/docs/LOG-EVENTS.md");
    for (std::string line; std::getline(in, line);)
        if (line.size() > 2 && line[0] == '|' && line[2] >= '0' && line[2] <= '9')
            out.push_back(split_row(line));
    return out;
}

std::string name_of(log_level level)
{
    switch (level)
    {
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        break;
    }
    return "error";
}

std::vector<log_event> all_events()
{
    return {log_events::all.begin(), log_events::all.end()};
}

// Guards against a log line that the catalogue lacks, describes wrongly or describes for no one.
TEST(log_events, the_catalogue_equals_the_code)
{
    auto const rows = read_catalogue();
    std::vector<catalogue_row> expected;
    for (auto const& it : all_events())
        expected.push_back({std::to_string(it.number), name_of(it.level), std::string(it.name),
                            std::string(it.meaning)});
    std::vector<catalogue_row> shown;
    for (auto row : rows)
    {
        ASSERT_EQ(row.size(), catalogue_columns) << testing::PrintToString(row);
        EXPECT_GT(row.back().size(), 3U) << "no action for event " << row.front();
        row.pop_back();
        shown.push_back(row);
    }
    EXPECT_EQ(shown, expected);
}

// Guards against two events with one number, and against an event that is declared but missing in
// `all`, which the test above could not see.
TEST(log_events, numbers_and_names_are_unique_and_every_declaration_is_listed)
{
    std::set<int> numbers;
    std::set<std::string_view> names;
    auto const events = all_events();
    for (auto const& it : events)
    {
        EXPECT_TRUE(numbers.insert(it.number).second) << it.number;
        EXPECT_TRUE(names.insert(it.name).second) << it.name;
    }
    EXPECT_TRUE(std::is_sorted(events.begin(), events.end(),
                               [](log_event const& left, log_event const& right)
                               { return left.number < right.number; }));
    std::ifstream in(SAVORYMOUNT_SOURCE_FOLDER "/libraries/savorymount/runtime/log_events.hpp");
    std::size_t declared = 0;
    for (std::string line; std::getline(in, line);)
        declared += line.starts_with("inline constexpr log_event ") ? 1 : 0;
    EXPECT_EQ(declared, events.size());
}

} // namespace
} // namespace savorymount::runtime
