#include "balancing/warmuppace.h"

#include <algorithm>
#include <cmath>

namespace flamingousher::balancing {

namespace {

    // The two sides of a split fleet take each other for dead, and each uses the whole pace.
    constexpr double UsedFraction = 0.5;

    // All VMs begin to use a warm upstream within this time.
    constexpr base::Duration HandoverTime = std::chrono::seconds(1);

} // namespace

// In any second a VM sends what its rate allows, and one request that it had saved up. With as many VMs as requests
// that are allowed, the saved ones alone would reach the bound, so the pace is held by fewer.
WarmUpPace computeWarmUpPace(const WarmUpBound& bound, std::size_t position, std::size_t vmCount)
{
    const double usable = bound.total() * UsedFraction;
    const std::size_t holders
        = std::clamp<std::size_t>(static_cast<std::size_t>(usable / 2), 1, std::max<std::size_t>(1, vmCount));
    const auto handover = HandoverTime * position / std::max<std::size_t>(1, vmCount);
    if (position >= holders)
        return { 0, handover };
    return { std::max(0.0, usable - static_cast<double>(holders)) / static_cast<double>(holders), handover };
}

} // namespace flamingousher::balancing
