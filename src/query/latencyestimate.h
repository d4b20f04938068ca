#pragma once

#include "base/types.h"

#include <boost/histogram.hpp>

namespace flamingousher::query {

// Learns a quantile of latency from recent observations. Older observations lose weight.
class LatencyEstimate {
public:
    // The value returned until enough has been observed.
    explicit LatencyEstimate(base::Duration initial);

    void observe(base::Duration);

    // The latency below which the given fraction of observations lies. Refreshed periodically.
    base::Duration quantile(double fraction) const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<double>>;

    base::Duration initial_;
    Histogram histogram_;
    std::uint32_t observed_ { 0 };
    std::uint32_t sinceDecay_ { 0 };
    mutable std::uint32_t cachedAt_ { 0 };
    mutable double cachedFraction_ { -1 };
    mutable base::Duration cached_;
};

} // namespace flamingousher::query
