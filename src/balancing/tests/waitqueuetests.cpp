#include "balancing/waitqueue.h"

#include <criterion/criterion.h>

using namespace flamingousher;
using namespace flamingousher::balancing;
using std::chrono::milliseconds;

namespace {

const base::TimePoint Start { std::chrono::hours(1) };

} // namespace

// Load pattern: suggestions (goal 50 ms) arrive while full searches (120 ms) and reports (1 s) wait.
Test(WaitQueue, startsTheEarliestGoalFirstWithoutStarvation)
{
    WaitQueue queue;
    queue.add(1, Start + milliseconds(1'000));
    queue.add(2, Start + milliseconds(120));
    queue.add(3, Start + milliseconds(50));
    cr_assert_eq(queue.peek(3, Start), (std::vector<WaitQueue::Key> { 3, 2, 1 }));
    queue.remove(3);
    queue.add(4, Start + milliseconds(1'010));
    cr_assert_eq(queue.peek(1, Start + milliseconds(960)).at(0), 1, "an old report precedes newer requests");
}

Test(WaitQueue, putsMissedGoalsLast)
{
    WaitQueue queue;
    queue.add(1, Start + milliseconds(50));
    queue.add(2, Start + milliseconds(120));
    cr_assert_eq(queue.peek(2, Start + milliseconds(60)), (std::vector<WaitQueue::Key> { 2, 1 }));
}

Test(WaitQueue, countsSubRequestsAhead)
{
    WaitQueue queue;
    queue.add(1, Start + milliseconds(50));
    queue.add(2, Start + milliseconds(120));
    queue.add(3, Start + milliseconds(-10));
    cr_assert_eq(queue.countAhead(Start + milliseconds(100), Start), 1);
    cr_assert_eq(queue.countAhead(Start + milliseconds(200), Start), 2);
    cr_assert_eq(queue.countAhead(Start - milliseconds(1), Start), 3);
    queue.remove(2);
    queue.remove(2);
    cr_assert_eq(queue.size(), 2);
}
