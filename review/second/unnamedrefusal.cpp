// A searcher sends additional bytes after a complete answer, at the point where the next answer is expected: a refusal
// that names no request. Counts the requests that may run once and have run more than once.

#include "runtime/fiberthread.h"
#include "runtime/sleep.h"
#include "second/caller.h"
#include "second/cases.h"
#include "second/world.h"

namespace flamingousher::review {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

    constexpr std::size_t ExtraInterval = 33; // after one of this many answers: 0.03
    constexpr seconds CalmTime { 6 };
    constexpr seconds TroubleTime { 5 };
    constexpr seconds RestTime { 3 };
    constexpr std::size_t CallersPerVm = 6;
    constexpr const char* Host = "hufi27.example";

    // As the wire examples of the bench print what a searcher sends that has no room.
    constexpr const char* Extra
        = "HTTP/1.1 503 Service Unavailable\r\nFlamingousher-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

} // namespace

bool playUnnamedRefusal(const CaseInput& input)
{
    const std::vector<std::string> zones { "ahmedabad-a", "vadodara-b", "surat-c" };
    auto& world
        = *new World(input.io, { .daemon = input.daemon, .folder = input.folder, .vmZones = zones }, input.record);
    Searcher* faulty = nullptr;
    for (const std::string& zone : zones)
        faulty = &world.addSearcher("ledger", zone, { .slots = 6, .work = milliseconds(30) });
    world.publish({ .version = 3,
        .routes = { { .name = "r-ledger",
            .host = Host,
            .pathPrefix = "/goka902/",
            .isIdempotent = false,
            .timeout = milliseconds(5'000),
            .goal = milliseconds(1'000),
            .maxAttempts = 3,
            .services = { { "ledger", 1 } } } },
        .services = { { "ledger", 100 } } });
    world.start();
    world.superviseProcesses();

    std::map<std::string, Outcome> outcomes;
    const TimePoint end = std::chrono::steady_clock::now() + CalmTime + TroubleTime + RestTime;
    for (std::size_t vm = 0; vm < world.vmCount(); ++vm) {
        for (std::size_t index = 0; index < CallersPerVm; ++index) {
            const CallerSpec spec { .name = "w" + std::to_string(vm) + "-" + std::to_string(index),
                .vm = world.vm(vm).callers(),
                .method = "POST",
                .host = Host,
                .path = "/goka902/",
                .timeLimit = milliseconds(5'000),
                .pause = milliseconds(40),
                .bodyBytes = 300 };
            runtime::spawnFiber(
                [&input, &outcomes, spec, end] { Caller(input.io, spec, input.record, outcomes).run(end); });
        }
    }
    runtime::sleepFor(input.io, CalmTime);
    std::size_t answers = 0;
    if (input.hasTrouble) {
        input.record.write("from here on " + faulty->spec().id + " sends an extra answer after one in 33");
        faulty->sendBefore = [&](const http::Request&, const Searcher::ConnectionState& state) -> std::string {
            if (state.answered == 0 || ++answers % ExtraInterval != 0)
                return {};
            input.record.write(faulty->spec().id + " sends additional bytes after its answer to " + state.lastId);
            return Extra;
        };
    }
    runtime::sleepFor(input.io, TroubleTime);
    faulty->sendBefore = nullptr;
    runtime::sleepFor(input.io, RestTime + seconds(6));
    world.stop();

    std::map<std::string, std::uint32_t> runs;
    for (const auto& searcher : world.searchers()) {
        for (const auto& [id, count] : searcher->runs())
            runs[id] += count;
    }
    std::size_t twice = 0;
    std::size_t refused = 0;
    for (const auto& [id, count] : runs) {
        const unsigned status = outcomes[id].status;
        if (count > 1) {
            ++twice;
            input.record.write(id + " ran " + std::to_string(count) + " times");
        }
        if (status == 503 || status == 429 || status == 408 || status == 421) {
            ++refused;
            input.record.write(id + " was answered " + std::to_string(status) + " and has run");
        }
    }
    input.record.write("requests that ran: " + std::to_string(runs.size())
        + ", more than once: " + std::to_string(twice) + ", answered as not run: " + std::to_string(refused));
    return twice > 0;
}

} // namespace flamingousher::review
