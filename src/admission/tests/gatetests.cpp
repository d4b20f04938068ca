#include "admission/gate.h"

#include <criterion/criterion.h>

using namespace flamingousher;
using namespace flamingousher::admission;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const base::TimePoint Start { seconds(1000) };
const base::TimePoint NearDeadline = Start + milliseconds(86);
const base::TimePoint FarDeadline = Start + std::chrono::hours(10);

Gate gateWithLimit(double limit)
{
    return Gate({ .initialLimit = limit });
}

} // namespace

Test(Gate, admitsUpToLimitAndRefusesQueriesThatWouldMissTheirDeadline)
{
    Gate gate = gateWithLimit(2);
    cr_expect_eq(gate.request(1, "a", NearDeadline, Start).result, Result::Admitted);
    cr_expect_eq(gate.request(2, "a", NearDeadline, Start).result, Result::Admitted);
    TicketId id = 3;
    while (gate.request(id, "a", NearDeadline, Start).result == Result::Waiting)
        ++id;
    cr_expect_lt(id, 12u, "the deadline bounds the number of waiting queries");
    cr_expect(gate.request(99, "a", NearDeadline, Start).retryAfter > base::Duration::zero());
}

Test(Gate, queuesQueriesWithFarDeadline)
{
    Gate gate = gateWithLimit(1);
    gate.request(1, "a", FarDeadline, Start);
    for (TicketId id = 2; id <= 1000; ++id)
        cr_assert_eq(gate.request(id, "a", FarDeadline, Start).result, Result::Waiting);
    gate.release(1, {}, milliseconds(20), Start);
    const Gate::Dequeued dequeued = gate.dequeue(Start);
    cr_expect_geq(dequeued.admitted.size(), 1u);
    cr_expect(dequeued.expired.empty());
}

Test(Gate, expiresWaitingQueryPastItsDeadline)
{
    Gate gate = gateWithLimit(1);
    gate.request(1, "a", NearDeadline, Start);
    cr_assert_eq(gate.request(2, "a", NearDeadline, Start).result, Result::Waiting);
    const Gate::Dequeued dequeued = gate.dequeue(NearDeadline);
    cr_expect(dequeued.expired == std::vector<TicketId> { 2 });
    cr_expect(dequeued.admitted.empty());
}

Test(Gate, admitsCallerBelowItsShareWhileAnotherFloods)
{
    Gate gate = gateWithLimit(8);
    for (TicketId id = 1; id <= 100; ++id)
        gate.request(id, "flood", FarDeadline, Start);
    cr_expect_eq(gate.request(200, "quiet", NearDeadline, Start).result, Result::Admitted);
    cr_expect_eq(gate.request(201, "quiet", NearDeadline, Start).result, Result::Admitted);
}

Test(Gate, shrinksLimitOnSlotWaitAndGrowsBack)
{
    Gate gate = gateWithLimit(100);
    base::TimePoint now = Start;
    for (TicketId id = 1; id <= 50; ++id) {
        gate.request(id, "a", FarDeadline, now);
        now += milliseconds(60);
        gate.release(id, milliseconds(50), milliseconds(60), now);
    }
    const double shrunk = gate.limit();
    cr_expect_lt(shrunk, 5.0);
    for (TicketId id = 100; id <= 3000; ++id) {
        gate.request(id, "a", FarDeadline, now);
        gate.request(id + 10'000, "a", FarDeadline, now);
        gate.request(id + 20'000, "a", FarDeadline, now);
        for (TicketId done : { id, id + 10'000, id + 20'000 })
            gate.release(done, {}, milliseconds(5), now);
        gate.dequeue(now);
        now += milliseconds(1);
    }
    cr_expect_gt(gate.limit(), shrunk);
}

Test(Gate, neverAdmitsCancelledQuery)
{
    Gate gate = gateWithLimit(1);
    gate.request(1, "a", FarDeadline, Start);
    gate.request(2, "a", FarDeadline, Start);
    gate.cancelWaiting(2);
    gate.release(1, {}, milliseconds(5), Start);
    cr_expect(gate.dequeue(Start).admitted.empty());
}
