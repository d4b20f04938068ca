#include "identity/identityregistry.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <memory>
#include <random>

using namespace flamingousher;
using namespace flamingousher::identity;
using std::chrono::minutes;

namespace {

const base::TimePoint Start { std::chrono::hours(1) };
constexpr std::uint64_t Request = 77;

IdentityRegistry makeRegistry(const std::string& endpoint = "a", std::uint64_t boot = 1)
{
    return IdentityRegistry(endpoint, boot, {}, [random = std::mt19937_64(boot)]() mutable { return random(); });
}

} // namespace

Test(IdentityRegistry, runsAnIdentityOnce)
{
    IdentityRegistry keeper = makeRegistry();
    const std::string identity = *keeper.issue(Start);
    cr_expect(keeper.begin(identity, Request, Start) == BeginResult(Granted {}));
    cr_expect(keeper.begin(identity, Request, Start) == BeginResult(InProgress {}));
    keeper.finishRun(identity, { 201, "t", "body" });
    cr_expect(keeper.begin(identity, Request, Start) == BeginResult(Completed { { 201, "t", "body" } }));
}

Test(IdentityRegistry, rerunsOnlyARequestThatCertainlyDidNotRun)
{
    IdentityRegistry keeper = makeRegistry();
    const std::string identity = *keeper.issue(Start);
    keeper.begin(identity, Request, Start);
    keeper.finishNotRun(identity);
    cr_expect(keeper.begin(identity, Request, Start) == BeginResult(Granted {}));
    keeper.finishUnknown(identity);
    cr_expect(keeper.begin(identity, Request, Start) == BeginResult(OutcomeUnknown {}));
}

Test(IdentityRegistry, rejectsIdentitiesOfOtherProcessesOrIncarnations)
{
    IdentityRegistry keeper = makeRegistry();
    const std::string identityOfOtherProcess = *makeRegistry("b", 1).issue(Start);
    const std::string identityOfOtherIncarnation = *makeRegistry("a", 2).issue(Start);
    cr_expect(std::holds_alternative<IssuedElsewhere>(keeper.begin(identityOfOtherProcess, Request, Start)));
    cr_expect(std::holds_alternative<IssuedElsewhere>(keeper.begin(identityOfOtherIncarnation, Request, Start)));
}

Test(IdentityRegistry, rejectsExpiredForgedAndMalformedIdentities)
{
    IdentityRegistry keeper = makeRegistry();
    const std::string identity = *keeper.issue(Start);
    cr_expect(keeper.begin(identity, Request, Start + minutes(10)) == BeginResult(Unverifiable {}));
    cr_expect(keeper.begin("a~1~1~12345", Request, Start) == BeginResult(Unverifiable {}));
    cr_expect(keeper.begin("nonsense", Request, Start) == BeginResult(Unverifiable {}));
}

Test(IdentityRegistry, rejectsADifferentRequestWithAUsedIdentity)
{
    IdentityRegistry keeper = makeRegistry();
    const std::string identity = *keeper.issue(Start);
    keeper.begin(identity, Request, Start);
    cr_expect(keeper.begin(identity, Request + 1, Start) == BeginResult(RequestMismatch {}));
}

Test(IdentityRegistry, isBounded)
{
    IdentityRegistry keeper("a", 1, { .capacity = 10 }, [] { return 1; });
    for (int count = 0; count < 10; ++count)
        cr_expect(keeper.issue(Start).has_value());
    cr_expect_not(keeper.issue(Start).has_value());
    cr_expect(keeper.issue(Start + minutes(11)).has_value());
}

Test(IdentityRegistry, runsEachIdentityAtMostOnceInAnyOrderOfEvents)
{
    const bool holds = rc::check("each identity runs at most once, except after a proof that it did not run", [] {
        auto keeper = std::make_unique<IdentityRegistry>(makeRegistry("a", 1));
        std::vector<std::string> issued;
        std::map<std::string, int> possibleRuns;
        std::map<std::string, bool> isRunning;
        std::uint64_t boot = 1;
        base::TimePoint now = Start;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
        for (int step : steps) {
            now += std::chrono::seconds(step);
            const std::string identity = issued.empty() ? "" : issued[static_cast<std::size_t>(step) % issued.size()];
            if (step < 20 || issued.empty()) {
                if (const auto newIdentity = keeper->issue(now))
                    issued.push_back(*newIdentity);
            } else if (step < 60) {
                if (keeper->begin(identity, Request, now) == BeginResult(Granted {})) {
                    ++possibleRuns[identity];
                    isRunning[identity] = true;
                }
            } else if (step < 70 && isRunning[identity]) {
                --possibleRuns[identity];
                isRunning[identity] = false;
                keeper->finishNotRun(identity);
            } else if (step < 90 && isRunning[identity]) {
                isRunning[identity] = false;
                step % 2 ? keeper->finishRun(identity, { 200, "", "" }) : keeper->finishUnknown(identity);
            } else if (step >= 97) {
                // A restart: the process loses its state and gets a new boot number.
                keeper = std::make_unique<IdentityRegistry>(makeRegistry("a", ++boot));
                isRunning.clear();
            }
            for (const auto& [name, runs] : possibleRuns)
                RC_ASSERT(runs <= 1);
        }
    });
    cr_expect(holds);
}
