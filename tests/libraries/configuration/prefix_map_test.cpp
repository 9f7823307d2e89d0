#include <savorymount/configuration/prefix_map.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstddef>
#include <string>
#include <vector>

namespace savorymount::configuration
{
namespace
{

std::string make_text(std::size_t max_size)
{
    return *rc::gen::resize(static_cast<int>(max_size),
                            rc::gen::container<std::string>(rc::gen::element('/', 'a', 'b')));
}

// Guards against a request that goes to the route of a shorter prefix, or of the wrong one.
RC_GTEST_PROP(prefix_map, finds_the_longest_prefix, ())
{
    prefix_map<std::size_t> map;
    std::vector<std::string> prefixes;
    auto const count = *rc::gen::inRange<std::size_t>(0, 20);
    for (std::size_t i = 0; i < count; ++i)
    {
        prefixes.push_back(make_text(6));
        map.try_emplace("host", prefixes.back(), i);
    }
    auto const path = make_text(12);
    std::size_t const* longest = nullptr;
    std::vector<std::size_t> numbers(count);
    for (std::size_t i = 0; i < count; ++i)
    {
        numbers[i] = i;
        bool const longer = longest == nullptr || prefixes[i].size() > prefixes[*longest].size();
        if (path.starts_with(prefixes[i]) && longer)
            longest = &numbers[i];
    }
    auto const* const found = map.find("host", path);
    RC_ASSERT((found == nullptr) == (longest == nullptr));
    if (found != nullptr)
        RC_ASSERT(*found == *longest);
    RC_ASSERT(map.find("other", path) == nullptr);
}

} // namespace
} // namespace savorymount::configuration
