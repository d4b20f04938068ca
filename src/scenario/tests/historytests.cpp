#include "scenario/scenario.h"

#include <criterion/criterion.h>

#include <cstdlib>

using namespace flamingousher;
using namespace flamingousher::scenario;

namespace {

// Returns the number of seeds to run; FLAMINGOUSHER_SEEDS overrides the default for longer runs.
std::uint64_t seedCount()
{
    const char* text = std::getenv("FLAMINGOUSHER_SEEDS");
    return text ? std::strtoull(text, nullptr, 10) : 2'000;
}

constexpr std::uint64_t SeedsPerDefect = 60;

// Returns true if the checker reports the expected violation for at least one seed.
bool isDetected(Defect defect, const std::string& expected)
{
    for (std::uint64_t seed = 1; seed <= SeedsPerDefect; ++seed) {
        Settings settings = makeFaultySettings(seed);
        settings.defect = defect;
        for (const std::string& violation : check(settings, run(settings))) {
            if (violation.find(expected) != std::string::npos)
                return true;
        }
    }
    return false;
}

void expectNoViolation(std::uint64_t slice, std::uint64_t sliceCount)
{
    std::uint64_t answered = 0;
    for (std::uint64_t seed = 1 + slice; seed <= seedCount(); seed += sliceCount) {
        const Settings settings = makeFaultySettings(seed);
        const History history = run(settings);
        const std::vector<std::string> violations = check(settings, history);
        cr_expect(violations.empty(), "seed %lu: %zu violations, first: %s", seed, violations.size(),
            violations.empty() ? "" : violations.front().c_str());
        for (const Answer& answer : history.answers)
            answered += answer.outcome.error ? 0 : 1;
    }
    cr_expect_gt(
        answered, 10 * seedCount() / sliceCount, "too few queries were answered for the check to be meaningful");
}

} // namespace

Test(History, hasNoViolationsWithFaults1)
{
    expectNoViolation(0, 4);
}

Test(History, hasNoViolationsWithFaults2)
{
    expectNoViolation(1, 4);
}

Test(History, hasNoViolationsWithFaults3)
{
    expectNoViolation(2, 4);
}

Test(History, hasNoViolationsWithFaults4)
{
    expectNoViolation(3, 4);
}

Test(History, givesSameHistoryForSameSeed)
{
    const Settings settings = makeFaultySettings(7);
    const History first = run(settings);
    const History second = run(settings);
    cr_expect_eq(first.executions.size(), second.executions.size());
    cr_assert_eq(first.answers.size(), second.answers.size());
    for (std::size_t index = 0; index < first.answers.size(); ++index)
        cr_expect(first.answers[index].outcome == second.answers[index].outcome);
}

Test(HistoryChecker, detectsMixedVersions)
{
    cr_expect(isDetected(Defect::MixesVersions, "mixes index versions"));
}

Test(HistoryChecker, detectsOverstatedCoverage)
{
    cr_expect(isDetected(Defect::OverstatesCoverage, "reports a wrong coverage"));
}

Test(HistoryChecker, detectsMismatchedAnswers)
{
    cr_expect(isDetected(Defect::MismatchesAnswers, "contains a hit of query"));
}

Test(HistoryChecker, detectsFalseNotRun)
{
    cr_expect(isDetected(Defect::ReportsFalseNotRun, "reported as not run, but ran"));
}

Test(HistoryChecker, detectsRequestsRunTwice)
{
    cr_expect(isDetected(Defect::RunsForeignIdentities, "ran twice"));
}

Test(HistoryChecker, detectsWorkForDrainedUpstream)
{
    cr_expect(isDetected(Defect::IgnoresDraining, "received work after it drained"));
}

Test(HistoryChecker, detectsExceededSlots)
{
    cr_expect(isDetected(Defect::IgnoresSlots, "slots exceeded"));
}
