#include "entry/internal/writetimes.h"

#include <criterion/criterion.h>

using namespace flamingousher;
using namespace flamingousher::entry;
using std::chrono::microseconds;
using std::chrono::milliseconds;

Test(WriteTimes, startWithFourMilliseconds)
{
    cr_assert(WriteTimes().reserve() == milliseconds(4));
}

// Load pattern: a VM of half a core writes an answer in 0.3 ms.
Test(WriteTimes, fastVmKeepsOnlyTheLeastReserve)
{
    WriteTimes times;
    for (int i = 0; i < 200; ++i)
        times.observe(microseconds(300));
    cr_assert(times.reserve() == milliseconds(2));
}

// Load pattern: a VM of 0.12 cores in a burst, one answer in five delayed by the work for others.
Test(WriteTimes, slowVmLeavesWhatItNeeds)
{
    WriteTimes times;
    for (int i = 0; i < 200; ++i)
        times.observe(i % 5 ? milliseconds(1) : milliseconds(4));
    cr_assert(times.reserve() >= milliseconds(8));
    cr_assert(times.reserve() <= milliseconds(11));
}

Test(WriteTimes, followTheVmWhenItRecovers)
{
    WriteTimes times;
    for (int i = 0; i < 200; ++i)
        times.observe(milliseconds(9));
    for (int i = 0; i < 5'000; ++i)
        times.observe(microseconds(300));
    cr_assert(times.reserve() == milliseconds(2));
}

Test(WriteTimes, oneLongStandstillDoesNotTakeTheWholeGoal)
{
    WriteTimes times;
    for (int i = 0; i < 100; ++i)
        times.observe(milliseconds(800));
    cr_assert(times.reserve() == milliseconds(20));
}
