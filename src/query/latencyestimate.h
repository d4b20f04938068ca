#pragma once

#include "base/types.h"

#include <boost/histogram.hpp>

namespace flamingousher::query {

// Estimates quantiles of latency from a histogram in which older observations lose weight.
class LatencyEstimate {
public:
    // initial: returned until there are enough observations.
    explicit LatencyEstimate(base::Duration initial);

    void observe(base::Duration);

    // Returns the latency below which the given fraction of observations lies. Cached and refreshed periodically.
    base::Duration quantile(double fraction) const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<double>>;

    base::Duration initial_;
    Histogram histogram_;
    std::uint32_t observationCount_ { 0 };
    std::uint32_t observationsSinceDecay_ { 0 };
    mutable std::uint32_t observationsAtCaching_ { 0 };
    mutable double cachedFraction_ { -1 };
    mutable base::Duration cached_;
};

} // namespace flamingousher::query
