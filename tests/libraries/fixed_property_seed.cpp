#include <cstdlib>
#include <string>
#include <tests/libraries/seeded_property.hpp>

namespace savorymount::tests
{
namespace
{

/// Gives the properties that RapidCheck's own macro declares the same treatment, before the first
/// one runs.
[[maybe_unused]] int const property_seed_is_set =
    setenv("RC_PARAMS", ("seed=" + std::to_string(property_seed(fixed_property_seed))).c_str(), 0);

} // namespace
} // namespace savorymount::tests
