#include "discovery/evacuations.h"

#include <criterion/criterion.h>

using namespace flamingousher;
using namespace flamingousher::discovery;

namespace {

constexpr base::TimePoint Start { std::chrono::hours(1) };
constexpr base::Duration AfterRewriting = std::chrono::seconds(3);

// Of the restored store: a copy made before the order of a test, and one made after it.
constexpr std::uint64_t CopyBeforeOrder = 40;
constexpr std::uint64_t CopyWithOrder = 52;

} // namespace

Test(Evacuations, followsOrders)
{
    Evacuations evacuations;
    evacuations.replaceAll({ { "a", 5 }, { "b", 6 } }, Start);
    cr_expect(evacuations.isEvacuated("a"));
    cr_expect(evacuations.isEvacuated("b"));
    evacuations.replaceAll({ { "b", 6 } }, Start);
    cr_expect(!evacuations.isEvacuated("a"));
    cr_expect(evacuations.isEvacuated("b"));
    cr_expect_eq(evacuations.changeCount(), 3);
}

Test(Evacuations, countsRepeatedOrderOnce)
{
    Evacuations evacuations;
    evacuations.replaceAll({ { "a", 5 } }, Start);
    evacuations.replaceAll({ { "a", 8 } }, Start + std::chrono::seconds(1));
    cr_expect_eq(evacuations.changeCount(), 1);
    cr_expect_eq(evacuations.active().front().order.revision, 8);
    cr_expect_eq(evacuations.active().front().since.time_since_epoch().count(), Start.time_since_epoch().count());
}

Test(Evacuations, keepsOrderThatRestoredStoreHasLost)
{
    Evacuations evacuations;
    evacuations.replaceAll({ { "a", 50 } }, Start);
    evacuations.onStoreRestored(CopyBeforeOrder, Start);
    evacuations.replaceAll({}, Start);
    evacuations.tick(Start + std::chrono::seconds(1));
    cr_expect(evacuations.isEvacuated("a"));
    evacuations.replaceAll({ { "a", 41 } }, Start + std::chrono::seconds(1));
    evacuations.tick(Start + AfterRewriting);
    cr_expect(evacuations.isEvacuated("a"), "the operator has written it again");
}

Test(Evacuations, endsOrderThatIsNotWrittenAgain)
{
    Evacuations evacuations;
    evacuations.replaceAll({ { "a", 50 } }, Start);
    evacuations.onStoreRestored(CopyBeforeOrder, Start);
    evacuations.replaceAll({}, Start);
    evacuations.tick(Start + AfterRewriting);
    cr_expect(!evacuations.isEvacuated("a"));
}

Test(Evacuations, ignoresOrderTakenBackBeforeStoreWasRestored)
{
    Evacuations evacuations;
    evacuations.replaceAll({ { "a", 50 } }, Start);
    evacuations.replaceAll({}, Start);
    evacuations.onStoreRestored(CopyWithOrder, Start);
    evacuations.replaceAll({ { "a", 50 } }, Start);
    cr_expect(!evacuations.isEvacuated("a"));
    evacuations.replaceAll({ { "a", 53 } }, Start + AfterRewriting);
    cr_expect(evacuations.isEvacuated("a"), "a new order has another revision");
}

// Fault: an order that a restored store had lost ended while the store was away again and could not be written.
Test(Evacuations, keepsLostOrderWhileStoreIsAway)
{
    Evacuations evacuations;
    evacuations.replaceAll({ { "a", 50 } }, Start);
    evacuations.onStoreRestored(CopyBeforeOrder, Start);
    evacuations.replaceAll({}, Start);
    evacuations.onStoreUnavailable(Start + std::chrono::seconds(1));
    const base::TimePoint back = Start + std::chrono::seconds(60);
    evacuations.tick(back);
    cr_expect(evacuations.isEvacuated("a"));
    evacuations.onStoreAvailable(back);
    evacuations.replaceAll({}, back);
    evacuations.tick(back + std::chrono::seconds(1));
    cr_expect(evacuations.isEvacuated("a"));
    evacuations.tick(back + AfterRewriting);
    cr_expect(!evacuations.isEvacuated("a"));
}

