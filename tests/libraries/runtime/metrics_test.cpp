#include <savorymount/runtime/metrics.hpp>

#include <gtest/gtest.h>

#include <fstream>
#include <limits>
#include <sstream>
#include <stdexcept>

namespace savorymount::runtime
{
namespace
{

std::string read_file(std::string const& path)
{
    std::ifstream in(path);
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

// Guards against an exposition that collectors can't read, or that changes unnoticed.
TEST(metrics, the_exposition_matches_the_golden_text)
{
    metrics all;
    all.counter("savorymount_requests_total", "Requests by outcome.",
                {{"workspace", "counter"}, {"outcome", "completed"}})
        .add(3);
    all.counter("savorymount_requests_total", "Requests by outcome.",
                {{"outcome", "refused"}, {"workspace", "back\\slash \"quoted\"\nline"}})
        .add();
    all.gauge("savorymount_queued_tokens", "Tokens in the queue.\nWeighted\\not.").set(12345678901);
    double sampled = 0;
    all.gauge("savorymount_load", "Sampled when shown.", {{"group", "model-bench"}})
        .set_source([&sampled] { return sampled; });
    sampled = 0.25;
    auto& times = all.histogram("savorymount_first_token_seconds", "Time to first token.",
                                {{"group", "model-bench"}}, {0.001, 10, 4});
    for (double const value : {-1.0, 0.0, 0.0005, 0.002, 0.05, 0.05, 9.5, 11.0})
        times.record(value);
    times.record(std::numeric_limits<double>::quiet_NaN());
    all.histogram("savorymount_no_values", "Never recorded.", {}, {1, 100, 2});
    EXPECT_EQ(all.render(),
              read_file(SAVORYMOUNT_SOURCE_FOLDER "/tests/libraries/runtime/metrics_golden.txt"));
}

// Guards against callers' keys in a place that many can read.
TEST(metrics, labels_show_no_key)
{
    metrics all;
    std::string const secret = "9f8e7d6c5b4a";
    for (std::string const& value : {"sm_k1a2b3c4_" + secret, "Bearer sm_k1a2b3c4_" + secret,
                                     "sm_sm_k1_" + secret, "/v1/chat?key=sm_k1a2b3c4_" + secret})
        all.counter("requests", "", {{"workspace", value}}).add();
    for (std::string const name : {"key", "api_key", "Authorization", "x-auth", "cookie", "secret"})
        all.counter("requests", "", {{name, secret}}).add();
    auto const text = all.render();
    EXPECT_EQ(text.find(secret), std::string::npos) << text;
    EXPECT_NE(text.find("requests{workspace=\"redacted\"} 4"), std::string::npos) << text;
    // Names that only begin like a key stay readable.
    all.counter("requests", "", {{"workspace", "sm_counter"}}).add();
    EXPECT_NE(all.render().find("workspace=\"sm_counter\""), std::string::npos);
}

// Guards against memory that grows with the values of a label.
TEST(metrics, further_label_values_share_a_series)
{
    metrics all;
    for (std::size_t n = 0; n < metrics::max_series + 10; ++n)
        all.counter("requests", "", {{"workspace", "w" + std::to_string(n)}}).add();
    EXPECT_EQ(all.counter("requests", "", {{"workspace", "another"}}).value(), 10U);
    EXPECT_EQ(all.counter("requests", "", {{"workspace", "w0"}}).value(), 1U);
    auto const text = all.render();
    EXPECT_NE(text.find("requests{workspace=\"other\"} 10\n"), std::string::npos);
}

TEST(metrics, a_name_has_one_type_and_only_valid_characters)
{
    metrics all;
    auto& first = all.counter("1st-requests.total", "");
    first.add(2);
    EXPECT_EQ(&all.counter("1st-requests.total", ""), &first);
    EXPECT_THROW(all.gauge("1st-requests.total", ""), std::logic_error);
    EXPECT_EQ(all.render(), "# HELP _st_requests_total \n# TYPE _st_requests_total counter\n"
                            "_st_requests_total 2\n");
}

} // namespace
} // namespace savorymount::runtime
