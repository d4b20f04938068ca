#include "balancing/offeredwork.h"

#include <algorithm>
#include <cmath>

namespace flamingousher::balancing {

namespace {

    // Follows a burst within a second, and averages over the few requests that a VM of a large fleet gets.
    constexpr double AveragingSeconds = 1;

    // Kept by each priority, also in a flood of higher ones.
    constexpr double MinShare = 0.1;

} // namespace

double OfferedWork::decayed(const Rate& rate, base::TimePoint now)
{
    const double elapsed = std::chrono::duration<double>(now - rate.at).count();
    return rate.perSecond * std::exp(-std::max(0.0, elapsed) / AveragingSeconds);
}

void OfferedWork::onArrival(std::uint32_t priority, base::Duration work, base::TimePoint now)
{
    Rate& rate = rates_[std::min<std::size_t>(priority, PriorityCount - 1)];
    rate = { decayed(rate, now) + std::chrono::duration<double>(work).count() / AveragingSeconds, now };
}

double OfferedWork::above(std::uint32_t priority, base::TimePoint now) const
{
    double sum = 0;
    for (std::size_t higher = 0; higher < std::min<std::size_t>(priority, PriorityCount - 1); ++higher)
        sum += decayed(rates_[higher], now);
    return sum;
}

double availableFraction(double workAbove, double parallelism)
{
    return parallelism <= 0 ? MinShare : std::max(MinShare, 1 - workAbove / parallelism);
}

} // namespace flamingousher::balancing
