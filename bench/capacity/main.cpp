#include "admission/gate.h"
#include "fleet/fleetcore.h"
#include "query/query.h"
#include "query/replicachooser.h"
#include "query/snapshotcatalog.h"
#include "upstreams/upstreamqueue.h"
#include "wire/codec.h"
#include "wire/mac.h"

#include <gflags/gflags.h>
#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

DEFINE_string(part, "", "Run only this part: members, configuration, homes or decisions.");
DEFINE_uint32(fleet_seconds, 20, "Virtual seconds of each run of a fleet.");

namespace {

using namespace flamingousher;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t DatagramHeaderBytes = 28;
const base::TimePoint Start { std::chrono::hours(1) };

// Returns the CPU time of this thread in seconds.
double cpuNow()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + 1e-9 * static_cast<double>(time.tv_nsec);
}

std::size_t heapBytes()
{
    return mallinfo2().uordblks;
}

// Returns the mean CPU time per call in nanoseconds.
double nanosecondsPerCall(std::size_t calls, const std::function<void(std::size_t)>& function)
{
    const double before = cpuNow();
    for (std::size_t call = 0; call < calls; ++call)
        function(call);
    return 1e9 * (cpuNow() - before) / static_cast<double>(calls);
}

fleet::NodeInfo nodeInfo(std::size_t index)
{
    const std::string address = "10." + std::to_string(index / 250) + ".0." + std::to_string(index % 250) + ":8081";
    return { { address, 1000 + index }, "zone-" + std::to_string(index % 10), "region-" + std::to_string(index % 5),
        "10.0.0.1:8090", 1 };
}

// Simulates memberships that exchange messages without loss in virtual time.
class FleetOfMembers {
public:
    explicit FleetOfMembers(std::size_t count)
    {
        std::vector<std::string> endpoints;
        for (std::size_t index = 0; index < count; ++index) {
            const fleet::NodeInfo info = nodeInfo(index);
            endpoints.push_back(info.id.endpoint);
            byEndpoint_[info.id.endpoint] = index;
            members_.push_back(std::make_unique<fleet::Membership>(info, fleet::MembershipSettings {},
                fleet::Membership::Hooks { [this] { return random_(); }, [] {},
                    [](const fleet::NodeInfo&, const fleet::ConfigurationId&) {},
                    [](const quarantine::CrashRecord&, base::TimePoint) {} }));
        }
        for (const auto& member : members_)
            member->setSeeds(endpoints);
        // Excludes the join phase: every node has heard from every other, and all pending updates have been sent.
        for (std::size_t to = 0; to < count; ++to) {
            for (std::size_t from = 0; from < count; ++from) {
                if (from != to)
                    members_[to]->receive(fleet::Ack { 0, nodeInfo(from), {} }, Start);
            }
            for (std::size_t message = 0; message < 3 * count; ++message)
                members_[to]->receive(fleet::Ping { 0, nodeInfo((to + 1) % count), {}, {} }, Start);
        }
    }

    void run(seconds duration, bool isMeasured)
    {
        for (base::Duration elapsed {}; elapsed < duration; elapsed += milliseconds(50)) {
            now_ += milliseconds(50);
            for (std::size_t index = 0; index < members_.size(); ++index)
                deliver(members_[index]->tick(now_), isMeasured);
        }
    }

    std::size_t messages { 0 };
    std::size_t bytes { 0 };

private:
    void deliver(std::vector<fleet::Outgoing>&& outgoing, bool isMeasured)
    {
        std::queue<fleet::Outgoing> queue;
        const auto push = [&](std::vector<fleet::Outgoing>&& more) {
            for (fleet::Outgoing& message : more)
                queue.push(std::move(message));
        };
        push(std::move(outgoing));
        while (!queue.empty()) {
            const fleet::Outgoing next = std::move(queue.front());
            queue.pop();
            if (isMeasured) {
                // Encoding and authentication are part of the cost of a node.
                const std::string encoded = wire::encode(
                    std::visit([](const auto& message) { return fleet::FleetMessage(message); }, next.message));
                static_cast<void>(wire::computeMac("key", "datagram:", encoded));
                static_cast<void>(wire::decode("p", encoded));
                ++messages;
                bytes += encoded.size() + wire::MacBytes + DatagramHeaderBytes;
            }
            const auto to = byEndpoint_.find(next.endpoint);
            if (to != byEndpoint_.end())
                push(members_[to->second]->receive(next.message, now_));
        }
    }

