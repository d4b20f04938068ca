#include "review/answerchecks.h"
#include "review/caller.h"
#include "review/cases.h"
#include "review/singleservice.h"

#include "platform/names.h"

#include <cstdio>

namespace flamingousher::review {

namespace {

    // As in the site file: this share of the searchers spoils one of this many answers, for this time.
    constexpr double FaultyShare = 0.35;
    constexpr std::uint32_t AnswersPerFault = 50;
    constexpr std::chrono::milliseconds FaultTime { 5'500 };
    constexpr std::size_t FaultCount = 8;

    // The answer is encoded on its way, which no caller asked for: what arrives is not the searcher's body.
    void spoil(http::Response& response)
    {
        response.set(boost::beast::http::field::content_encoding, "gzip");
        response.body() = std::string("\x1f\x8b\x08", 3) + response.body().substr(0, response.body().size() / 3);
        response.prepare_payload();
    }

} // namespace

Verdict runGarbledAnswer(World& world, bool hasTrouble)
{
    auto* trial = new SingleServiceTrial(world); // fibers use it until this process exits
    if (!trial->start())
        return Verdict::NotRun;
    const auto faulty = static_cast<std::size_t>(FaultyShare * static_cast<double>(world.searchers().size()));
    std::size_t spoiled = 0;
    std::uint32_t answers = 0;
    for (std::size_t fault = 0; fault < FaultCount; ++fault) {
        for (std::size_t index = 0; index < faulty && hasTrouble; ++index) {
            world.searchers().at(index)->setFault([&](const Run& run, http::Response& response) {
                if (++answers % AnswersPerFault != 0)
                    return;
                spoil(response);
                ++spoiled;
                world.record().write("spoil the answer to " + run.requestId);
            });
        }
        trial->wait(FaultTime);
        for (const auto& searcher : world.searchers())
            searcher->setFault({});
        trial->wait(std::chrono::seconds(4));
    }
    trial->finish();
    std::size_t foreign = 0;
    for (const Outcome& outcome : trial->outcomes()) {
        const auto breach = findForeignSuccess(world, outcome);
        if (!breach)
            continue;
        ++foreign;
        world.record().write("broken: " + outcome.call.id + " got " + *breach);
    }
    std::printf(
        "requests %zu, answers spoiled %zu, foreign successes %zu\n", trial->outcomes().size(), spoiled, foreign);
    std::fflush(stdout);
    return foreign > 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace flamingousher::review
