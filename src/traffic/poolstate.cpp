#include "traffic/poolstate.h"

namespace flamingousher::traffic {

namespace {

    // Extra sub-requests as a fraction of first attempts.
    constexpr double HedgeFraction = 0.03;
    constexpr double RetryFraction = 0.02;

    constexpr base::Duration InitialHedgeDelay = std::chrono::milliseconds(20);

    admission::Gate makeGate()
    {
        return admission::Gate(admission::GateSettings {});
    }

} // namespace

PoolState::PoolState()
    : latency(InitialHedgeDelay)
    , hedgeBudget(HedgeFraction)
    , retryBudget(RetryFraction)
    , gates { makeGate(), makeGate(), makeGate() }
{
}

} // namespace flamingousher::traffic