// Fault: the time to write a lost order again did not begin anew with a second restoration.
Test(Evacuations, keepsLostOrderOverASecondRestoration)
{
    Evacuations evacuations;
    evacuations.replaceAll({ { "a", 50 } }, Start);
    evacuations.onStoreRestored(CopyBeforeOrder, Start);
    evacuations.replaceAll({}, Start);
    const base::TimePoint second = Start + std::chrono::seconds(2);
    evacuations.onStoreRestored(CopyBeforeOrder, second);
    evacuations.replaceAll({}, second);
    evacuations.tick(second + std::chrono::seconds(1));
    cr_expect(evacuations.isEvacuated("a"));
    evacuations.tick(second + AfterRewriting);
    cr_expect(!evacuations.isEvacuated("a"));
}

Test(Evacuations, endsOrderAtOnceWhenStoreWasOnlyAway)
{
    Evacuations evacuations;
    evacuations.replaceAll({ { "a", 50 } }, Start);
    evacuations.onStoreUnavailable(Start);
    evacuations.onStoreAvailable(Start + AfterRewriting);
    evacuations.replaceAll({}, Start + AfterRewriting);
    cr_expect(!evacuations.isEvacuated("a"), "a store that was not restored has lost nothing");
}

// Fault: a new order was ignored, as it had got the revision of one that was taken back before the store was restored.
Test(Evacuations, obeysNewOrderWithTheRevisionOfAnOldOne)
{
    for (const base::Duration later : { base::Duration::zero(), AfterRewriting }) {
        Evacuations evacuations;
        evacuations.replaceAll({ { "a", 50 } }, Start);
        evacuations.replaceAll({}, Start);
        evacuations.onStoreRestored(CopyBeforeOrder, Start);
        evacuations.replaceAll({}, Start);
        evacuations.tick(Start + later);
        evacuations.replaceAll({ { "a", 50 } }, Start + later);
        cr_expect(evacuations.isEvacuated("a"));
    }
}

// Fault: an order that was missing until it had expired was taken for one that was taken back.
Test(Evacuations, obeysOrderThatIsWrittenAgainLate)
{
    Evacuations evacuations;
    evacuations.replaceAll({ { "a", 50 } }, Start);
    evacuations.onStoreRestored(CopyBeforeOrder, Start);
    evacuations.replaceAll({}, Start);
    evacuations.tick(Start + AfterRewriting);
    cr_assert(!evacuations.isEvacuated("a"));
    evacuations.replaceAll({ { "a", 50 } }, Start + AfterRewriting);
    cr_expect(evacuations.isEvacuated("a"));
}

// Fault: an order that the store went on listing was never obeyed.
Test(Evacuations, defersOrderThatMayHaveBeenTakenBack)
{
    std::vector<EvacuationChange> changes;
    Evacuations evacuations([&](const EvacuationOrder&, EvacuationChange change) { changes.push_back(change); });
    evacuations.replaceAll({ { "a", 50 }, { "b", 51 } }, Start);
    evacuations.replaceAll({}, Start);
    changes.clear();
    evacuations.onStoreRestored(CopyWithOrder, Start);
    evacuations.replaceAll({ { "a", 50 }, { "b", 51 } }, Start);
    evacuations.replaceAll({ { "a", 50 } }, Start);
    evacuations.tick(Start);
    cr_expect(!evacuations.isEvacuated("a"));
    evacuations.tick(Start + AfterRewriting);
    cr_expect(evacuations.isEvacuated("a"), "it is still listed");
    cr_expect(!evacuations.isEvacuated("b"), "it was taken back once more");
    cr_expect_eq(
        changes, (std::vector { EvacuationChange::Deferred, EvacuationChange::Deferred, EvacuationChange::Began }));
}

Test(Evacuations, keepsZoneEvacuatedWhenCopyHasAnEarlierOrder)
{
    Evacuations evacuations;
    evacuations.replaceAll({ { "a", 50 } }, Start);
    evacuations.replaceAll({}, Start);
    evacuations.replaceAll({ { "a", 60 } }, Start);
    evacuations.onStoreRestored(CopyWithOrder, Start);
    evacuations.replaceAll({ { "a", 50 } }, Start);
    evacuations.tick(Start + AfterRewriting);
    cr_expect(evacuations.isEvacuated("a"));
    cr_expect_eq(evacuations.changeCount(), 3);
}
