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

double LatencyCorrection::factor(base::TimePoint now) const
{
    return 1 + excess_ * std::exp2(-std::max(0.0, std::chrono::duration<double>(now - updatedAt_) / HalfLife));
}

void LatencyCorrection::onFinished(bool isInTime, base::TimePoint now)
{
    excess_ = std::clamp(factor(now) - 1 + (isInTime ? -DecreaseInTime : IncreaseWhenLate), 0.0, MaxExcess);
    updatedAt_ = now;
}

} // namespace flamingousher::balancing
