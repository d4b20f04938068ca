#include "traffic/poolstate.h"

namespace flamingousher::traffic {

namespace {

    admission::Gate makeGate()
    {
        return admission::Gate(admission::GateSettings {});
    }

} // namespace

PoolState::PoolState()
    : gates { makeGate(), makeGate(), makeGate() }
{
}

} // namespace flamingousher::traffic
