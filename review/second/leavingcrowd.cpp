// A crowd of clients fills the memory that a VM has for requests, others leave while their request is sent once more
// after a failure. Counts the requests of ordinary callers on kept connections to sound searchers that lose their
// connection.

#include "runtime/fiberthread.h"
#include "runtime/sleep.h"
#include "second/caller.h"
#include "second/cases.h"
#include "second/world.h"

#include <random>

namespace flamingousher::review {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

    constexpr seconds CalmTime { 8 }; // more than stable-window-ms
    constexpr seconds TroubleTime { 9 };
    constexpr std::size_t Troubles = 4;
    constexpr seconds RestTime { 6 }; // after each
    constexpr std::size_t FailingSearchers = 12; // of 15: a share of 0.8
    constexpr double FailingFraction = 0.6; // of their requests
    constexpr std::size_t OrdinaryCallersPerVm = 30;
    constexpr std::size_t SendersPerVm = 200; // of the largest body inside the limits
    constexpr std::size_t LeaversPerVm = 80;
    constexpr milliseconds LeavesWithin { 400 };
    constexpr std::size_t BodyLimit = 262'144;
    constexpr const char* Host = "hufi27.example";

    routing::Route makeRoute(const std::string& service)
    {
        return { .name = "r-" + service,
            .host = Host,
            .pathPrefix = "/" + service + "/",
            .isIdempotent = true,
            .timeout = milliseconds(5'000),
            .goal = milliseconds(1'000),
            .maxAttempts = 2,
            .services = { { service, 1 } } };
    }

    // Callers' names hold the number of their VM.
    std::size_t vmOf(const std::string& requestId)
    {
        return static_cast<std::size_t>(requestId.at(1) - '0');
    }

} // namespace

bool playLeavingCrowd(const CaseInput& input)
{
    const std::vector<std::string> zones { "ahmedabad-a", "vadodara-b", "surat-c" };
    auto& world = *new World(input.io,
        { .daemon = input.daemon,
            .folder = input.folder,
            .vmZones = zones,
            .vmSize = { .processor = 0.12, .memoryMb = 160, .descriptors = 4'100 } },
        input.record);
    std::vector<Searcher*> counter;
    for (const std::string& zone : zones) {
        for (int index = 0; index < 5; ++index)
            counter.push_back(&world.addSearcher(
                "counter", zone, { .slots = 12, .queue = 16, .work = milliseconds(120), .bodyBytes = 6'000 }));
        for (int index = 0; index < 4; ++index)
            world.addSearcher("ledger", zone, { .slots = 4, .queue = 16, .work = milliseconds(120) });
        for (int index = 0; index < 2; ++index)
            world.addSearcher("billing", zone, { .slots = 20, .queue = 20, .work = milliseconds(100) });
    }
    routing::Configuration configuration { .version = 3 };
    for (const char* service : { "counter", "ledger", "billing" }) {
        configuration.services.push_back({ service, 520 });
        configuration.routes.push_back(makeRoute(service));
    }
    configuration.limits.bodyBytes = BodyLimit;
    world.publish(configuration);
    world.start();
    world.superviseProcesses();

    std::map<std::string, Outcome> outcomes;
    std::map<std::string, Outcome> crowd;
    const auto startCallers = [&](const CallerSpec& spec, const std::string& kind, std::size_t count, TimePoint end,
                                  std::map<std::string, Outcome>& results) {
        for (std::size_t vm = 0; vm < world.vmCount(); ++vm) {
            for (std::size_t index = 0; index < count; ++index) {
                CallerSpec own = spec;
                own.name = kind + std::to_string(vm) + "-" + std::to_string(index);
                own.vm = world.vm(vm).callers();
                runtime::spawnFiber(
                    [&input, &results, own, end] { Caller(input.io, own, input.record, results).run(end); });
            }
        }
    };
    const TimePoint end = std::chrono::steady_clock::now() + CalmTime + Troubles * (TroubleTime + RestTime);
    startCallers({ .host = Host, .path = "/billing/", .timeLimit = milliseconds(5'000), .pause = milliseconds(20) },
        "b", OrdinaryCallersPerVm, end, outcomes);
    runtime::sleepFor(input.io, CalmTime);
    std::mt19937 random(1);
    for (std::size_t trouble = 1; trouble <= Troubles; ++trouble) {
        const TimePoint troubleEnd = std::chrono::steady_clock::now() + TroubleTime;
        const std::string suffix = "." + std::to_string(trouble) + ".";
        if (input.hasTrouble) {
            input.record.write("12 of 15 searchers of counter fail 0.6 of their requests, and the crowd comes");
            for (std::size_t index = 0; index < FailingSearchers; ++index) {
                counter[index]->fails = [&random](const http::Request&) {
                    return std::uniform_real_distribution<double>(0, 1)(random) < FailingFraction;
                };
            }
            startCallers({ .method = "POST",
                             .host = Host,
                             .path = "/ledger/",
                             .timeLimit = milliseconds(5'000),
                             .pause = milliseconds(20),
                             .bodyBytes = BodyLimit,
                             .isRecorded = false },
                "c" + suffix, SendersPerVm, troubleEnd, crowd);
            startCallers({ .host = Host,
                             .path = "/counter/",
                             .timeLimit = milliseconds(5'000),
                             .pause = milliseconds(5),
                             .leavesWithin = LeavesWithin,
                             .isRecorded = false },
                "l" + suffix, LeaversPerVm, troubleEnd, crowd);
        }
        runtime::sleepFor(input.io, TroubleTime);
        for (Searcher* searcher : counter)
            searcher->fails = nullptr;
        input.record.write("the searchers are sound, and no crowd is there");
        runtime::sleepFor(input.io, RestTime);
    }
    runtime::sleepFor(input.io, seconds(6));
    std::size_t ends = 0;
    for (std::size_t vm = 0; vm < world.vmCount(); ++vm) {
        ends += world.vm(vm).endCount();
        input.record.write(
            world.vm(vm).name() + " ended by itself " + std::to_string(world.vm(vm).endCount()) + " times");
    }
    world.stop();

    std::size_t lost = 0;
    std::size_t served = 0;
    for (const auto& searcher : world.searchers()) {
        if (searcher->spec().service != "billing")
            continue;
        for (const std::string& id : searcher->arrived()) {
            const Outcome& outcome = outcomes[id];
            // After the first end its process has not run for the whole stable-window-ms.
            const bool isInTouch = outcome.sentMs < world.vm(vmOf(id)).firstEndMs();
            lost += outcome.isKept && outcome.isClosed && isInTouch ? 1 : 0;
            served += outcome.status == 200 ? 1 : 0;
        }
    }
    input.record.write(
        "requests on kept connections that were passed on to the sound searchers of 'billing' and ended, "
        "until the first end of their VM, with a closed connection: "
        + std::to_string(lost) + "; served: " + std::to_string(served));
    return ends > 0;
}

} // namespace flamingousher::review
