#include "../seeded_property.hpp"
#include <savorymount/base/random_source.hpp>
#include <savorymount/limits/token_estimator.hpp>

namespace savorymount::limits
{
namespace
{

// Guards against estimates below the reported usage of typical prompts.
TEST(token_estimator, estimate_covers_usual_variation_without_large_excess)
{
    tests::check_seeded(0x31, 200,
                        []
                        {
                            base::random_source random(*rc::gen::arbitrary<std::uint32_t>());
                            auto const ratio = 0.1 + 0.4 * random.uniform_real();
                            auto const spread = 0.2 * random.uniform_real();
                            token_estimator estimator;
                            unsigned below = 0;
                            double reserved = 0;
                            double used = 0;
                            for (int n = 0; n < 1000; ++n)
                            {
                                auto const bytes = 100 + random.uniform_below(100'000);
                                auto const factor = 1 + spread * (2 * random.uniform_real() - 1);
                                auto const tokens = static_cast<std::uint64_t>(
                                    static_cast<double>(bytes) * ratio * factor);
                                auto const estimate = estimator.estimate("m", bytes);
                                if (n >= 100)
                                {
                                    below += estimate < tokens ? 1U : 0U;
                                    reserved += static_cast<double>(estimate);
                                    used += static_cast<double>(tokens);
                                }
                                estimator.observe("m", bytes, tokens);
                            }
                            RC_ASSERT(below <= 9U);
                            // Three standard deviations of a uniform distribution are 1.73 times
                            // its half width.
                            RC_ASSERT(reserved < used * (1.05 + 1.9 * spread));
                        });
}

// Guards against too small estimates for an unknown model.
TEST(token_estimator, unknown_model_uses_default_ratio)
{
    EXPECT_EQ(token_estimator().estimate("new", 1000), 500U);
}

// Guards against memory that grows with the number of model names.
TEST(token_estimator, evicts_least_recently_used_model)
{
    token_estimator estimator(2);
    estimator.observe("a", 1000, 100);
    estimator.observe("b", 1000, 100);
    estimator.observe("a", 1000, 100);
    estimator.observe("c", 1000, 100);
    EXPECT_EQ(estimator.size(), 2U);
    EXPECT_EQ(estimator.estimate("b", 1000), 500U);
    EXPECT_LT(estimator.estimate("a", 1000), 200U);
}

} // namespace
} // namespace savorymount::limits
