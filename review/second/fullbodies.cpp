// A crowd of clients sends requests with bodies of the largest size to a service that is slow. Counts how many requests
// of ordinary callers to another service get an answer.

#include "runtime/fiberthread.h"
#include "runtime/sleep.h"
#include "second/caller.h"
#include "second/cases.h"
#include "second/world.h"

namespace flamingousher::review {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

    constexpr seconds CalmTime { 5 };
    constexpr seconds TroubleTime { 20 };
    constexpr std::size_t CallersPerVm = 6;
    constexpr std::size_t CrowdPerVm = 200;
    constexpr std::size_t BodyLimit = 262'144;
    constexpr const char* Host = "hufi27.example";

} // namespace

bool playFullBodies(const CaseInput& input)
{
    const std::vector<std::string> zones { "nadi-a", "lautoka-b", "sigatoka-c" };
    auto& world = *new World(
        input.io, { .daemon = input.daemon, .folder = input.folder, .vmZones = zones, .vmSize = { .memoryMb = 160 } }, input.record);
    for (const std::string& zone : zones) {
        world.addSearcher("billing", zone, { .slots = 6, .queue = 12, .work = milliseconds(20) });
        for (int n = 0; n < 4; ++n)
            world.addSearcher("orders", zone, { .slots = 4, .queue = 12, .work = milliseconds(120) });
    }
    routing::Configuration configuration { .version = 3,
        .services = { { "billing", 100 }, { "orders", 300 } } };
    for (const char* service : { "billing", "orders" })
        configuration.routes.push_back({ .name = "r-" + std::string(service),
            .host = Host,
            .pathPrefix = "/" + std::string(service) + "/",
            .isIdempotent = true,
            .timeout = milliseconds(5000),
            .goal = milliseconds(1000),
            .maxAttempts = 2,
            .services = { { service, 1 } } });
    configuration.limits.bodyBytes = BodyLimit;
    world.publish(configuration);
    world.start();
    world.superviseProcesses();

    std::map<std::string, Outcome> ordinary;
    std::map<std::string, Outcome> crowd;
    const TimePoint end = std::chrono::steady_clock::now() + CalmTime + TroubleTime;
    for (std::size_t vm = 0; vm < world.vmCount(); ++vm) {
        for (std::size_t index = 0; index < CallersPerVm; ++index) {
            const CallerSpec spec { .name = "o" + std::to_string(vm) + "-" + std::to_string(index),
                .vm = world.vm(vm).callers(),
                .host = Host,
                .path = "/billing/",
                .timeLimit = milliseconds(2'500),
                .pause = milliseconds(100) };
            runtime::spawnFiber(
                [&input, &ordinary, spec, end] { Caller(input.io, spec, input.record, ordinary).run(end); });
        }
    }
    runtime::sleepFor(input.io, CalmTime);
    const double troubleMs = input.record.elapsedMs();
    input.record.write("the crowd comes");
    for (std::size_t vm = 0; input.hasTrouble && vm < world.vmCount(); ++vm) {
        for (std::size_t index = 0; index < CrowdPerVm; ++index) {
            const CallerSpec spec { .name = "c" + std::to_string(vm) + "-" + std::to_string(index),
                .vm = world.vm(vm).callers(),
                .method = "POST",
                .host = Host,
                .path = "/orders/",
                .timeLimit = milliseconds(2'500),
                .pause = milliseconds(20),
                .bodyBytes = BodyLimit,
                .isRecorded = false };
            runtime::spawnFiber(
                [&input, &crowd, spec, end] { Caller(input.io, spec, input.record, crowd).run(end); });
        }
    }
    runtime::sleepFor(input.io, TroubleTime + seconds(4));
    for (std::size_t vm = 0; vm < world.vmCount(); ++vm)
        input.record.write(world.vm(vm).name() + " ended " + std::to_string(world.vm(vm).endCount()) + " peak "
            + std::to_string(world.vm(vm).peakMemoryMb()));
    world.stop();
    std::map<std::string, std::size_t> counts;
    for (const auto& [id, outcome] : ordinary) {
        if (outcome.sentMs > troubleMs)
            ++counts[outcome.status ? std::to_string(outcome.status) : outcome.isClosed ? "closed" : "none"];
    }
    std::string text = "ordinary:";
    for (const auto& [what, count] : counts)
        text += " " + what + "=" + std::to_string(count);
    input.record.write(text);
    std::map<std::string, std::size_t> crowdCounts;
    for (const auto& [id, outcome] : crowd)
        ++crowdCounts[outcome.status ? std::to_string(outcome.status) : outcome.isClosed ? "closed" : "none"];
    text = "crowd:";
    for (const auto& [what, count] : crowdCounts)
        text += " " + what + "=" + std::to_string(count);
    input.record.write(text);
    return false;
}

} // namespace flamingousher::review
