#include "balancing/admission.h"

#include <criterion/criterion.h>

#include <vector>

using namespace flamingousher;
using namespace flamingousher::balancing;
using std::chrono::milliseconds;

namespace {

std::vector<ShardLoad> shards(std::size_t count, const ShardLoad& load)
{
    return std::vector<ShardLoad>(count, load);
}

const ShardLoad Free {
    .isUsable = true, .hasCapacity = true, .work = milliseconds(15), .parallelism = 9, .serviceTime = milliseconds(15)
};

ShardLoad queued(int queuedAhead)
{
    return { .isUsable = true,
        .hasCapacity = false,
        .workAhead = milliseconds(15) * queuedAhead,
        .work = milliseconds(15),
        .parallelism = 3,
        .serviceTime = milliseconds(15) };
}

} // namespace

Test(Admission, admitsRequestsWithinCapacity)
{
    const AdmissionDecision decision = admit(shards(10, Free), 0.89, milliseconds(112));
    cr_assert(decision.isAdmitted());
    cr_assert(decision.expectedLatency == milliseconds(15));
}

// Load pattern: a burst occupies every connection; each further query would use a slot of all ten shards and still miss
// its goal.
Test(Admission, refusesRequestsThatWouldMissTheirGoalWithARetryDelay)
{
    cr_assert(admit(shards(10, queued(12)), 0.89, milliseconds(112)).isAdmitted());
    const AdmissionDecision decision = admit(shards(10, queued(30)), 0.89, milliseconds(112));
    cr_assert(!decision.isAdmitted());
    // 31 requests of 15 ms, 3 at a time, and the answer exceed the goal by 58 ms: 3 rounds of 20 ms, the minimum retry
    // delay.
    cr_assert(decision.expectedLatency == milliseconds(170));
    cr_assert(decision.retryAfter == milliseconds(60));
    // Within 60 ms 4 rounds of 15 ms have started 3 sub-requests each.
    const AdmissionDecision later = admit(shards(10, queued(30 - 4 * 3)), 0.89, milliseconds(112));
    cr_assert(later.isAdmitted(), "a retry after the given delay is admitted");
}

Test(Admission, ignoresSlowShardsBeyondTheMinimumCoverage)
{
    auto loads = shards(10, Free);
    loads[3] = queued(100);
    cr_assert(admit(loads, 0.89, milliseconds(112)).isAdmitted());
    cr_assert(!admit(loads, 1.0, milliseconds(112)).isAdmitted());
    loads[4] = { .isUsable = false };
    cr_assert(!admit(loads, 0.89, milliseconds(112)).isAdmitted(), "only 8 of 10 shards are in time");
}

Test(Admission, refusesWhenTooFewShardsHaveAUsableUpstream)
{
    auto loads = shards(10, Free);
    loads[0].isUsable = false;
    cr_assert(admit(loads, 0.89, milliseconds(112)).isAdmitted());
    loads[1].isUsable = false;
    const AdmissionDecision decision = admit(loads, 0.89, milliseconds(112));
    cr_assert(!decision.isAdmitted());
    cr_assert(decision.reason == AdmissionReason::TooFewUsable);
    cr_assert(decision.retryAfter > base::Duration::zero());
}

Test(Admission, admitsLateAnswersWhenNothingIsQueued)
{
    ShardLoad slow = Free;
    slow.serviceTime = milliseconds(400);
    cr_assert(admit(shards(1, slow), 1.0, milliseconds(112)).isAdmitted());
}

// Load pattern: all replicas of a shard name limits below the load, so queued sub-requests start one by one.
Test(Admission, rejectsWhatNamedLimitsDoNotAllowInTime)
{
    ShardLoad free;
    free.serviceTime = std::chrono::milliseconds(10);
    ShardLoad limited = free;
    limited.hasCapacity = false;
    limited.limitWait = std::chrono::milliseconds(300);
    const std::vector<ShardLoad> loads { free, limited };
    const AdmissionDecision decision = admit(loads, 1, std::chrono::milliseconds(120));
    cr_expect(decision.reason == AdmissionReason::TooLate);
    cr_expect(decision.retryAfter >= std::chrono::milliseconds(190), "the limit allows nothing earlier");
    cr_expect(decision.retryAfter <= std::chrono::milliseconds(220));
    cr_expect(admit(loads, 0.5, std::chrono::milliseconds(120)).isAdmitted(), "one shard of two is enough");
    cr_expect(admit(loads, 1, std::chrono::milliseconds(320)).isAdmitted(), "it is allowed before the goal");
}

// Load pattern: all replicas of some shards turn requests away until a time that they name.
Test(Admission, tellsWhenEnoughUpstreamsAcceptWorkAgain)
{
    auto loads = shards(10, Free);
    loads[1] = { .isUsable = false, .usableIn = milliseconds(3'000) };
    loads[2] = { .isUsable = false, .usableIn = milliseconds(700) };
    loads[3] = { .isUsable = false, .usableIn = milliseconds(1'200) };
    const AdmissionDecision decision = admit(loads, 0.89, milliseconds(112));
    cr_expect(decision.reason == AdmissionReason::TooFewUsable);
    cr_expect(decision.retryAfter == milliseconds(1'200), "then nine of ten shards accept work");
    cr_expect(admit(loads, 0.7, milliseconds(112)).isAdmitted());
    loads[3].usableIn = milliseconds(0);
    cr_expect(admit(loads, 0.89, milliseconds(112)).retryAfter == milliseconds(700), "another one may be found");
}
