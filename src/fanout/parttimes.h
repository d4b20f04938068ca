#pragma once

#include "query/latencyestimate.h"

namespace flamingousher::fanout {

// Learns the times of the sub-requests of one route.
class PartTimes {
public:
    // goal: of the route, from which the first guesses are taken.
    explicit PartTimes(base::Duration goal);

    void observe(base::Duration);

    // Usual time of a sub-request.
    base::Duration typical() const { return typical_; }

    // Time after which a sub-request is worth another attempt elsewhere.
    base::Duration hedgeDelay() const { return hedgeDelay_; }

private:
    void refresh();

    base::Duration goal_;
    query::LatencyEstimate estimate_;
    base::Duration typical_;
    base::Duration hedgeDelay_;
    std::uint32_t sinceRefresh_ { 0 };
};

} // namespace flamingousher::fanout
