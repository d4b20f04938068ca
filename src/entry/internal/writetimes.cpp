#include "entry/internal/writetimes.h"

#include <algorithm>

namespace flamingousher::entry {

namespace {

    constexpr base::Duration InitialTime = std::chrono::milliseconds(2);

    // Nine of ten answers are to be in time; the rest would cost every other one parts that were about to come.
    constexpr double WrittenQuantile = 0.9;

    // The request has waited about as long to be read as its answer waits to be written, which is not observable.
    constexpr int UnseenFactor = 2;

    constexpr base::Duration LeastReserve = std::chrono::milliseconds(2); // timers and the network are not exact
    constexpr base::Duration MostReserve = std::chrono::milliseconds(20); // a VM that stood still is no rule

} // namespace

WriteTimes::WriteTimes()
    : estimate_(InitialTime)
{
}

void WriteTimes::observe(base::Duration time)
{
    estimate_.observe(time);
}

base::Duration WriteTimes::reserve() const
{
    return std::clamp(UnseenFactor * estimate_.quantile(WrittenQuantile), LeastReserve, MostReserve);
}

} // namespace flamingousher::entry
