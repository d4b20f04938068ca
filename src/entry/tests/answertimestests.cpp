#include "entry/internal/answertimes.h"

#include <criterion/criterion.h>

using namespace flamingousher;
using namespace flamingousher::entry;
using std::chrono::milliseconds;

namespace {

const base::TimePoint Received { milliseconds(1'000) };
const TimeLimits Limits { milliseconds(40), milliseconds(400), milliseconds(4) };

} // namespace

// With a caller 3 ms away and shards that pause often, responses wait until their goal and must still arrive in time.
Test(AnswerTimes, subtractsRoundTripAndReserve)
{
    const AnswerTimes deadlines = computeAnswerTimes(Received, Limits, milliseconds(6), false);
    // 3 ms from the caller, 3 ms back to it, and 4 ms to write the response.
    cr_assert(deadlines.goal == Received + milliseconds(30));
    cr_assert(deadlines.deadline == Received + milliseconds(390));
}

Test(AnswerTimes, subtractsConnectionSetup)
{
    const AnswerTimes deadlines = computeAnswerTimes(Received, Limits, milliseconds(6), true);
    cr_assert(deadlines.goal == Received + milliseconds(24));
}

Test(AnswerTimes, assumesNearbyCallerWithoutEstimate)
{
    const AnswerTimes deadlines = computeAnswerTimes(Received, Limits, std::nullopt, false);
    cr_assert(deadlines.goal == Received + milliseconds(34));
}

Test(AnswerTimes, goalIsNotBeforeReceiptOrAfterDeadline)
{
    const AnswerTimes farCaller = computeAnswerTimes(Received, Limits, milliseconds(500), false);
    cr_assert(farCaller.goal == Received);
    cr_assert(farCaller.deadline == Received);
    const TimeLimits longGoal { milliseconds(900), milliseconds(400), milliseconds(4) };
    const AnswerTimes clamped = computeAnswerTimes(Received, longGoal, milliseconds(6), false);
    cr_assert(clamped.goal == clamped.deadline);
}
