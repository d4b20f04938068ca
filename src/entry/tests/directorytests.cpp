#include "entry/internal/directory.h"

#include "runtime/fiberthread.h"

#include <criterion/criterion.h>

using namespace flamingousher;
using namespace flamingousher::entry;

namespace {

// Provides a directory whose upstreams refuse connections, to test its decisions alone.
struct Harness {
    explicit Harness(boost::asio::io_context& ioContext)
        : io(ioContext)
    {
    }

    discovery::DiscoveredUpstream upstream(
        const std::string& id, const std::string& service, std::int64_t startedAt = 1)
    {
        return { { .id = id,
                     .service = service,
                     .endpoint = "127.0.0.1:1",
                     .zone = "a",
                     .slots = 3,
                     .startedAt = startedAt,
                     .sequence = 1 },
            {} };
    }

    void configure(std::uint32_t maxConnections)
    {
        routing::Configuration configuration { 1, {}, { { "s", maxConnections } }, {} };
        directory.applyConfiguration(
            routing::RouteTable(std::make_shared<const routing::Configuration>(configuration)));
    }

    boost::asio::io_context& io;
    base::TimePoint now { std::chrono::hours(1) };
    EntrySettings settings { .zone = "a", .assumedVmCount = 9 };
    upstreamclient::UpstreamProtocol protocol;
    eventlog::EventLog log { {}, { [this] { return now; }, [](const std::string&) {} } };
    balancing::MemoryBudget memory { 1'000'000 };
    Directory directory { io, settings, protocol, memory, log, [this] { return now; } };
};

// Leaks the thread and the harness, because fibers of connections outlive the test.
void withHarness(const std::function<void(Harness&)>& test)
{
    auto* thread = new runtime::FiberThread("test");
    thread->call([&] { test(*new Harness(thread->io())); });
}

} // namespace

Test(Directory, tracksUpstreamsOfService)
{
    withHarness([](Harness& harness) {
        harness.directory.apply({ harness.upstream("a", "s"), harness.upstream("b", "s") });
        cr_assert_eq(harness.directory.service("s")->upstreams.size(), 2);
        auto draining = harness.upstream("a", "s");
        draining.entry.isDraining = true;
        harness.directory.apply({ draining, harness.upstream("b", "s") });
        cr_assert_eq(harness.directory.service("s")->upstreams.size(), 1);
        harness.directory.apply({});
        cr_assert(harness.directory.service("s")->upstreams.empty());
    });
}

Test(Directory, treatsRestartedUpstreamAsNew)
{
    withHarness([](Harness& harness) {
        harness.directory.apply({ harness.upstream("a", "s", 1) });
        const UpstreamId before = harness.directory.service("s")->upstreams.at(0);
        harness.directory.apply({ harness.upstream("a", "s", 1) });
        cr_assert_eq(harness.directory.service("s")->upstreams.at(0), before);
        harness.directory.apply({ harness.upstream("a", "s", 2) });
        cr_assert_eq(harness.directory.service("s")->upstreams.size(), 1);
        cr_assert_neq(harness.directory.service("s")->upstreams.at(0), before);
    });
}

Test(Directory, dividesConnectionsAmongVms)
{
    withHarness([](Harness& harness) {
        harness.configure(32);
        harness.directory.apply({ harness.upstream("a", "s") });
        const auto connections = [&] {
            return harness.directory.pool(harness.directory.service("s")->upstreams.at(0)).settings().maxConnections;
        };
        cr_assert_eq(connections(), 3, "30 of 32 connections divided among 9 assumed VMs");
        std::vector<fleet::NodeInfo> vms;
        for (std::uint64_t vm = 1; vm <= 15; ++vm)
            vms.push_back({ { "vm-" + std::to_string(vm), vm }, "a", "r", "", 1 });
        harness.directory.setFleet(vms, vms.front());
        cr_assert_eq(connections(), 2);
        vms.resize(1);
        harness.directory.setFleet(vms, vms.front());
        cr_assert_eq(connections(), 12, "never above MaxConnections");
    });
}

Test(Directory, startsWaitingSubRequestsInOrderOfGoals)
{
    withHarness([](Harness& harness) {
        const auto service = harness.directory.service("s");
        std::vector<int> started;
        const auto start = [&](int number) {
            return [&started, number] {
                started.push_back(number);
                return true;
            };
        };
        harness.directory.enqueue(*service, harness.now + std::chrono::milliseconds(500), {}, start(1));
        const auto removed
            = harness.directory.enqueue(*service, harness.now + std::chrono::milliseconds(90), {}, start(2));
        harness.directory.enqueue(*service, harness.now + std::chrono::milliseconds(100), {}, start(3));
        Directory::removeWaiting(*service, removed);
        harness.directory.apply({ harness.upstream("a", "s") });
        cr_assert_eq(started, (std::vector<int> { 3, 1 }));
        cr_assert_eq(service->queue.size(), 0);
    });
}

// After a power failure of all VMs, the upstreams still count the old connections, which were never closed. The limit
// must fit both these and the new ones.
Test(Directory, warmConnectionsFitTwiceIntoLimit)
{
    withHarness([](Harness& harness) {
        constexpr std::size_t Limit = 68;
        harness.configure(Limit);
        harness.directory.apply({ harness.upstream("u", "s") });
        const UpstreamId id = harness.directory.service("s")->upstreams.at(0);
        std::vector<fleet::NodeInfo> vms;
        for (int vm = 0; vm < 72; ++vm) {
            const std::string name = "vm-" + std::to_string(vm);
            vms.push_back({ { name, 1 }, vm % 3 ? "b" : "a", "r", name, 1 });
        }
        std::size_t totalWarm = 0;
        std::size_t totalMax = 0;
        for (const fleet::NodeInfo& vm : vms) {
            harness.directory.setFleet(vms, vm);
            totalWarm += harness.directory.connectionLimits(id).warm;
            totalMax += harness.directory.connectionLimits(id).max;
        }
        cr_assert_geq(totalWarm, 24, "every VM of the zone keeps one connection open");
        cr_assert_leq(2 * totalWarm, Limit);
        cr_assert_eq(totalMax, Limit - 2, "all are allocated except two for VMs that join");
    });
}
