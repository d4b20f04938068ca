#include "review/answerchecks.h"
#include "review/caller.h"
#include "review/cases.h"
#include "review/singleservice.h"

#include "platform/names.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace flamingousher::review {

namespace {

    // As in the site file: one of seven searchers (a share of 0.14) fails this part of its requests, for this time.
    constexpr std::size_t FaultySearcher = 0;
    constexpr double FailedFraction = 0.45;
    constexpr std::chrono::milliseconds FaultTime { 6'500 };
    constexpr std::size_t FaultCount = 3;

    // These statuses promise that the request has not run and never will.
    constexpr std::array<unsigned, 4> Promises { 408, 421, 429, 503 };

    // The searcher has begun to work on the request, and fails. It doesn't say that the request has not run.
    void fail(http::Response& response)
    {
        response.result(http::Status::service_unavailable);
        response.body() = "index not available";
        response.prepare_payload();
    }

} // namespace

Verdict runUnmarkedRefusal(World& world, bool hasTrouble)
{
    auto* trial = new SingleServiceTrial(world); // fibers use it until this process exits
    if (!trial->start())
        return Verdict::NotRun;
    std::size_t failed = 0;
    double due = 0;
    for (std::size_t fault = 0; fault < FaultCount; ++fault) {
        if (hasTrouble) {
            world.searchers().at(FaultySearcher)->setFault([&](const Run& run, http::Response& response) {
                due += FailedFraction;
                if (due < 1)
                    return;
                due -= 1;
                fail(response);
                ++failed;
                world.record().write("fail " + run.requestId + " after it has run");
            });
        }
        trial->wait(FaultTime);
        world.searchers().at(FaultySearcher)->setFault({});
        trial->wait(std::chrono::seconds(6));
    }
    trial->finish();
    std::size_t broken = 0;
    for (const Outcome& outcome : trial->outcomes()) {
        const bool isPromise = outcome.hasAnswer && std::ranges::count(Promises, outcome.answer.result_int()) > 0;
        if (!isPromise || countRuns(world, outcome.call.id) == 0)
            continue;
        ++broken;
        world.record().write("broken: " + outcome.call.id + " was answered "
            + std::to_string(outcome.answer.result_int()) + " and has run");
    }
    std::printf("requests %zu, failed after they had run %zu, answered as not run %zu\n", trial->outcomes().size(),
        failed, broken);
    std::fflush(stdout);
    return broken > 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace flamingousher::review