    std::mt19937_64 random_ { 1 };
    base::TimePoint now_ { Start };
    std::vector<std::unique_ptr<fleet::Membership>> members_;
    std::map<std::string, std::size_t> byEndpoint_;
};

void measureMembership()
{
    std::puts("\n### Membership, for each node, quiet fleet\n");
    std::puts("| nodes | messages/s | bytes/s | CPU us/s | heap bytes |\n| --- | --- | --- | --- | --- |");
    for (std::size_t nodes : { 50, 100, 200, 400 }) {
        const std::size_t before = heapBytes();
        FleetOfMembers fleet(nodes);
        const std::size_t heap = (heapBytes() - before) / nodes;
        fleet.run(seconds(5), false);
        const double cpu = cpuNow();
        fleet.run(seconds(FLAGS_fleet_seconds), true);
        const double nodeSeconds = static_cast<double>(nodes) * FLAGS_fleet_seconds;
        std::printf("| %zu | %.1f | %.0f | %.0f | %zu |\n", nodes, static_cast<double>(fleet.messages) / nodeSeconds,
            static_cast<double>(fleet.bytes) / nodeSeconds, 1e6 * (cpuNow() - cpu) / nodeSeconds, heap);
        std::fflush(stdout);
    }
}

std::string poolsText(std::size_t upstreams, std::size_t changed)
{
    std::string text = "[pool p]\nkind = search\nshards = 1\n";
    for (std::size_t index = 0; index < upstreams; ++index) {
        text += "[upstream u" + std::to_string(index) + "]\npool = p\naddress = 10.1." + std::to_string(index / 250)
            + "." + std::to_string(index % 250) + "\nport = 9000\nzone = zone-" + std::to_string(index % 10)
            + "\nslots = " + (index == changed ? "4" : "3") + "\nconnections = 30\n";
    }
    return text;
}

void measureConfiguration()
{
    std::puts("\n### Configuration: one upstream changed\n");
    std::puts(
        "| upstreams | whole bytes | difference bytes | apply ms | heap bytes |\n| --- | --- | --- | --- | --- |");
    const std::string routes = "[route r]\nmethod = GET\npath = /\npool = p\nrank = urgent\ntarget_ms = 86\n";
    for (std::size_t upstreams : { 1000, 2500, 5000, 9900 }) {
        fleet::ConfigurationStore source;
        const std::size_t before = heapBytes();
        fleet::ConfigurationStore follower;
        source.applyPublished(1, routes, poolsText(upstreams, upstreams));
        const fleet::TablesDelta whole = *source.deltaFrom({});
        const std::size_t beforeFollower = heapBytes();
        follower.applyDelta(whole);
        const std::size_t heap = heapBytes() - beforeFollower;
        source.applyPublished(2, routes, poolsText(upstreams, 5));
        const fleet::TablesDelta delta = *source.deltaFrom(follower.id());
        const double cpu = cpuNow();
        follower.applyDelta(delta);
        const double applyMs = 1e3 * (cpuNow() - cpu);
        const auto size = [](const fleet::TablesDelta& each) {
            return wire::encode(fleet::FleetMessage(fleet::TablesReply { nodeInfo(1), each })).size();
        };
        std::printf("| %zu | %zu | %zu | %.1f | %zu |\n", upstreams, size(whole), size(delta), applyMs, heap);
        static_cast<void>(before);
        std::fflush(stdout);
    }
}

