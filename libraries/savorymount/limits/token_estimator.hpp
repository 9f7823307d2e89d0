#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>

namespace savorymount::limits
{

/// Estimates prompt tokens from bytes, calibrated per model by reported usage.
class token_estimator
{
public:
    /// Keeps at most `capacity` models and evicts the least recently used one.
    explicit token_estimator(std::size_t capacity = 64);

    /// Records that the engine reported `tokens` prompt tokens for a prompt of `bytes` bytes.
    void observe(std::string const& model, std::uint64_t bytes, std::uint64_t tokens);

    /// An upper estimate for a prompt of `bytes` bytes: the mean ratio plus a margin from the
    /// observed deviation. For an unknown model it uses `default_bytes_per_token`.
    std::uint64_t estimate(std::string const& model, std::uint64_t bytes) const;

    std::size_t size() const { return models_.size(); }

    static constexpr double default_bytes_per_token = 2.0;

private:
    struct calibration
    {
        std::string model;
        /// Tokens per byte: weighted mean and variance, and the largest recent ratio.
        double mean = 0;
        double variance = 0;
        double max_ratio = 0;
        std::uint64_t samples = 0;
    };

    std::size_t capacity_;
    std::list<calibration> by_recent_use_;
    std::unordered_map<std::string_view, std::list<calibration>::iterator> models_;
};

} // namespace savorymount::limits
