#include "query/latencyestimate.h"

namespace flamingousher::query {

namespace {

    constexpr unsigned Bins = 80;
    constexpr double MinMs = 0.05;
    constexpr double MaxMs = 60'000;
    constexpr std::uint32_t MinObservations = 50;
    constexpr std::uint32_t DecayInterval = 2'000; // observations
    constexpr std::uint32_t RefreshInterval = 128; // observations

} // namespace

LatencyEstimate::LatencyEstimate(base::Duration initial)
    : initial_(initial)
    , histogram_(std::make_tuple(Axis(Bins, MinMs, MaxMs)))
    , cached_(initial)
{
}

void LatencyEstimate::observe(base::Duration latency)
{
    histogram_(base::toMilliseconds(latency));
    ++observationCount_;
    if (++observationsSinceDecay_ >= DecayInterval) {
        histogram_ *= 0.5;
        observationsSinceDecay_ = 0;
    }
}

base::Duration LatencyEstimate::quantile(double fraction) const
{
    if (observationCount_ < MinObservations)
        return initial_;
    if (fraction == cachedFraction_ && observationCount_ - observationsAtCaching_ < RefreshInterval)
        return cached_;
    double total = 0;
    for (auto&& cell : boost::histogram::indexed(histogram_, boost::histogram::coverage::all))
        total += *cell;
    double cumulative = 0;
    double edgeMs = MaxMs;
    for (auto&& cell : boost::histogram::indexed(histogram_, boost::histogram::coverage::all)) {
        cumulative += *cell;
        if (cumulative >= fraction * total) {
            edgeMs = cell.index() < static_cast<int>(Bins) ? cell.bin(0).upper() : MaxMs;
            break;
        }
    }
    observationsAtCaching_ = observationCount_;
    cachedFraction_ = fraction;
    cached_ = std::chrono::duration_cast<base::Duration>(std::chrono::duration<double, std::milli>(edgeMs));
    return cached_;
}

} // namespace flamingousher::query
