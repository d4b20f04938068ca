#pragma once

#include "balancing/types.h"

#include <cstddef>

namespace flamingousher::balancing {

// What all VMs together may send to a cold upstream in any one second.
struct WarmUpBound {
    double requestsPerSecond { 0 }; // that the upstream tolerates while it is cold; 0: it states no pace
    double factor { 1 }; // of that rate
    double slack { 0 }; // requests beyond

    bool operator==(const WarmUpBound&) const = default;

    bool isStated() const { return requestsPerSecond > 0; }
    double total() const { return requestsPerSecond * factor + slack; }
};

// One VM's part of the pace at which a cold upstream is used.
// Load pattern: upstreams come back cold, a whole availability zone of them at once, in a burst. Each tolerates a few
// requests a second from all VMs together, far fewer than there are VMs, and ends if it gets many more.
struct WarmUpPace {
    double requestsPerSecond { 0 }; // 0: this VM sends none
    base::Duration handover { 0 }; // this VM treats the upstream as cold for so long after it has warmed up

    bool operator==(const WarmUpPace&) const = default;
};

// Returns the part of a VM that is at the given position among the VMs that use the upstream. The first positions get
// the whole pace, and the others begin one after the other once the upstream is warm.
WarmUpPace computeWarmUpPace(const WarmUpBound&, std::size_t position, std::size_t vmCount);

} // namespace flamingousher::balancing
