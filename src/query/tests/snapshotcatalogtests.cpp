#include "query/snapshotcatalog.h"

#include <criterion/criterion.h>

using namespace flamingousher::query;

Test(SnapshotCatalog, plansNothingWhenNothingIsServed)
{
    cr_expect_null(SnapshotCatalog().bestPlan().get());
}

Test(SnapshotCatalog, prefersNewestVersionThatCoversAllShards)
{
    SnapshotCatalog catalog;
    catalog.setServed(0, { { 41, 0, 2 }, { 42, 0, 2 } });
    catalog.setServed(1, { { 41, 1, 2 } });
    cr_expect_eq(catalog.bestPlan()->version, 41u);
    catalog.setServed(1, { { 42, 1, 2 } });
    cr_expect_eq(catalog.bestPlan()->version, 42u);
}

Test(SnapshotCatalog, neverMixesPartitionings)
{
    SnapshotCatalog catalog;
    catalog.setServed(0, { { 42, 0, 2 } });
    catalog.setServed(1, { { 42, 1, 2 } });
    catalog.setServed(2, { { 42, 2, 3 } });
    const auto plan = catalog.bestPlan();
    cr_expect_eq(plan->replicas.size(), 2u);
    cr_expect(plan->replicas[1] == std::vector<UpstreamId> { 1 });
}

Test(SnapshotCatalog, plansAroundUnusableUpstreams)
{
    SnapshotCatalog catalog;
    catalog.setServed(0, { { 42, 0, 1 } });
    catalog.setServed(1, { { 41, 0, 1 }, { 42, 0, 1 } });
    catalog.setUsable(0, false);
    cr_expect(catalog.bestPlan()->replicas[0] == std::vector<UpstreamId> { 1 });
    catalog.removeVersion(1, 42);
    cr_expect_eq(catalog.bestPlan()->version, 41u);
}

Test(SnapshotCatalog, ignoresImpossibleShards)
{
    SnapshotCatalog catalog;
    catalog.setServed(0, { { 42, 5, 2 }, { 0, 0, 1 } });
    cr_expect_null(catalog.bestPlan().get());
}