void measureOwnership()
{
    std::puts("\n### Homes: one change of the view\n");
    std::puts("| nodes | upstreams | CPU ms | heap bytes |\n| --- | --- | --- | --- |");
    for (const auto& [nodes, upstreams] : std::vector<std::pair<std::size_t, std::size_t>> {
             { 9, 85 }, { 200, 1000 }, { 500, 2500 }, { 1000, 5000 }, { 2000, 9900 } }) {
        std::vector<fleet::NodeInfo> view;
        for (std::size_t index = 0; index < nodes; ++index)
            view.push_back(nodeInfo(index));
        std::vector<fleet::UpstreamKey> keys;
        for (std::size_t index = 0; index < upstreams; ++index)
            keys.push_back({ "u" + std::to_string(index), "zone-" + std::to_string(index % 10) });
        const std::size_t before = heapBytes();
        fleet::UpstreamOwnership ownership(view[0].id, {});
        ownership.setUpstreams(keys, Start);
        ownership.setView(view, nodes, Start);
        const std::size_t heap = heapBytes() - before;
        view.pop_back();
        const double cpu = cpuNow();
        ownership.setView(view, nodes, Start);
        std::printf("| %zu | %zu | %.2f | %zu |\n", nodes, upstreams, 1e3 * (cpuNow() - cpu), heap);
        std::fflush(stdout);
    }
}

double measureQueue(std::size_t depth)
{
    upstreams::UpstreamQueue queue({ 3, { 0.5, 0.2, 0.1 }, 1'000'000 });
    base::TimePoint now = Start;
    std::uint64_t id = 0;
    const auto offer = [&] {
        ++id;
        queue.offer(
            { id, base::AllRanks[id % 3], "caller-" + std::to_string(id % 20), Start + std::chrono::hours(1) }, now);
    };
    while (queue.waitingCount() < depth)
        offer();
    std::vector<upstreams::QueuedWork> running = queue.startReady(now);
    return nanosecondsPerCall(200'000, [&](std::size_t call) {
        now += std::chrono::microseconds(100);
        offer();
        queue.finish(running[call % running.size()].id, now);
        for (upstreams::QueuedWork& work : queue.startReady(now))
            running[call % running.size()] = std::move(work);
    });
}

double measureChooser(std::size_t upstreams)
{
    std::mt19937_64 random(1);
    query::ReplicaChooser chooser(
        { [&](std::size_t bound) { return random() % bound; }, [](query::UpstreamId) { return 1.0; } });
    base::TimePoint now = Start;
    return nanosecondsPerCall(500'000, [&](std::size_t) {
        const auto first = static_cast<query::UpstreamId>(random() % (upstreams - 2));
        const query::UpstreamId chosen = *chooser.choose({ first, first + 1, first + 2 }, base::Rank::Urgent, now);
        chooser.onSent(chosen, base::Rank::Urgent);
        chooser.onAnswered(chosen, base::Rank::Urgent, milliseconds(0), milliseconds(4));
    });
}

query::SnapshotCatalog makeCatalog(std::size_t upstreams, std::uint32_t shards)
{
    query::SnapshotCatalog catalog;
    for (std::uint32_t upstream = 0; upstream < upstreams; ++upstream)
        catalog.setServed(upstream, { { 41, upstream % shards, shards }, { 42, upstream % shards, shards } });
    return catalog;
}

double measureCatalog(std::size_t upstreams, std::uint32_t shards)
{
    query::SnapshotCatalog catalog = makeCatalog(upstreams, shards);
    return nanosecondsPerCall(500, [&](std::size_t call) {
        catalog.setUsable(0, call % 2 == 0);
        static_cast<void>(catalog.bestPlan());
    });
}

// Returns the time per sub-request of a complete query over all shards.
double measureQuery(std::uint32_t shards)
{
    query::SnapshotCatalog catalog = makeCatalog(3 * shards, shards);
    std::uint64_t id = 0;
    const query::QueryHooks hooks { [&] { return catalog.bestPlan(); },
        [](const std::vector<query::UpstreamId>& candidates) { return std::optional(candidates.front()); },
        [] { return milliseconds(20); }, [] { return false; }, [] { return false; }, [] { return false; },
        [&] { return ++id; } };
    const std::vector<query::Hit> hits(10, { "sling-0001", "linen ring sling", 3 });
    const double perQuery = nanosecondsPerCall(200'000 / shards, [&](std::size_t) {
        query::Query query({ .deadline = Start + milliseconds(86), .minCoverage = 0.5 }, hooks);
        for (const query::Action& action : query.start(Start)) {
            const auto& sent = std::get<query::SendSubRequest>(action);
            query.onAnswer(sent.id, { sent.target, hits }, Start);
        }
    });
    return perQuery / shards;
}

