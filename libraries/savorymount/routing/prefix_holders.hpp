#pragma once

#include <savorymount/base/time.hpp>

#include <cstddef>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

namespace savorymount::routing
{

/// An engine and the number of leading parts of a prompt that it probably has cached.
struct prefix_holder
{
    std::string engine;
    std::size_t cached_parts = 0;
    /// Time since the last known use of the first of these parts by the engine.
    base::duration unused_for{};

    bool operator==(prefix_holder const&) const = default;
};

/// The engines that probably have leading parts of one prompt cached.
class prefix_holders
{
public:
    prefix_holders() = default;
    /// `holders` have the first part, in the order in which they last used it.
    explicit prefix_holders(std::vector<prefix_holder> holders);

    /// The holders for which the hook returns true.
    prefix_holders matching(std::function<bool(std::string const& engine)> const& matches) const;

    /// Number of leading parts that the engine probably has cached.
    std::size_t cached_parts(std::string const& engine) const;

    /// The engine other than `excluded_engine` with the most leading parts; among equals, the most
    /// recently used. Null if there is none.
    prefix_holder const* longest(std::string const& excluded_engine) const;

private:
    void index_holders();

    std::vector<prefix_holder> holders_;
    std::unordered_map<std::string, std::size_t> cached_parts_;
};

} // namespace savorymount::routing
