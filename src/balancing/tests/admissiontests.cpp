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
    .isUsable = true, .hasRoom = true, .ahead = 0, .connections = 9, .serviceTime = milliseconds(15)
};

ShardLoad queued(std::size_t ahead)
{
    return { .isUsable = true, .hasRoom = false, .ahead = ahead, .connections = 3, .serviceTime = milliseconds(15) };
}

} // namespace

Test(Admission, admitsWhatFindsRoom)
{
    const AdmissionVerdict verdict = admit(shards(10, Free), 0.89, milliseconds(112));
    cr_assert(verdict.isAdmitted());
    cr_assert(verdict.expected == milliseconds(15));
}

// Load pattern: a burst fills every connection; each further query would take a slot of all ten shards in vain.
Test(Admission, refusesWhatCannotReachItsGoalAndSaysWhenItWill)
{
    cr_assert(admit(shards(10, queued(12)), 0.89, milliseconds(112)).isAdmitted());
    const AdmissionVerdict verdict = admit(shards(10, queued(30)), 0.89, milliseconds(112));
    cr_assert(!verdict.isAdmitted());
    // 12 turns of 15 ms are 68 ms too many: 4 turns of 20 ms, the shortest that is told.
    cr_assert(verdict.retryAfter == milliseconds(80));
    // By then 5 turns have started 3 sub-requests each.
    const AdmissionVerdict later = admit(shards(10, queued(30 - 5 * 3)), 0.89, milliseconds(112));
    cr_assert(later.isAdmitted(), "a caller that returns then is served");
}

Test(Admission, looksOnlyAtTheShardsThatAreNeeded)
{
    auto loads = shards(10, Free);
    loads[3] = queued(100);
    cr_assert(admit(loads, 0.89, milliseconds(112)).isAdmitted());
    cr_assert(!admit(loads, 1.0, milliseconds(112)).isAdmitted());
    loads[4] = { .isUsable = false };
    cr_assert(!admit(loads, 0.89, milliseconds(112)).isAdmitted(), "8 of 10 are in time");
}

Test(Admission, refusesAtOnceWhenTooFewShardsHaveAnUpstream)
{
    auto loads = shards(10, Free);
    loads[0].isUsable = false;
    cr_assert(admit(loads, 0.89, milliseconds(112)).isAdmitted());
    loads[1].isUsable = false;
    const AdmissionVerdict verdict = admit(loads, 0.89, milliseconds(112));
    cr_assert(!verdict.isAdmitted());
    cr_assert(verdict.reason == AdmissionReason::TooFewUsable);
    cr_assert(verdict.retryAfter > base::Duration::zero());
}

Test(Admission, servesLateWhenNobodyWaits)
{
    ShardLoad slow = Free;
    slow.serviceTime = milliseconds(400);
    cr_assert(admit(shards(1, slow), 1.0, milliseconds(112)).isAdmitted());
}
