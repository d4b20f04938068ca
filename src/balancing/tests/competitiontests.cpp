#include "balancing/admission.h"
#include "balancing/latencycorrection.h"
#include "balancing/offeredwork.h"
#include "balancing/returnschedule.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <vector>

using namespace flamingousher;
using namespace flamingousher::balancing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr base::TimePoint Start { seconds(100) };

// A shard at whose upstreams other VMs keep a queue.
ShardLoad congested(milliseconds serviceTime)
{
    return { .isCongested = true, .work = serviceTime, .parallelism = 3, .serviceTime = serviceTime };
}

} // namespace

// Load pattern: 300 queries a second, of which the upstreams answer 200 within the goal; the VM has no queue.
Test(LatencyCorrection, refusesWhatExceedsCapacityWithoutQueue)
{
    LatencyCorrection correction;
    const std::vector<ShardLoad> shards(36, congested(milliseconds(40)));
    int admittedInSecond = 0;
    int totalAdmitted = 0;
    int totalLate = 0;
    for (int query = 0; query < 3'000; ++query) {
        const base::TimePoint now = Start + milliseconds(10) * query / 3;
        if (query % 300 == 0)
            admittedInSecond = 0;
        if (!admit(shards, 0.95, milliseconds(150), correction.factor(1, now)).isAdmitted())
            continue;
        ++admittedInSecond;
        const bool isInTime = admittedInSecond <= 200;
        correction.onFinished(1, isInTime, now);
        totalAdmitted += query >= 600 ? 1 : 0;
        totalLate += query >= 600 && !isInTime ? 1 : 0;
    }
    cr_expect_geq(totalAdmitted - totalLate, 8 * 150, "most of what can be answered is");
    cr_expect_leq(totalLate * 4, totalAdmitted, "%d of %d late", totalLate, totalAdmitted);
}

Test(LatencyCorrection, returnsToOneWithoutOutcomes)
{
    LatencyCorrection correction;
    for (int query = 0; query < 50; ++query)
        correction.onFinished(0, false, Start);
    cr_expect_gt(correction.factor(0, Start), 4);
    cr_expect_lt(correction.factor(0, Start + seconds(30)), 1.1);
}

// Load pattern: a kind with little work and a lower priority beside one with much; it must not take the other's room.
Test(LatencyCorrection, correctsLowerPrioritiesLikeHigherOnes)
{
    LatencyCorrection correction;
    for (int query = 0; query < 5; ++query)
        correction.onFinished(1, false, Start);
    cr_expect_eq(correction.factor(0, Start), 1);
    cr_expect_geq(correction.factor(2, Start), correction.factor(1, Start));
    correction.onFinished(2, true, Start);
    cr_expect_geq(correction.factor(2, Start), correction.factor(1, Start));
}

Test(OfferedWork, measuresHigherPrioritiesOnly)
{
    OfferedWork offered;
    for (int request = 0; request < 2'000; ++request) {
        offered.onArrival(0, milliseconds(5), Start + milliseconds(request));
        offered.onArrival(2, milliseconds(50), Start + milliseconds(request));
    }
    const base::TimePoint now = Start + seconds(2);
    cr_expect_eq(offered.above(0, now), 0);
    cr_expect_gt(offered.above(1, now), 3, "5 ms each millisecond");
    cr_expect_lt(offered.above(1, now), 6);
    cr_expect_lt(offered.above(2, now), 6);
    cr_expect_lt(offered.above(1, now + seconds(5)), 0.1);
}

Test(OfferedWork, leavesEachPriorityAMinimumShare)
{
    cr_expect_float_eq(availableFraction(2, 8), 0.75, 1e-9);
    cr_expect_float_eq(availableFraction(80, 8), 0.1, 1e-9);
    cr_expect_float_eq(availableFraction(1, 0), 0.1, 1e-9);
}

Test(ReturnSchedule, spreadsReturnsAndPutsUrgentOnesFirst)
{
    ReturnSchedule schedule;
    std::vector<base::Duration> delays;
    for (int caller = 0; caller < 10; ++caller)
        delays.push_back(schedule.book(1, milliseconds(20), milliseconds(80), milliseconds(400), Start));
    cr_expect(delays.front() == milliseconds(80));
    cr_expect(delays.back() == milliseconds(260));
    cr_expect(std::ranges::adjacent_find(delays) == delays.end(), "no two come back together");
    cr_expect(schedule.book(0, milliseconds(20), milliseconds(80), milliseconds(200), Start) == milliseconds(80));
    cr_expect(schedule.book(2, milliseconds(20), milliseconds(80), milliseconds(400), Start) >= milliseconds(280));
}

Test(ReturnSchedule, keepsWithinTheTimeThatCallersWait)
{
    ReturnSchedule schedule;
    for (int caller = 0; caller < 1'000; ++caller)
        cr_expect(schedule.book(0, milliseconds(20), milliseconds(80), milliseconds(200), Start) <= milliseconds(200));
    cr_expect(schedule.book(0, milliseconds(20), milliseconds(80), milliseconds(50), Start) <= milliseconds(50));
    cr_expect(schedule.book(0, milliseconds(20), milliseconds(80), milliseconds(200), Start + seconds(1))
        == milliseconds(80));
}

Test(ReturnDetector, knowsCallersThatWaitedByTheirTimeLimit)
{
    ReturnDetector detector;
    cr_expect(!detector.isReturn(milliseconds(1'200), Start), "nothing is known yet");
    cr_expect(!detector.isReturn(milliseconds(1'199), Start));
    cr_expect(detector.isReturn(milliseconds(1'050), Start));
    cr_expect(!detector.isReturn(milliseconds(1'190), Start), "it came back at once");
    cr_expect(!detector.isReturn(milliseconds(600), Start + seconds(30)), "callers with longer limits have left");
    cr_expect(!detector.isReturn(milliseconds(600), Start + seconds(30)));
}
