// The operator evacuates an availability zone and takes the order back; the store comes back from a copy made before
// the order; the operator evacuates the zone again. Counts the requests that still reach searchers of the zone.

#include "platform/standins/storeentries.h"
#include "runtime/fiberthread.h"
#include "runtime/sleep.h"
#include "second/caller.h"
#include "second/cases.h"
#include "second/world.h"

namespace flamingousher::review {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

    constexpr milliseconds EvacuateBound { 5'000 }; // evacuate-ms
    constexpr seconds CalmTime { 4 };
    constexpr seconds OrderTime { 4 }; // until the first order is taken back
    constexpr seconds AwayTime { 1 }; // of the store
    constexpr seconds StableTime { 20 }; // after its return: more than max-stretch-ms and stable-window-ms
    constexpr seconds WatchTime { 15 }; // from the second order on
    constexpr std::size_t CallersPerVm = 4;
    constexpr const char* Host = "hufi27.example";
    constexpr const char* EvacuatedZone = "vadodara-b";

} // namespace

bool playReissuedOrder(const CaseInput& input)
{
    const std::vector<std::string> zones { "ahmedabad-a", "vadodara-b", "surat-c" };
    auto& world
        = *new World(input.io, { .daemon = input.daemon, .folder = input.folder, .vmZones = zones }, input.record);
    std::vector<Searcher*> evacuated;
    for (const std::string& zone : zones) {
        Searcher& searcher = world.addSearcher("counter", zone, { .slots = 8, .work = milliseconds(10) });
        if (zone == EvacuatedZone)
            evacuated.push_back(&searcher);
    }
    world.publish({ .version = 3,
        .routes = { { .name = "r-counter",
            .host = Host,
            .pathPrefix = "/goka902/",
            .isIdempotent = true,
            .timeout = milliseconds(2'500),
            .goal = milliseconds(500),
            .maxAttempts = 2,
            .services = { { "counter", 1 } } } },
        .services = { { "counter", 100 } } });
    world.start();
    world.superviseProcesses();

    std::map<std::string, Outcome> outcomes;
    const TimePoint end
        = std::chrono::steady_clock::now() + CalmTime + OrderTime + OrderTime + AwayTime + StableTime + WatchTime;
    for (std::size_t vm = 0; vm < world.vmCount(); ++vm) {
        for (std::size_t index = 0; index < CallersPerVm; ++index) {
            const CallerSpec spec { .name = "q" + std::to_string(vm) + "-" + std::to_string(index),
                .vm = world.vm(vm).callers(),
                .host = Host,
                .path = "/goka902/",
                .timeLimit = milliseconds(2'500),
                .pause = milliseconds(100) };
            runtime::spawnFiber(
                [&input, &outcomes, spec, end] { Caller(input.io, spec, input.record, outcomes).run(end); });
        }
    }
    const std::string order = platform::evacuationKey(EvacuatedZone);
    const auto write = [&](const std::string& what) {
        input.record.write("the operator " + what + "; the store acknowledges it with revision "
            + std::to_string(world.store().revision()));
    };
    runtime::sleepFor(input.io, CalmTime);
    world.store().backUp();
    input.record.write("the store's copy is made at revision " + std::to_string(world.store().revision()));
    world.store().put(order, "{}");
    write("evacuates " + std::string(EvacuatedZone));
    runtime::sleepFor(input.io, OrderTime);
    world.store().erase(order);
    write("takes the order back");
    runtime::sleepFor(input.io, OrderTime);
    if (input.hasTrouble) {
        input.record.write("the store is away");
        world.store().setMode(platform::StoreMode::Busy);
        runtime::sleepFor(input.io, AwayTime);
        world.store().restore();
        world.store().setMode(platform::StoreMode::Serving);
        input.record.write("the store is back from the copy, at revision " + std::to_string(world.store().revision()));
    } else {
        runtime::sleepFor(input.io, AwayTime);
    }
    runtime::sleepFor(input.io, StableTime);
    world.store().put(order, "{}");
    write("evacuates " + std::string(EvacuatedZone) + " again");
    runtime::sleepFor(input.io, EvacuateBound);
    std::vector<std::set<std::string>> before;
    for (const Searcher* searcher : evacuated)
        before.push_back(searcher->arrived());
    input.record.write("evacuate-ms have passed");
    runtime::sleepFor(input.io, WatchTime - EvacuateBound);
    std::size_t late = 0;
    std::size_t served = 0;
    for (std::size_t index = 0; index < evacuated.size(); ++index)
        late += evacuated[index]->arrived().size() - before[index].size();
    for (const auto& [id, outcome] : outcomes)
        served += outcome.status == 200 ? 1 : 0;
    world.stop();
    input.record.write("requests that reached searchers of " + std::string(EvacuatedZone)
        + " later than evacuate-ms after the order: " + std::to_string(late)
        + "; served in all: " + std::to_string(served));
    return late > 0;
}

} // namespace flamingousher::review
