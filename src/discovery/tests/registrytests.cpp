#include "discovery/registry.h"

#include <criterion/criterion.h>

using namespace flamingousher;
using namespace flamingousher::discovery;
using std::chrono::milliseconds;

namespace {

const base::TimePoint Start { std::chrono::hours(1) };

UpstreamEntry entry(const std::string& id, std::uint64_t sequence, std::int64_t startedAt = 100)
{
    return { .id = id,
        .service = "s",
        .endpoint = "10.0.0.1:80",
        .zone = "z",
        .slots = 3,
        .startedAt = startedAt,
        .sequence = sequence };
}

UpstreamEntry draining(const std::string& id, std::uint64_t sequence)
{
    UpstreamEntry result = entry(id, sequence);
    result.isDraining = true;
    return result;
}

} // namespace

Test(Registry, ignoresOutOfOrderReports)
{
    Registry registry;
    registry.put(draining("a", 5), Start);
    registry.put(entry("a", 4), Start);
    cr_assert(registry.upstreams().at(0).entry.isDraining);
    registry.put(entry("a", 6), Start);
    cr_assert(registry.upstreams().at(0).entry.isDraining, "draining ends only with a restart");
    registry.put(entry("a", 1, 200), Start);
    cr_assert(!registry.upstreams().at(0).entry.isDraining, "a restarted process is not draining");
    registry.put(entry("a", 9, 100), Start);
    cr_assert_eq(registry.upstreams().at(0).entry.startedAt, 200);
}

Test(Registry, lateReportDoesNotRestoreRemovedUpstream)
{
    Registry registry;
    registry.put(entry("a", 5), Start);
    registry.remove("a", Start);
    cr_assert(registry.upstreams().empty());
    registry.put(entry("a", 5), Start);
    cr_assert(registry.upstreams().empty());
    registry.put(entry("a", 6), Start);
    cr_assert_eq(registry.upstreams().size(), 1);
}

Test(Registry, repeatedReportIsNotAChange)
{
    Registry registry;
    registry.put(entry("a", 1), Start);
    const std::uint64_t before = registry.changeCount();
    registry.put(entry("a", 2), Start);
    cr_assert_eq(registry.changeCount(), before);
    registry.put(draining("a", 3), Start);
    cr_assert_gt(registry.changeCount(), before);
}

Test(Registry, keepsEntriesExpiredDuringStoreOutage)
{
    Registry registry;
    registry.put(entry("a", 1), Start);
    registry.put(entry("b", 1), Start);
    registry.onStoreUnavailable(Start);
    registry.tick(Start + milliseconds(60'000));
    cr_assert_eq(registry.upstreams().size(), 2, "no entry is removed while the store is unavailable");
    const base::TimePoint availableAt = Start + milliseconds(70'000);
    registry.onStoreAvailable(availableAt);
    registry.replaceAll({}, availableAt);
    cr_assert_eq(registry.upstreams().size(), 2);
    registry.put(entry("a", 60), availableAt + milliseconds(1'500));
    registry.tick(availableAt + milliseconds(2'600));
    cr_assert_eq(registry.upstreams().size(), 1, "b did not publish again in time");
    cr_assert_eq(registry.upstreams().at(0).entry.id, "a");
    registry.remove("a", availableAt + milliseconds(3'000));
    cr_assert(registry.upstreams().empty(), "later removals take effect immediately");
}

Test(Registry, removesUpstreamsMissingFromCompleteList)
{
    Registry registry;
    registry.put(entry("a", 1), Start);
    registry.replaceAll({ entry("b", 1) }, Start);
    cr_assert_eq(registry.upstreams().size(), 1);
    cr_assert_eq(registry.upstreams().at(0).entry.id, "b");
}

// Fault: the store has come back from an older copy; upstreams that it has lost publish again within 2 s.
Test(Registry, keepsUpstreamsThatARestoredStoreHasLost)
{
    Registry registry;
    for (const char* id : { "kept", "lost", "gone" })
        registry.put(entry(id, 5), Start);
    registry.put(draining("left", 5), Start);
    registry.remove("left", Start);
    registry.onStoreRestored(Start + milliseconds(1'000));
    registry.replaceAll({ entry("kept", 3), entry("left", 4) }, Start + milliseconds(1'000));
    cr_expect_eq(registry.upstreams().size(), 3u, "and none comes back that had been removed");
    registry.put(entry("lost", 5), Start + milliseconds(2'900));
    registry.tick(Start + milliseconds(3'600));
    cr_assert_eq(registry.upstreams().size(), 2u);
    cr_expect_eq(registry.upstreams().at(0).entry.sequence, 5u, "an older report of a restored store is not taken");
    cr_expect_eq(registry.upstreams().at(1).entry.id, std::string("lost"));
}
