// A searcher spoils one in 50 of its answers: a body in chunks is followed by 70,000 bytes in one line. Counts the
// requests on kept connections to sound searchers that lose their connection.

#include "runtime/fiberthread.h"
#include "runtime/sleep.h"
#include "second/caller.h"
#include "second/cases.h"
#include "second/world.h"

#include <memory>

namespace flamingousher::review {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

    constexpr std::size_t LineBytes = 70'000;
    constexpr std::size_t SpoiledInterval = 50; // one of this many answers: 0.02
    constexpr seconds CalmTime { 8 }; // more than stable-window-ms
    constexpr seconds TroubleTime { 5 };
    constexpr seconds RestTime { 5 };
    constexpr std::size_t CallersPerVm = 12; // of each service
    constexpr std::size_t AllowedLosses = 3;
    constexpr const char* Host = "hufi27.example";

    std::string makeSpoiledAnswer(const http::Request& request)
    {
        return "HTTP/1.1 200 OK\r\nFlamingousher-Request-Id: " + http::readField(request, "Flamingousher-Request-Id")
            + "\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n0123456789abcdef\r\n0\r\nx:" + std::string(LineBytes, 'x')
            + "\r\n\r\n";
    }

    // Callers' names hold the number of their VM.
    std::size_t vmOf(const std::string& requestId)
    {
        return static_cast<std::size_t>(requestId.at(1) - '0');
    }

    routing::Route makeRoute(const std::string& service, const std::string& prefix)
    {
        return { .name = "r-" + service,
            .host = Host,
            .pathPrefix = prefix,
            .isIdempotent = true,
            .timeout = milliseconds(5'000),
            .goal = milliseconds(1'000),
            .maxAttempts = 2,
            .services = { { service, 1 } } };
    }

} // namespace

bool playLongTrailer(const CaseInput& input)
{
    auto& world = *new World(input.io,
        { .daemon = input.daemon, .folder = input.folder, .vmZones = { "ahmedabad-a", "vadodara-b", "surat-c" } },
        input.record);
    const std::vector<std::string> zones { "ahmedabad-a", "vadodara-b", "surat-c" };
    for (const std::string& zone : zones)
        world.addSearcher("billing", zone, { .slots = 20, .queue = 20, .work = milliseconds(150) });
    Searcher* faulty = nullptr;
    for (const std::string& zone : zones)
        faulty = &world.addSearcher("roster", zone, { .slots = 6, .work = milliseconds(20) });
    world.publish({ .version = 3,
        .routes = { makeRoute("billing", "/goka902/"), makeRoute("roster", "/rany330/") },
        .services = { { "billing", 100 }, { "roster", 100 } } });
    world.start();
    world.superviseProcesses();

    std::map<std::string, Outcome> outcomes;
    const TimePoint begin = std::chrono::steady_clock::now();
    const TimePoint end = begin + CalmTime + TroubleTime + RestTime;
    for (std::size_t vm = 0; vm < world.vmCount(); ++vm) {
        for (std::size_t index = 0; index < CallersPerVm; ++index) {
            for (const bool isBilling : { true, false }) {
                const CallerSpec spec { .name
                    = (isBilling ? "b" : "r") + std::to_string(vm) + "-" + std::to_string(index),
                    .vm = world.vm(vm).callers(),
                    .host = Host,
                    .path = isBilling ? "/goka902/" : "/rany330/",
                    .timeLimit = milliseconds(5'000),
                    .pause = milliseconds(isBilling ? 20 : 150) };
                runtime::spawnFiber(
                    [&input, &outcomes, spec, end] { Caller(input.io, spec, input.record, outcomes).run(end); });
            }
        }
    }
    runtime::sleepFor(input.io, CalmTime);
    std::size_t answers = 0;
    if (input.hasTrouble) {
        input.record.write("from here on " + faulty->spec().id + " spoils one in 50 answers");
        faulty->spoil = [&](const http::Request& request) -> std::optional<std::string> {
            if (++answers % SpoiledInterval != 0)
                return std::nullopt;
            input.record.write(
                faulty->spec().id + " spoils its answer to " + http::readField(request, "Flamingousher-Request-Id"));
            return makeSpoiledAnswer(request);
        };
    }
    runtime::sleepFor(input.io, TroubleTime);
    faulty->spoil = nullptr;
    input.record.write("from here on all answers are sound");
    runtime::sleepFor(input.io, RestTime + seconds(6));
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
    input.record.write("requests on kept connections that were passed on to the sound searchers of 'billing' and "
                       "ended, until the first end of their VM, "
                       "with a closed connection: "
        + std::to_string(lost) + "; served: " + std::to_string(served));
    return lost > AllowedLosses;
}

} // namespace flamingousher::review
