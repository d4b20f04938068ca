#include "query/latencyestimate.h"

namespace flamingousher::query {

namespace {

    constexpr unsigned Bins = 80;
    constexpr double LowestMs = 0.05;
    constexpr double HighestMs = 60'000;
    constexpr std::uint32_t LeastObservations = 50;
    constexpr std::uint32_t DecayInterval = 2'000; // observations
    constexpr std::uint32_t RefreshInterval = 128; // observations

} // namespace

LatencyEstimate::LatencyEstimate(base::Duration initial)
    : initial_(initial)
    , histogram_(std::make_tuple(Axis(Bins, LowestMs, HighestMs)))
    , cached_(initial)
{
}

void LatencyEstimate::observe(base::Duration latency)
{
    histogram_(base::toMilliseconds(latency));
    ++observed_;
    if (++sinceDecay_ >= DecayInterval) {
        histogram_ *= 0.5;
        sinceDecay_ = 0;
    }
}

base::Duration LatencyEstimate::quantile(double fraction) const
{
    if (observed_ < LeastObservations)
        return initial_;
    if (fraction == cachedFraction_ && observed_ - cachedAt_ < RefreshInterval)
        return cached_;
    double total = 0;
    for (auto&& cell : boost::histogram::indexed(histogram_, boost::histogram::coverage::all))
        total += *cell;
    double below = 0;
    double edgeMs = HighestMs;
    for (auto&& cell : boost::histogram::indexed(histogram_, boost::histogram::coverage::all)) {
        below += *cell;
        if (below >= fraction * total) {
            edgeMs = cell.index() < static_cast<int>(Bins) ? cell.bin(0).upper() : HighestMs;
            break;
        }
    }
    cachedAt_ = observed_;
    cachedFraction_ = fraction;
    cached_ = std::chrono::duration_cast<base::Duration>(std::chrono::duration<double, std::milli>(edgeMs));
    return cached_;
}

} // namespace flamingousher::query
