#include <savorymount/runtime/metrics.hpp>

#include <boost/histogram.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <stdexcept>

namespace savorymount::runtime
{
namespace
{

constexpr std::string_view redacted = "redacted";
constexpr std::string_view overflow_value = "other";

bool is_letter(char it)
{
    return (it >= 'a' && it <= 'z') || (it >= 'A' && it <= 'Z');
}

bool is_digit(char it)
{
    return it >= '0' && it <= '9';
}

std::string valid_name(std::string_view name)
{
    std::string out;
    for (char const it : name)
        out += is_letter(it) || it == '_' || (is_digit(it) && !out.empty()) ? it : '_';
    return out;
}

/// Whether the text holds `sm_<id>_<secret>`, the form of callers' keys, anywhere.
bool holds_key(std::string_view text)
{
    for (auto at = text.find("sm_"); at != std::string_view::npos; at = text.find("sm_", at + 1))
    {
        auto const id = text.substr(at + 3);
        auto const end = std::find_if_not(id.begin(), id.end(),
                                          [](char it) { return is_letter(it) || is_digit(it); });
        if (end != id.begin() && end != id.end() && *end == '_')
            return true;
    }
    return false;
}

bool names_secret(std::string label)
{
    std::transform(label.begin(), label.end(), label.begin(),
                   [](char it) { return it >= 'A' && it <= 'Z' ? char(it - 'A' + 'a') : it; });
    constexpr std::array<std::string_view, 6> words{"key",    "secret", "token",
                                                    "cookie", "auth",   "password"};
    return std::any_of(words.begin(), words.end(),
                       [&](std::string_view word)
                       { return label.find(word) != std::string_view::npos; });
}

void append_escaped(std::string& out, std::string_view text, bool quotes)
{
    for (char const it : text)
    {
        if (it == '\n')
        {
            out += "\\n";
            continue;
        }
        if (it == '\\' || (quotes && it == '"'))
            out += '\\';
        out += it;
    }
}

std::string render_labels(metric_labels labels, bool overflow)
{
    std::sort(labels.begin(), labels.end());
    std::string out;
    for (auto const& [name, value] : labels)
    {
        bool const secret = names_secret(name) || holds_key(value);
        if (!out.empty())
            out += ',';
        out += valid_name(name) + "=\"";
        append_escaped(out, overflow ? overflow_value : secret ? redacted : value, true);
        out += '"';
    }
    return out;
}

// Bounds are computed from logarithms; fewer digits hide the rounding.
constexpr int bound_digits = 6;
constexpr int value_digits = 15;

std::string number(double value, int digits)
{
    if (std::isnan(value))
        return "NaN";
    if (std::isinf(value))
        return value > 0 ? "+Inf" : "-Inf";
    std::array<char, 32> buf{};
    auto const length = std::snprintf(buf.data(), buf.size(), "%.*g", digits, value);
    return {buf.data(), static_cast<std::size_t>(length)};
}

void append_line(std::string& out, std::string const& name, std::string const& labels,
                 std::string const& value)
{
    out += name;
    if (!labels.empty())
        out += '{' + labels + '}';
    out += ' ' + value + '\n';
}

} // namespace

struct metric_histogram::bucket_counts
{
    using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

    explicit bucket_counts(metric_buckets buckets)
        : histogram(std::tuple(axis(buckets.buckets, buckets.low, buckets.high)),
                    boost::histogram::dense_storage<std::uint64_t>())
    {
    }

    boost::histogram::histogram<std::tuple<axis>, boost::histogram::dense_storage<std::uint64_t>>
        histogram;
};

metric_histogram::metric_histogram(metric_buckets buckets)
    : counts_(std::make_unique<bucket_counts>(buckets))
{
}

metric_histogram::~metric_histogram() = default;

void metric_histogram::record(double value)
{
    if (std::isnan(value))
        return;
    // The logarithm of zero or less is no bucket; such values count in the first one.
    counts_->histogram(value > 0 ? value : 0.0);
    ++count_;
    sum_ += value;
}

std::vector<std::pair<double, std::uint64_t>> metric_histogram::cumulative() const
{
    std::vector<std::pair<double, std::uint64_t>> out;
    auto const& counts = counts_->histogram;
    auto const& bins = counts.axis();
    std::uint64_t total = counts.at(-1);
    for (int i = 0; i < bins.size(); ++i)
    {
        total += counts.at(i);
        out.emplace_back(bins.bin(i).upper(), total);
    }
    return out;
}

metric_counter& metrics::counter(std::string_view name, std::string_view help,
                                 metric_labels const& labels)
{
    auto& it = find(name, help, metric_type::counter, labels);
    if (!it.counter)
        it.counter = std::make_unique<metric_counter>();
    return *it.counter;
}

metric_gauge& metrics::gauge(std::string_view name, std::string_view help,
                             metric_labels const& labels)
{
    auto& it = find(name, help, metric_type::gauge, labels);
    if (!it.gauge)
        it.gauge = std::make_unique<metric_gauge>();
    return *it.gauge;
}

metric_histogram& metrics::histogram(std::string_view name, std::string_view help,
                                     metric_labels const& labels, metric_buckets buckets)
{
    auto& it = find(name, help, metric_type::histogram, labels);
    if (!it.histogram)
        it.histogram = std::make_unique<metric_histogram>(buckets);
    return *it.histogram;
}

metrics::series& metrics::find(std::string_view name, std::string_view help, metric_type type,
                               metric_labels const& labels)
{
    auto const [it, created] = families_.try_emplace(valid_name(name));
    auto& found = it->second;
    if (created)
    {
        found.type = type;
        found.help = help;
    }
    if (found.type != type)
        throw std::logic_error("metric " + it->first + " is used as " +
                               std::string(to_string(type)) + " and " +
                               std::string(to_string(found.type)));
    auto const text = render_labels(labels, false);
    if (auto const existing = found.all.find(text); existing != found.all.end())
        return existing->second;
    bool const full = found.all.size() >= max_series;
    return found.all[full ? render_labels(labels, true) : text];
}

std::string metrics::render() const
{
    std::string out;
    for (auto const& [name, it] : families_)
    {
        out += "# HELP " + name + ' ';
        append_escaped(out, it.help, false);
        out += "\n# TYPE " + name + ' ' + std::string(to_string(it.type)) + '\n';
        for (auto const& [labels, entry] : it.all)
            render_series(out, name, labels, entry);
    }
    return out;
}

void metrics::render_series(std::string& out, std::string const& name, std::string const& labels,
                            series const& it)
{
    if (it.counter)
        append_line(out, name, labels, std::to_string(it.counter->value()));
    if (it.gauge)
        append_line(out, name, labels, number(it.gauge->value(), value_digits));
    if (!it.histogram)
        return;
    std::string const prefix = labels.empty() ? "" : labels + ',';
    for (auto const& [bound, count] : it.histogram->cumulative())
        append_line(out, name + "_bucket", prefix + "le=\"" + number(bound, bound_digits) + '"',
                    std::to_string(count));
    auto const count = std::to_string(it.histogram->count());
    append_line(out, name + "_bucket", prefix + "le=\"+Inf\"", count);
    append_line(out, name + "_sum", labels, number(it.histogram->sum(), value_digits));
    append_line(out, name + "_count", labels, count);
}

std::string_view metrics::to_string(metric_type type)
{
    switch (type)
    {
    case metric_type::counter:
        return "counter";
    case metric_type::gauge:
        return "gauge";
    case metric_type::histogram:
        break;
    }
    return "histogram";
}

} // namespace savorymount::runtime
