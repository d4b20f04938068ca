#include "control/directcontroller.h"

#include <criterion/criterion.h>

#include <vector>

using namespace flamingousher;
using namespace flamingousher::control;

namespace {

struct Harness {
    base::TimePoint now { std::chrono::hours(1) };
    std::vector<std::uint64_t> versions;
    std::vector<std::size_t> upstreamCounts;
    eventlog::EventLog log { {}, { [this] { return now; }, [](const std::string&) {} } };
    DirectController controller { log,
        { [this] { return now; },
            [this](const std::shared_ptr<const routing::RouteTable>& routes) {
                versions.push_back(routes->configuration().version);
            },
            [this](const std::vector<discovery::DiscoveredUpstream>& upstreams) {
                upstreamCounts.push_back(upstreams.size());
            } } };
};

discovery::UpstreamEntry entry(const std::string& id, const std::string& zone = "a")
{
    return { .id = id, .service = "s", .endpoint = "10.0.0.1:80", .zone = zone, .sequence = 1 };
}

} // namespace

Test(DirectController, ignoresOlderConfigurations)
{
    Harness harness;
    for (std::uint64_t version : { 4, 9, 6, 9, 12 })
        harness.controller.onConfiguration({ .version = version });
    cr_assert_eq(harness.versions, (std::vector<std::uint64_t> { 4, 9, 12 }));
    cr_assert_eq(harness.controller.version(), 12);
}

Test(DirectController, publishesPendingChangesOnce)
{
    Harness harness;
    harness.controller.onUpstream(entry("a"));
    harness.controller.onUpstream(entry("b"));
    cr_assert(harness.upstreamCounts.empty());
    harness.controller.publish();
    harness.controller.publish();
    cr_assert_eq(harness.upstreamCounts, (std::vector<std::size_t> { 2 }));
}

// Fault: upstreams of an evacuated zone still got requests.
Test(DirectController, withholdsUpstreamsOfEvacuatedZones)
{
    Harness harness;
    harness.controller.onEvacuations({ { "b", 5 } });
    harness.controller.onAllUpstreams({ entry("1", "a"), entry("2", "b"), entry("3", "c") });
    harness.controller.publish();
    harness.controller.onEvacuations({ { "b", 5 }, { "c", 6 } });
    harness.controller.publish();
    harness.controller.onUpstream(entry("4", "c"));
    harness.controller.publish();
    harness.controller.onEvacuations({});
    harness.controller.publish();
    cr_assert_eq(harness.upstreamCounts, (std::vector<std::size_t> { 2, 1, 1, 4 }));
}

Test(DirectController, isReadyToServeOnceRoutesAndUpstreamsAreKnown)
{
    Harness harness;
    cr_assert(!harness.controller.isReadyToServe());
    harness.controller.onConfiguration({ .version = 1 });
    cr_assert(!harness.controller.isReadyToServe());
    harness.controller.onUpstream(entry("a"));
    harness.controller.publish();
    cr_assert(harness.controller.isReadyToServe());
}

Test(DirectController, keepsMissingUpstreamsForAWhileAfterStoreIsAvailableAgain)
{
    Harness harness;
    harness.controller.onUpstream(entry("a"));
    harness.controller.publish();
    harness.controller.onStoreUnavailable({});
    harness.now += std::chrono::seconds(30);
    harness.controller.onStoreAvailable();
    harness.controller.onAllUpstreams({});
    harness.controller.tick();
    cr_assert_eq(harness.upstreamCounts.size(), 1);
    harness.now += std::chrono::seconds(3);
    harness.controller.tick();
    cr_assert_eq(harness.upstreamCounts, (std::vector<std::size_t> { 1, 0 }));
}

// Fault: the store has come back from an older copy, which lists an older version until the operators write again.
Test(DirectController, keepsConfigurationOfBeforeARestoration)
{
    Harness harness;
    harness.controller.onConfiguration({ .version = 9 });
    harness.controller.onStoreRestored(6);
    harness.controller.onConfiguration({ .version = 6 });
    harness.controller.onConfiguration({ .version = 9 });
    cr_expect_eq(harness.versions, (std::vector<std::uint64_t> { 9 }));
    harness.controller.onConfiguration({ .version = 9, .services = { { "s", 7 } } });
    cr_expect_eq(harness.versions, (std::vector<std::uint64_t> { 9, 9 }), "written again with other contents");
    harness.controller.onConfiguration({ .version = 11 });
    harness.controller.onConfiguration({ .version = 11, .services = { { "s", 7 } } });
    cr_expect_eq(harness.versions, (std::vector<std::uint64_t> { 9, 9, 11 }));
}

// Fault: an evacuation that was ordered again after the store's return was ignored.
Test(DirectController, obeysEvacuationThatIsOrderedAgainAfterARestoration)
{
    Harness harness;
    harness.controller.onAllUpstreams({ entry("1", "a"), entry("2", "b") });
    harness.controller.onEvacuations({ { "b", 5 } });
    harness.controller.tick();
    harness.controller.onEvacuations({});
    harness.controller.tick();
    harness.controller.onStoreRestored(4);
    harness.controller.onEvacuations({});
    harness.now += std::chrono::seconds(20);
    harness.controller.tick();
    harness.controller.onEvacuations({ { "b", 5 } });
    harness.controller.tick();
    cr_assert_eq(harness.upstreamCounts, (std::vector<std::size_t> { 1, 2, 1 }));
}
