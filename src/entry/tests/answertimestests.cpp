#include "entry/internal/answertimes.h"

#include <criterion/criterion.h>

using namespace flamingousher;
using namespace flamingousher::entry;
using std::chrono::milliseconds;

namespace {

const base::TimePoint Received { milliseconds(1'000) };
const TimeLimits Limits { milliseconds(40), milliseconds(400), milliseconds(4) };

} // namespace

// Load pattern: the caller is 3 ms away, and shards pause so often that answers wait until their goal.
Test(AnswerTimes, leavesTheWayToTheCallerAndBack)
{
    const AnswerTimes times = computeAnswerTimes(Received, Limits, milliseconds(6), false);
    // Sent 3 ms before it was received; 3 ms for the way back and 4 ms to write the answer.
    cr_assert(times.goal == Received + milliseconds(30));
    cr_assert(times.deadline == Received + milliseconds(390));
}

Test(AnswerTimes, countsTheOpeningOfTheConnection)
{
    const AnswerTimes times = computeAnswerTimes(Received, Limits, milliseconds(6), true);
    cr_assert(times.goal == Received + milliseconds(24));
}

Test(AnswerTimes, assumesANearCallerWhenNothingIsKnown)
{
    const AnswerTimes times = computeAnswerTimes(Received, Limits, std::nullopt, false);
    cr_assert(times.goal == Received + milliseconds(34));
}

Test(AnswerTimes, neverEndsBeforeTheRequestOrAfterTheDeadline)
{
    const AnswerTimes hopeless = computeAnswerTimes(Received, Limits, milliseconds(500), false);
    cr_assert(hopeless.goal == Received);
    cr_assert(hopeless.deadline == Received);
    const TimeLimits patient { milliseconds(900), milliseconds(400), milliseconds(4) };
    const AnswerTimes cut = computeAnswerTimes(Received, patient, milliseconds(6), false);
    cr_assert(cut.goal == cut.deadline);
}
