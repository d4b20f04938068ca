#include "discovery/evacuations.h"

#include <criterion/criterion.h>

using namespace flamingousher;
using namespace flamingousher::discovery;

namespace {

constexpr base::TimePoint Start { std::chrono::hours(1) };
constexpr base::Duration AfterRewriting = std::chrono::seconds(3);

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
    evacuations.onStoreRestored(Start);
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
    evacuations.onStoreRestored(Start);
    evacuations.replaceAll({}, Start);
    evacuations.tick(Start + AfterRewriting);
    cr_expect(!evacuations.isEvacuated("a"));
}

Test(Evacuations, ignoresOrderTakenBackBeforeStoreWasRestored)
{
    Evacuations evacuations;
    evacuations.replaceAll({ { "a", 50 } }, Start);
    evacuations.replaceAll({}, Start);
    evacuations.onStoreRestored(Start);
    evacuations.replaceAll({ { "a", 50 } }, Start);
    cr_expect(!evacuations.isEvacuated("a"));
    evacuations.replaceAll({ { "a", 53 } }, Start + AfterRewriting);
    cr_expect(evacuations.isEvacuated("a"), "a new order has another revision");
}
