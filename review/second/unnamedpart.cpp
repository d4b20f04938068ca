// A searcher of each shard sends its last answer a second time, at the point where the next one is expected, without
// the request's name. Counts the successes that hold the stamp of another request.

#include "runtime/fiberthread.h"
#include "runtime/sleep.h"
#include "second/caller.h"
#include "second/cases.h"
#include "second/world.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>

namespace flamingousher::review {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

    constexpr std::size_t Shards = 5;
    constexpr std::size_t ExtraInterval = 33; // after one of this many answers: 0.03
    constexpr seconds CalmTime { 6 };
    constexpr seconds TroubleTime { 5 };
    constexpr seconds RestTime { 3 };
    constexpr std::size_t CallersPerVm = 6;
    constexpr const char* Host = "leno12.example";

    // The answer as the wire examples of the bench print a part's.
    std::string makeSecondAnswer(const SearcherSpec& spec, const std::string& requestId)
    {
        const std::string body(spec.bodyBytes, 'r');
        return "HTTP/1.1 200 OK\r\nFlamingousher-Response-Stamp: " + Searcher::makeStamp(spec, requestId)
            + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    bool isOfRequest(const std::string& stamp, const std::string& requestId)
    {
        return stamp.ends_with("." + requestId);
    }

} // namespace

bool playUnnamedPart(const CaseInput& input)
{
    const std::vector<std::string> zones { "ahmedabad-a", "vadodara-b", "surat-c" };
    auto& world
        = *new World(input.io, { .daemon = input.daemon, .folder = input.folder, .vmZones = zones }, input.record);
    std::vector<Searcher*> faulty;
    routing::Configuration configuration { .version = 3 };
    routing::Route route { .name = "r-history",
        .host = Host,
        .pathPrefix = "/rany330/",
        .isIdempotent = true,
        .timeout = milliseconds(1'200),
        .goal = milliseconds(150),
        .maxAttempts = 2,
        .recordLimit = 50,
        .minCoverage = 0.95 };
    for (std::size_t shard = 0; shard < Shards; ++shard) {
        const std::string service = "desk-" + std::to_string(shard);
        for (const std::string& zone : zones) {
            Searcher& searcher
                = world.addSearcher(service, zone, { .slots = 4, .work = milliseconds(15), .bodyBytes = 160 });
            if (zone == zones[shard % zones.size()])
                faulty.push_back(&searcher);
        }
        configuration.services.push_back({ service, 70 });
        route.shards.push_back(service);
    }
    configuration.routes = { route };
    world.publish(configuration);
    world.start();
    world.superviseProcesses();

    std::map<std::string, Outcome> outcomes;
    const TimePoint end = std::chrono::steady_clock::now() + CalmTime + TroubleTime + RestTime;
    for (std::size_t vm = 0; vm < world.vmCount(); ++vm) {
        for (std::size_t index = 0; index < CallersPerVm; ++index) {
            const CallerSpec spec { .name = "h" + std::to_string(vm) + "-" + std::to_string(index),
                .vm = world.vm(vm).callers(),
                .host = Host,
                .path = "/rany330/",
                .timeLimit = milliseconds(1'200),
                .pause = milliseconds(80) };
            runtime::spawnFiber(
                [&input, &outcomes, spec, end] { Caller(input.io, spec, input.record, outcomes).run(end); });
        }
    }
    runtime::sleepFor(input.io, CalmTime);
    std::size_t answers = 0;
    if (input.hasTrouble) {
        for (Searcher* searcher : faulty) {
            input.record.write("from here on " + searcher->spec().id + " sends a second answer after one in 33");
            searcher->sendBefore = [&input, &answers, searcher](
                                       const http::Request&, const Searcher::ConnectionState& state) -> std::string {
                if (state.answered == 0 || ++answers % ExtraInterval != 0)
                    return {};
                input.record.write(searcher->spec().id + " sends its answer to " + state.lastId + " again");
                return makeSecondAnswer(searcher->spec(), state.lastId);
            };
        }
    }
    runtime::sleepFor(input.io, TroubleTime);
    for (Searcher* searcher : faulty)
        searcher->sendBefore = nullptr;
    runtime::sleepFor(input.io, RestTime + seconds(2));
    world.stop();

    std::size_t served = 0;
    std::size_t mixed = 0;
    for (const auto& [id, outcome] : outcomes) {
        if (outcome.status != 200)
            continue;
        ++served;
        std::vector<std::string> stamps;
        boost::algorithm::split(stamps, outcome.partStamps, boost::algorithm::is_any_of(","));
        for (std::string& stamp : stamps) {
            boost::algorithm::trim(stamp);
            if (isOfRequest(stamp, id))
                continue;
            ++mixed;
            input.record.write("the success to " + id + " holds the stamp " + stamp);
        }
    }
    input.record.write(
        "successes: " + std::to_string(served) + ", stamps of other requests in them: " + std::to_string(mixed));
    return mixed > 0;
}

} // namespace flamingousher::review
