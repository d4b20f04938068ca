#include "entry/internal/writetimes.h"

#include <criterion/criterion.h>

using namespace flamingousher;
using namespace flamingousher::entry;
using std::chrono::microseconds;
using std::chrono::milliseconds;

Test(WriteTimes, startsWithFourMilliseconds)
{
    cr_assert(WriteTimes().reserve() == milliseconds(4));
}

// A VM with half a core writes a response in 0.3 ms.
Test(WriteTimes, fastVmReservesMinimum)
{
    WriteTimes estimate;
    for (int i = 0; i < 200; ++i)
        estimate.observe(microseconds(300));
    cr_assert(estimate.reserve() == milliseconds(2));
}

// On a VM with 0.12 cores during a burst, one response in five is delayed by other requests.
Test(WriteTimes, slowVmReservesMore)
{
    WriteTimes estimate;
    for (int i = 0; i < 200; ++i)
        estimate.observe(i % 5 ? milliseconds(1) : milliseconds(4));
    cr_assert(estimate.reserve() >= milliseconds(8));
    cr_assert(estimate.reserve() <= milliseconds(11));
}

Test(WriteTimes, reserveShrinksAfterRecovery)
{
    WriteTimes estimate;
    for (int i = 0; i < 200; ++i)
        estimate.observe(milliseconds(9));
    for (int i = 0; i < 5'000; ++i)
        estimate.observe(microseconds(300));
    cr_assert(estimate.reserve() == milliseconds(2));
}

Test(WriteTimes, longPauseIsLimitedToMaximum)
{
    WriteTimes estimate;
    for (int i = 0; i < 100; ++i)
        estimate.observe(milliseconds(800));
    cr_assert(estimate.reserve() == milliseconds(20));
}
