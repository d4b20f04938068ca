#include "balancing/latencycorrection.h"

#include <algorithm>
#include <cmath>

namespace flamingousher::balancing {

namespace {

    // In balance about one admitted request in ten misses its goal: refusing more would leave upstreams idle.
    constexpr double IncreaseWhenLate = 0.4;
    constexpr double DecreaseInTime = 0.045;

    constexpr double MaxExcess = 7;

    // While all requests are refused there are no outcomes to learn from.
    constexpr base::Duration HalfLife = std::chrono::milliseconds(3'000);

} // namespace

double LatencyCorrection::decayed(const Excess& excess, base::TimePoint now)
{
    return excess.value * std::exp2(-std::max(0.0, std::chrono::duration<double>(now - excess.at) / HalfLife));
}

double LatencyCorrection::factor(std::uint32_t priority, base::TimePoint now) const
{
    double most = 0;
    for (std::size_t higher = 0; higher <= std::min<std::size_t>(priority, PriorityCount - 1); ++higher)
        most = std::max(most, decayed(excesses_[higher], now));
    return 1 + most;
}

void LatencyCorrection::onFinished(std::uint32_t priority, bool isInTime, base::TimePoint now)
{
    Excess& excess = excesses_[std::min<std::size_t>(priority, PriorityCount - 1)];
    excess
        = { std::clamp(decayed(excess, now) + (isInTime ? -DecreaseInTime : IncreaseWhenLate), 0.0, MaxExcess), now };
}

} // namespace flamingousher::balancing
