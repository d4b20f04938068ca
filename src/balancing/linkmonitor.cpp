#include "balancing/linkmonitor.h"

namespace flamingousher::balancing {

namespace {

    // Fewer unreached upstreams may have ended one by one.
    constexpr std::size_t MinUnreached = 3;

    // Links count as lost while at most one in this many upstreams is reached. A connection may outlive the others for
    // some seconds if it is not used.
    constexpr std::size_t MaxReachedDivisor = 10;

} // namespace

// The links count as restored only once most upstreams are reached, so that the decision does not follow each
// connection.
bool LinkMonitor::update(std::size_t reached, std::size_t unreached)
{
    const bool before = areLinksLost_;
    if (areLinksLost_)
        areLinksLost_ = reached <= unreached;
    else
        areLinksLost_ = unreached >= MinUnreached && reached * MaxReachedDivisor <= reached + unreached;
    return areLinksLost_ != before;
}

} // namespace flamingousher::balancing
