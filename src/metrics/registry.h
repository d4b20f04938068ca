#pragma once

#include <boost/histogram.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace flamingousher::metrics {

using Labels = std::map<std::string, std::string>;

enum class Kind : std::uint8_t {
    Counter,
    Gauge,
    Histogram,
};

// Value of one time series at the time of a scrape.
struct Sample {
    Labels labels;
    double value { 0 }; // value of a counter or gauge, or sum of a histogram in seconds
    std::vector<double> bucketEdges; // upper edges in seconds
    std::vector<std::uint64_t> buckets; // one more than bucketEdges: the last counts values above all edges

    bool operator==(const Sample&) const = default;
};

struct Family {
    std::string name;
    std::string help;
    Kind kind { Kind::Counter };
    std::vector<Sample> samples;

    bool operator==(const Family&) const = default;
};

// Metrics of one or more threads.
struct Snapshot {
    std::map<std::string, Family> families;

    void merge(const Snapshot&);

    // Returns the Prometheus text exposition format 0.0.4.
    std::string toText() const;
};

class Counter {
public:
    void add(std::uint64_t amount = 1) { value_ += amount; }
    std::uint64_t value() const { return value_; }

private:
    std::uint64_t value_ { 0 };
};

class Gauge {
public:
    void set(double value) { value_ = value; }
    double value() const { return value_; }

private:
    double value_ { 0 };
};

// Durations in logarithmic bins from 0.1 ms to 100 s.
class DurationHistogram {
public:
    DurationHistogram();

    void observe(double seconds);
    Sample sample() const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

    boost::histogram::histogram<std::tuple<Axis>> histogram_;
    double sum_ { 0 };
};

// Metrics of one thread. Returned references stay valid for the lifetime of the registry.
class Registry {
public:
    Counter& counter(const std::string& name, const std::string& help, const Labels& labels = {});
    Gauge& gauge(const std::string& name, const std::string& help, const Labels& labels = {});
    DurationHistogram& histogram(const std::string& name, const std::string& help, const Labels& labels = {});

    Snapshot snapshot() const;

private:
    template <typename Metric> struct Series {
        std::string help;
        std::map<Labels, std::unique_ptr<Metric>> metrics;
    };

    std::map<std::string, Series<Counter>> counters_;
    std::map<std::string, Series<Gauge>> gauges_;
    std::map<std::string, Series<DurationHistogram>> histograms_;
};

} // namespace flamingousher::metrics
