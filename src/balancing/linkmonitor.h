#pragma once

#include <cstddef>

namespace flamingousher::balancing {

// Decides whether this VM has lost its network links to the upstreams.
// Load pattern: a VM, or a whole availability zone of VMs, is cut off from all upstreams for seconds, while callers and
// the other VMs still reach it. Upstreams of one service or zone that are gone are no loss of links: most others are
// still reached.
class LinkMonitor {
public:
    // reached, unreached: numbers of upstreams to which a connection is established or cannot be opened; others show
    // nothing. Returns whether the decision has changed.
    bool update(std::size_t reached, std::size_t unreached);

    bool areLinksLost() const { return areLinksLost_; }

private:
    bool areLinksLost_ { false };
};

} // namespace flamingousher::balancing
