#include "fleet/tests/fleetsimulation.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace flamingousher::fleet;
using namespace flamingousher::fleet::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Other nodes must not declare a node dead for a pause of up to this duration.
constexpr seconds ToleratedPause { 4 };

void expectInvariants(const FleetSimulation& run)
{
    cr_expect_eq(run.revisionRegressions, 0u, "a revision decreased");
    cr_expect_eq(run.limitViolations, 0u, "slot limit exceeded in %lu upstream steps", run.limitViolations);
}

} // namespace

Test(FleetSimulation, convergesToOneViewAndServesEveryUpstream)
{
    FleetSimulation run({});
    run.runFor(seconds(10));
    for (std::size_t node = 0; node < run.size(); ++node) {
        cr_expect_eq(run.core(node).membership().upNodes().size(), 9u);
        cr_expect(run.core(node).isReadyToServe(run.now()));
    }
    const std::uint64_t before = run.stepsWithoutOwner;
    run.runFor(seconds(5));
    cr_expect_eq(run.stepsWithoutOwner, before);
    expectInvariants(run);
}

Test(FleetSimulation, spreadsAnEditToAllNodesWithinEightSecondsOverLossyLinks)
{
    for (std::size_t nodes : { 3, 9, 60, 200 }) {
        for (std::uint64_t seed = 1; seed <= (nodes > 50 ? 1 : 10); ++seed) {
            FleetSimulation run({ .nodes = nodes, .upstreams = 3, .loss = 0.3, .seed = seed });
            run.runFor(seconds(20));
            run.publish("second");
            run.runFor(seconds(8));
            cr_expect_eq(
                run.countAtRevision(2), nodes, "%zu of %zu nodes, seed %lu", run.countAtRevision(2), nodes, seed);
            expectInvariants(run);
        }
    }
}

Test(FleetSimulation, neverServesAnOlderRevisionFromAStaleService)
{
    FleetSimulation run({});
    run.runFor(seconds(8));
    run.publish("second");
    run.runFor(seconds(8));
    run.setServiceRevision(1);
    const std::size_t newNode = run.addNode();
    for (int step = 0; step < 400; ++step) {
        run.runFor(milliseconds(20));
        const bool hasOldRevision = run.core(newNode).configuration().id().revision < 2;
        cr_assert_not(hasOldRevision && run.core(newNode).isReadyToServe(run.now()), "serves with an old revision");
    }
    cr_expect_eq(run.core(newNode).configuration().id().revision, 2u);
    cr_expect(run.core(newNode).isReadyToServe(run.now()));
    expectInvariants(run);
}

Test(FleetSimulation, startsANewNodeWhileTheServiceIsDown)
{
    FleetSimulation run({});
    run.runFor(seconds(8));
    run.setServiceDown(true);
    const std::size_t newNode = run.addNode();
    run.runFor(seconds(8));
    cr_expect(run.core(newNode).isReadyToServe(run.now()));
    expectInvariants(run);
}

Test(FleetSimulation, keepsNodesUpDuringAShortPause)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        FleetSimulation run({ .loss = 0.05, .seed = seed });
        run.runFor(seconds(10));
        run.pause(seed % 9, ToleratedPause);
        run.runFor(seconds(30));
        cr_expect_eq(run.falseDeaths, 0u, "seed %lu", seed);
        for (std::size_t node = 0; node < run.size(); ++node)
            cr_expect_eq(run.core(node).membership().upNodes().size(), 9u, "seed %lu", seed);
        expectInvariants(run);
    }
}

Test(FleetSimulation, keepsNodesUpOverLossyLinks)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        FleetSimulation run({ .nodes = 30, .upstreams = 10, .loss = 0.3, .seed = seed });
        run.runFor(seconds(120));
        cr_expect_eq(run.falseDeaths, 0u, "seed %lu: %lu", seed, run.falseDeaths);
    }
}

Test(FleetSimulation, movesOnlyTheUpstreamsOfALostNode)
{
    FleetSimulation run({});
    run.runFor(seconds(10));
    std::map<std::string, std::string> before;
    for (std::size_t upstream = 0; upstream < 30; ++upstream) {
        const std::string name = "u" + std::to_string(upstream);
        before[name] = run.core(0).ownership().ownerOf({ name, "z" + std::to_string(upstream % 3) })->id.endpoint;
    }
    const std::string lost = run.core(8).membership().self().id.endpoint;
    run.kill(8);
    run.runFor(seconds(15));
    for (const auto& [name, owner] : before) {
        const std::string zone = "z" + std::to_string(std::stoul(name.substr(1)) % 3);
        const std::string after = run.core(0).ownership().ownerOf({ name, zone })->id.endpoint;
        cr_expect(after == owner || owner == lost, "%s moved", name.c_str());
        cr_expect_neq(after, lost);
    }
    expectInvariants(run);
}

Test(FleetSimulation, keepsTotalLimitsWhileNodesJoinLeaveDieAndPause)
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        FleetSimulation run({ .loss = 0.1, .seed = seed });
        run.runFor(seconds(8));
        run.addNode();
        run.runFor(seconds(3));
        run.leave(seed % 9);
        run.runFor(seconds(3));
        run.kill((seed + 3) % 9);
        run.runFor(seconds(2));
        run.pause((seed + 5) % 9, seconds(30));
        run.runFor(seconds(60));
        cr_expect_eq(run.limitViolations, 0u, "seed %lu: %lu upstream steps", seed, run.limitViolations);
    }
}

Test(FleetSimulation, keepsTotalLimitsAcrossAPartition)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        FleetSimulation run({ .seed = seed });
        run.runFor(seconds(10));
        run.partition({ 0, 3, 6 });
        run.runFor(seconds(60));
        cr_expect_eq(run.limitViolations, 0u, "seed %lu: %lu upstream steps", seed, run.limitViolations);
        run.publish("second");
        run.runFor(seconds(5));
        run.heal();
        run.runFor(seconds(20));
        cr_expect_eq(run.countAtRevision(2), 9u);
        for (std::size_t node = 0; node < run.size(); ++node)
            cr_expect_eq(run.core(node).membership().upNodes().size(), 9u, "seed %lu", seed);
        expectInvariants(run);
    }
}

Test(FleetSimulation, handsOverWithoutTakeoverDelayOnPlannedLeave)
{
    FleetSimulation run({});
    run.runFor(seconds(10));
    const std::uint64_t before = run.stepsWithoutOwner;
    run.leave(4);
    run.runFor(seconds(10));
    // About 3 of 30 upstreams move. A takeover delay of 3 s would leave each of them without an owner for 150 steps.
    const double gap = static_cast<double>(run.stepsWithoutOwner - before) / 3;
    cr_expect_lt(gap, 75, "%.0f steps of 20 ms for each moved upstream", gap);
    expectInvariants(run);
}

Test(FleetSimulation, onlyWatchersCallTheService)
{
    FleetSimulation run({ .nodes = 60, .upstreams = 3 });
    run.runFor(seconds(20));
    const std::uint64_t before = run.serviceCalls;
    run.publish("second");
    run.runFor(seconds(10));
    cr_expect_leq(run.serviceCalls - before, 6u, "two watchers in each of three zones");
    cr_expect_eq(run.countAtRevision(2), 60u);
}
