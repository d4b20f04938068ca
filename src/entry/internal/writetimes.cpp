#include "entry/internal/writetimes.h"

#include <algorithm>

namespace flamingousher::entry {

namespace {

    constexpr base::Duration InitialWriteTime = std::chrono::milliseconds(2);

    // Keeps nine of ten responses in time. A higher quantile would cost the other responses replies of shards that were
    // about to arrive.
    constexpr double WriteTimeQuantile = 0.9;

    // The delay until a request is read cannot be measured; it is about as long as the write time of its response.
    constexpr int ReadDelayFactor = 2;

    // Of the network and of other processes on the way, which cannot be measured here.
    constexpr base::Duration MinSpread = std::chrono::milliseconds(2);

    constexpr int ReserveDeviations = 4; // about twice the time below which nine of ten responses are written

    constexpr base::Duration MinReserve = std::chrono::milliseconds(2); // inaccuracy of timers and the network
    constexpr base::Duration MaxReserve = std::chrono::milliseconds(20); // limits the effect of a VM that was paused

} // namespace

WriteTimes::WriteTimes()
    : estimate_(InitialWriteTime)
{
}

void WriteTimes::observe(base::Duration time)
{
    estimate_.observe(time);
}

base::Duration WriteTimes::reserve() const
{
    return std::clamp(ReadDelayFactor * estimate_.quantile(WriteTimeQuantile), MinReserve, MaxReserve);
}

base::Duration WriteTimes::spread() const
{
    return MinSpread + reserve() / ReserveDeviations;
}

} // namespace flamingousher::entry
