#include "query/snapshotcatalog.h"

#include <criterion/criterion.h>

#include <random>

using namespace flamingousher::query;

Test(SnapshotCatalog, hasNoPlanWhenNothingIsServed)
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

Test(SnapshotCatalog, leavesUnusableUpstreamsOutOfPlans)
{
    SnapshotCatalog catalog;
    catalog.setServed(0, { { 42, 0, 1 } });
    catalog.setServed(1, { { 41, 0, 1 }, { 42, 0, 1 } });
    catalog.setUsable(0, false);
    cr_expect(catalog.bestPlan()->replicas[0] == std::vector<UpstreamId> { 1 });
    catalog.removeVersion(1, 42);
    cr_expect_eq(catalog.bestPlan()->version, 41u);
}

Test(SnapshotCatalog, ignoresInvalidShards)
{
    SnapshotCatalog catalog;
    catalog.setServed(0, { { 42, 5, 2 }, { 0, 0, 1 } });
    cr_expect_null(catalog.bestPlan().get());
}

Test(SnapshotCatalog, ignoresExcessiveShardCount)
{
    SnapshotCatalog catalog;
    catalog.setServed(0, { { 42, 5, 4'000'000'000 } });
    cr_expect_null(catalog.bestPlan().get());
}

Test(SnapshotCatalog, incrementalChangesYieldSamePlanAsFreshCatalog)
{
    std::mt19937_64 random(7);
    constexpr std::uint32_t Upstreams = 12;
    SnapshotCatalog changed;
    for (int step = 0; step < 2'000; ++step) {
        const auto upstream = static_cast<UpstreamId>(random() % Upstreams);
        std::vector<ServedShard> served;
        for (std::uint64_t index = random() % 4; index > 0; --index) {
            const auto shards = static_cast<std::uint32_t>(2 + random() % 2);
            served.push_back({ 40 + random() % 3, static_cast<std::uint32_t>(random() % shards), shards });
        }
        if (random() % 4 == 0)
            changed.setUsable(upstream, random() % 2 == 0);
        else if (random() % 8 == 0)
            changed.removeVersion(upstream, 40 + random() % 3);
        else
            changed.setServed(upstream, served);
        SnapshotCatalog fresh;
        for (UpstreamId each = 0; each < Upstreams; ++each) {
            if (changed.isUsable(each))
                fresh.setServed(each, changed.servedBy(each));
        }
        const auto expected = fresh.bestPlan();
        const auto plan = changed.bestPlan();
        cr_assert_eq(plan == nullptr, expected == nullptr, "step %d", step);
        cr_assert(!plan || *plan == *expected, "step %d", step);
    }
}
