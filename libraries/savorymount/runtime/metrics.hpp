#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace savorymount::runtime
{

/// Name and value of a label. Callers' keys never belong here: a value that looks like one, or
/// whose label is named like one, is shown as `redacted`.
using metric_label = std::pair<std::string, std::string>;
using metric_labels = std::vector<metric_label>;

/// A count that only grows.
class metric_counter
{
public:
    void add(std::uint64_t n = 1) { value_ += n; }
    std::uint64_t value() const { return value_; }

private:
    std::uint64_t value_ = 0;
};

/// A value that is set, or read from a function when the metrics are shown.
class metric_gauge
{
public:
    void set(double value) { value_ = value; }
    void set_source(std::function<double()> source) { source_ = std::move(source); }
    double value() const { return source_ ? source_() : value_; }

private:
    double value_ = 0;
    std::function<double()> source_;
};

/// Buckets of a histogram: `buckets` of equal width on a logarithmic scale from `low` to `high`
/// (0 < low < high). Smaller values count in the first bucket, larger ones only in `+Inf`.
struct metric_buckets
{
    double low = 0.001;
    double high = 100;
    unsigned buckets = 20;

    bool operator==(metric_buckets const&) const = default;
};

/// Distribution of a value, such as a time in seconds. A value at a bucket's bound counts in the
/// next one.
class metric_histogram
{
public:
    explicit metric_histogram(metric_buckets buckets);
    ~metric_histogram();
    metric_histogram(metric_histogram const&) = delete;
    metric_histogram& operator=(metric_histogram const&) = delete;

    /// Counts a value; values that are not numbers are ignored.
    void record(double value);

    std::uint64_t count() const { return count_; }
    double sum() const { return sum_; }

    /// Upper bounds and cumulative counts of the buckets, without `+Inf`.
    std::vector<std::pair<double, std::uint64_t>> cumulative() const;

private:
    /// Defined in the source, since the histogram library's header is slow to compile.
    struct bucket_counts;

    std::unique_ptr<bucket_counts> counts_;
    std::uint64_t count_ = 0;
    double sum_ = 0;
};

/// All metrics of one process. Asking for a metric again with the same name and labels gives the
/// same object; references stay valid. A name is used for one type only (`std::logic_error`
/// otherwise). Characters that the exposition format forbids in names become underscores.
class metrics
{
public:
    /// Series per name. Further label values share one series whose values are `other`, so that
    /// labels can't exhaust the memory.
    static constexpr std::size_t max_series = 2'000;

    metric_counter& counter(std::string_view name, std::string_view help,
                            metric_labels const& labels = {});
    metric_gauge& gauge(std::string_view name, std::string_view help,
                        metric_labels const& labels = {});
    metric_histogram& histogram(std::string_view name, std::string_view help,
                                metric_labels const& labels = {}, metric_buckets buckets = {});

    /// Prometheus text exposition format, version 0.0.4, ordered by name and labels.
    std::string render() const;

private:
    enum class metric_type
    {
        counter,
        gauge,
        histogram
    };
    struct series
    {
        std::unique_ptr<metric_counter> counter;
        std::unique_ptr<metric_gauge> gauge;
        std::unique_ptr<metric_histogram> histogram;
    };
    struct family
    {
        metric_type type = metric_type::counter;
        std::string help;
        /// By the rendered labels, without braces.
        std::map<std::string, series> all;
    };

    series& find(std::string_view name, std::string_view help, metric_type type,
                 metric_labels const& labels);
    static std::string_view to_string(metric_type type);
    static void render_series(std::string& out, std::string const& name, std::string const& labels,
                              series const& it);

    std::map<std::string, family> families_;
};

} // namespace savorymount::runtime