double measureGate(std::size_t callers)
{
    admission::Gate gate;
    base::TimePoint now = Start;
    return nanosecondsPerCall(200'000, [&](std::size_t call) {
        now += std::chrono::microseconds(10);
        gate.request(call, "caller-" + std::to_string(call % callers), now + milliseconds(86), now);
        if (call >= 20)
            gate.release(call - 20, {}, milliseconds(5), now);
        gate.dequeue(now);
    });
}

// Returns the CPU time and bytes of one sub-request and its result, sent in batches of the given size.
std::pair<double, double> measureWire(std::size_t batchSize)
{
    wire::Batch requests;
    wire::Batch results;
    for (std::size_t index = 0; index < batchSize; ++index) {
        requests.requests.push_back({ { index, 0, base::Rank::Urgent, "counter", {}, 1,
                                          transport::SearchCall { { 42, 7, 90 }, "linen ring sling", 10 } },
            "catalogue-7-1", milliseconds(80) });
        results.results.push_back({ index,
            { query::SubAnswer {
                { 42, 7, 90 }, std::vector<query::Hit>(10, { "sling-0001", "linen ring sling", 3 }) } } });
    }
    std::size_t bytes = 0;
    const double perBatch = nanosecondsPerCall(20'000 / batchSize, [&](std::size_t) {
        for (const wire::Batch* batch : { &requests, &results }) {
            const std::string encoded = wire::encode(*batch);
            static_cast<void>(wire::computeMac("key", "i1:", encoded));
            static_cast<void>(wire::computeMac("key", "i1:", encoded));
            static_cast<void>(wire::decode("p", encoded));
            bytes += encoded.size();
        }
    });
    const std::size_t batches = 20'000 / batchSize;
    const double calls = static_cast<double>(batches * batchSize);
    return { perBatch / static_cast<double>(batchSize), static_cast<double>(bytes) / calls };
}

void measureDecisions()
{
    std::puts("\n### Decisions, nanoseconds of CPU each\n");
    std::puts("| decision | size | ns |\n| --- | --- | --- |");
    for (std::size_t depth : { 10, 100, 1000, 10'000 })
        std::printf("| slot queue: offer, start, finish | %zu waiting | %.0f |\n", depth, measureQueue(depth));
    for (std::size_t upstreams : { 75, 1000, 10'000 })
        std::printf(
            "| replica: choose, sent, answered | %zu upstreams | %.0f |\n", upstreams, measureChooser(upstreams));
    for (std::size_t callers : { 1, 20, 200 })
        std::printf("| admission: request, release | %zu callers | %.0f |\n", callers, measureGate(callers));
    for (std::uint32_t shards : { 25, 90, 1000 })
        std::printf("| query, for each sub-request with 10 hits | %u shards | %.0f |\n", shards, measureQuery(shards));
    for (const auto& [upstreams, shards] :
        { std::pair { 75U, 25U }, { 1000U, 90U }, { 9900U, 90U }, { 9900U, 3300U } }) {
        std::printf("| snapshot plan after a change | %u upstreams, %u shards | %.0f |\n", upstreams, shards,
            measureCatalog(upstreams, shards));
    }
    for (std::size_t batch : { 1, 5, 20 }) {
        const auto [ns, bytes] = measureWire(batch);
        std::printf(
            "| wire: request and result, both ways | batches of %zu, %.0f bytes each | %.0f |\n", batch, bytes, ns);
    }
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("Measures how the cost of each role grows with its size.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::map<std::string, std::function<void()>> parts {
        { "members", measureMembership },
        { "configuration", measureConfiguration },
        { "homes", measureOwnership },
        { "decisions", measureDecisions },
    };
    for (const char* name : { "members", "configuration", "homes", "decisions" }) {
        if (FLAGS_part.empty() || FLAGS_part == name)
            parts.at(name)();
    }
    return 0;
}
