#include "metrics/registry.h"

#include <algorithm>
#include <sstream>

namespace flamingousher::metrics {

namespace {

    constexpr unsigned DurationBins = 18;
    constexpr double MinSeconds = 0.0001;
    constexpr double MaxSeconds = 100;

    std::string_view toString(Kind kind)
    {
        switch (kind) {
        case Kind::Counter:
            return "counter";
        case Kind::Gauge:
            return "gauge";
        case Kind::Histogram:
            return "histogram";
        }
        return "untyped";
    }

    std::string escapeLabelValue(const std::string& value)
    {
        std::string result;
        for (char character : value) {
            if (character == '\\' || character == '"')
                result += '\\';
            result += character == '\n' ? ' ' : character;
        }
        return result;
    }

    std::string formatLabels(const Labels& labels, const std::string& edge = {})
    {
        std::string text;
        for (const auto& [name, value] : labels)
            text += (text.empty() ? "" : ",") + name + "=\"" + escapeLabelValue(value) + "\"";
        if (!edge.empty())
            text += (text.empty() ? "" : ",") + std::string("le=\"") + edge + "\"";
        return text.empty() ? text : "{" + text + "}";
    }

    std::string formatNumber(double value)
    {
        std::ostringstream stream;
        stream.precision(12);
        stream << value;
        return stream.str();
    }

    void writeHistogram(const Family& family, const Sample& sample, std::string& text)
    {
        std::uint64_t cumulative = 0;
        for (std::size_t bin = 0; bin < sample.buckets.size(); ++bin) {
            cumulative += sample.buckets[bin];
            const std::string edge
                = bin < sample.bucketEdges.size() ? formatNumber(sample.bucketEdges[bin]) : std::string("+Inf");
            text += family.name + "_bucket" + formatLabels(sample.labels, edge) + " " + std::to_string(cumulative)
                + "\n";
        }
        text += family.name + "_sum" + formatLabels(sample.labels) + " " + formatNumber(sample.value) + "\n";
        text += family.name + "_count" + formatLabels(sample.labels) + " " + std::to_string(cumulative) + "\n";
    }

    void addSample(Sample& target, const Sample& other)
    {
        target.value += other.value;
        for (std::size_t bin = 0; bin < std::min(target.buckets.size(), other.buckets.size()); ++bin)
            target.buckets[bin] += other.buckets[bin];
    }

} // namespace

void Snapshot::merge(const Snapshot& other)
{
    for (const auto& [name, family] : other.families) {
        const auto [existing, isNew] = families.emplace(name, family);
        if (isNew)
            continue;
        for (const Sample& sample : family.samples) {
            const auto match = std::ranges::find(existing->second.samples, sample.labels, &Sample::labels);
            if (match == existing->second.samples.end())
                existing->second.samples.push_back(sample);
            else
                addSample(*match, sample);
        }
    }
}

std::string Snapshot::toText() const
{
    std::string text;
    for (const auto& [name, family] : families) {
        text += "# HELP " + name + " " + family.help + "\n";
        text += "# TYPE " + name + " " + std::string(toString(family.kind)) + "\n";
        for (const Sample& sample : family.samples) {
            if (family.kind == Kind::Histogram)
                writeHistogram(family, sample, text);
            else
                text += name + formatLabels(sample.labels) + " " + formatNumber(sample.value) + "\n";
        }
    }
    return text;
}

DurationHistogram::DurationHistogram()
    : histogram_(std::make_tuple(Axis(DurationBins, MinSeconds, MaxSeconds)))
{
}

void DurationHistogram::observe(double seconds)
{
    histogram_(seconds);
    sum_ += seconds;
}

Sample DurationHistogram::sample() const
{
    Sample sample;
    sample.value = sum_;
    const auto& axis = histogram_.axis(0);
    // The underflow bin (-1) is the first bucket; the overflow bin has no upper edge.
    for (int bin = -1; bin <= static_cast<int>(DurationBins); ++bin) {
        if (bin < static_cast<int>(DurationBins))
            sample.bucketEdges.push_back(bin < 0 ? axis.bin(0).lower() : axis.bin(bin).upper());
        sample.buckets.push_back(static_cast<std::uint64_t>(histogram_.at(bin)));
    }
    return sample;
}

Counter& Registry::counter(const std::string& name, const std::string& help, const Labels& labels)
{
    Series<Counter>& series = counters_[name];
    series.help = help;
    std::unique_ptr<Counter>& metric = series.metrics[labels];
    if (!metric)
        metric = std::make_unique<Counter>();
    return *metric;
}

Gauge& Registry::gauge(const std::string& name, const std::string& help, const Labels& labels)
{
    Series<Gauge>& series = gauges_[name];
    series.help = help;
    std::unique_ptr<Gauge>& metric = series.metrics[labels];
    if (!metric)
        metric = std::make_unique<Gauge>();
    return *metric;
}

DurationHistogram& Registry::histogram(const std::string& name, const std::string& help, const Labels& labels)
{
    Series<DurationHistogram>& series = histograms_[name];
    series.help = help;
    std::unique_ptr<DurationHistogram>& metric = series.metrics[labels];
    if (!metric)
        metric = std::make_unique<DurationHistogram>();
    return *metric;
}

Snapshot Registry::snapshot() const
{
    Snapshot snapshot;
    for (const auto& [name, series] : counters_) {
        Family family { name, series.help, Kind::Counter, {} };
        for (const auto& [labels, metric] : series.metrics)
            family.samples.push_back({ labels, static_cast<double>(metric->value()), {}, {} });
        snapshot.families.emplace(name, std::move(family));
    }
    for (const auto& [name, series] : gauges_) {
        Family family { name, series.help, Kind::Gauge, {} };
        for (const auto& [labels, metric] : series.metrics)
            family.samples.push_back({ labels, metric->value(), {}, {} });
        snapshot.families.emplace(name, std::move(family));
    }
    for (const auto& [name, series] : histograms_) {
        Family family { name, series.help, Kind::Histogram, {} };
        for (const auto& [labels, metric] : series.metrics) {
            family.samples.push_back(metric->sample());
            family.samples.back().labels = labels;
        }
        snapshot.families.emplace(name, std::move(family));
    }
    return snapshot;
}

} // namespace flamingousher::metrics
