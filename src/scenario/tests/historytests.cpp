#include "scenario/scenario.h"

#include <criterion/criterion.h>

#include <cstdlib>

using namespace flamingousher;
using namespace flamingousher::scenario;

namespace {

// FLAMINGOUSHER_SEEDS sets another number, for longer runs.
std::uint64_t seedCount()
{
    const char* text = std::getenv("FLAMINGOUSHER_SEEDS");
    return text ? std::strtoull(text, nullptr, 10) : 2'000;
}

constexpr std::uint64_t SeedsForADefect = 60;

// True when the checker finds the defect in at least one of the seeds.
bool isFound(Defect defect, const std::string& expected)
{
    for (std::uint64_t seed = 1; seed <= SeedsForADefect; ++seed) {
        Settings settings = makeFaultySettings(seed);
        settings.defect = defect;
        for (const std::string& violation : check(settings, run(settings))) {
            if (violation.find(expected) != std::string::npos)
                return true;
        }
    }
    return false;
}

void expectNoViolation(std::uint64_t part, std::uint64_t parts)
{
    std::uint64_t answered = 0;
    for (std::uint64_t seed = 1 + part; seed <= seedCount(); seed += parts) {
        const Settings settings = makeFaultySettings(seed);
        const History history = run(settings);
        const std::vector<std::string> violations = check(settings, history);
        cr_expect(violations.empty(), "seed %lu: %zu violations, first: %s", seed, violations.size(),
            violations.empty() ? "" : violations.front().c_str());
        for (const Answer& answer : history.answers)
            answered += answer.outcome.error ? 0 : 1;
    }
    cr_expect_gt(answered, 10 * seedCount() / parts, "the runs answer queries at all");
}

} // namespace

Test(History, holdsWhatMustHoldInRunsWithFaults1)
{
    expectNoViolation(0, 4);
}

Test(History, holdsWhatMustHoldInRunsWithFaults2)
{
    expectNoViolation(1, 4);
}

Test(History, holdsWhatMustHoldInRunsWithFaults3)
{
    expectNoViolation(2, 4);
}

Test(History, holdsWhatMustHoldInRunsWithFaults4)
{
    expectNoViolation(3, 4);
}

Test(History, sameSeedGivesTheSameHistory)
{
    const Settings settings = makeFaultySettings(7);
    const History first = run(settings);
    const History second = run(settings);
    cr_expect_eq(first.executions.size(), second.executions.size());
    cr_assert_eq(first.answers.size(), second.answers.size());
    for (std::size_t index = 0; index < first.answers.size(); ++index)
        cr_expect(first.answers[index].outcome == second.answers[index].outcome);
}

Test(HistoryChecker, findsMixedVersions)
{
    cr_expect(isFound(Defect::MixesVersions, "mixes index versions"));
}

Test(HistoryChecker, findsOverstatedCoverage)
{
    cr_expect(isFound(Defect::OverstatesCoverage, "states another coverage"));
}

Test(HistoryChecker, findsCrossedAnswers)
{
    cr_expect(isFound(Defect::CrossesAnswers, "holds a hit of query"));
}

Test(HistoryChecker, findsFalseNotRun)
{
    cr_expect(isFound(Defect::SaysNotRunFalsely, "said not to have run, but ran"));
}

Test(HistoryChecker, findsRequestsRunTwice)
{
    cr_expect(isFound(Defect::RunsForeignIdentities, "ran twice"));
}

Test(HistoryChecker, findsWorkForADrainedUpstream)
{
    cr_expect(isFound(Defect::IgnoresDraining, "after it drained"));
}

Test(HistoryChecker, findsExceededSlots)
{
    cr_expect(isFound(Defect::IgnoresSlots, "slots exceeded"));
}
