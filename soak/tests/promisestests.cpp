#include "soak/promises.h"

#include <criterion/criterion.h>

using namespace flamingousher;
using namespace flamingousher::soak;
using std::chrono::milliseconds;

namespace {

const TimePoint Start { std::chrono::hours(1) };

std::string recordOf(const std::string& service, const std::string& id)
{
    std::string record = service + id;
    record.resize(16, '.');
    return record;
}

// Versions 1 and 2 name different shards; a request to VM 0 has been sent 10 s later.
struct Harness {
    Harness()
    {
        promises.onPublished({ 1, { "a0", "a1" }, 0.5, 5, Start });
        promises.onPublished({ 2, { "b0", "b1" }, 0.5, 5, Start + milliseconds(100) });
        send("q", true);
        send("n", false);
    }

    void send(const std::string& id, bool asksShards, TimePoint at = Start + milliseconds(10'000))
    {
        promises.onSent({ id, 0, 1, asksShards, milliseconds(800), at });
    }

    static ReadAnswer gathered(const std::string& id, const std::vector<std::string>& shards)
    {
        ReadAnswer answer { 200, {}, static_cast<std::uint32_t>(2 - shards.size()), {} };
        for (const std::string& shard : shards) {
            answer.parts.push_back({ shard, id });
            answer.body = recordOf(shard, id) + answer.body; // b1 is greater than b0
        }
        return answer;
    }

    void answer(const std::string& id, const ReadAnswer& read, TimePoint at = Start + milliseconds(10'050))
    {
        promises.onAnswered(id, read, at);
    }

    // The only broken promise begins with the name.
    bool breaksOnly(const std::string& name) const
    {
        return promises.broken().size() == 1 && promises.broken().front().starts_with(name + ":");
    }

    Promises promises { {}, recordOf };
};

} // namespace

Test(Promises, keptByATrueAnswer)
{
    Harness harness;
    harness.promises.onArrived("b0-0", "q", Start + milliseconds(10'010));
    harness.promises.onRun("q");
    harness.promises.onRun("q");
    harness.answer("q", Harness::gathered("q", { "b0", "b1" }));
    harness.promises.onRun("n");
    harness.answer("n", { 200, { { "s", "n" } }, 0, recordOf("s", "n") });
    harness.answer("n", { 502, {}, 0, {} });
    cr_assert(harness.promises.broken().empty());
    cr_assert_eq(harness.promises.served(), 2);
}

Test(Promises, oneSnapshot)
{
    Harness harness;
    harness.answer("q", Harness::gathered("q", { "a0", "b1" }));
    cr_assert(harness.breaksOnly("one snapshot"));
}

Test(Promises, trueCoverage)
{
    Harness untrue;
    ReadAnswer answer = Harness::gathered("q", { "b0" });
    answer.missing = 0;
    untrue.answer("q", answer);
    cr_assert(untrue.breaksOnly("coverage"));
}

Test(Promises, ownWholeAnswer)
{
    Harness foreign;
    ReadAnswer answer = Harness::gathered("q", { "b0", "b1" });
    answer.body.resize(16);
    foreign.answer("q", answer);
    cr_assert(foreign.breaksOnly("own answer"));

    Harness other;
    other.answer("n", { 200, { { "s", "m" } }, 0, recordOf("s", "m") });
    cr_assert(other.breaksOnly("own answer"));
}

Test(Promises, notRunMeansNotRun)
{
    Harness before;
    before.promises.onRun("n");
    before.answer("n", { 503, {}, 0, {} });
    cr_assert(before.breaksOnly("not run"));

    Harness after;
    after.answer("n", { 429, {}, 0, {} });
    after.promises.onRun("n");
    cr_assert(after.breaksOnly("not run"));
}

Test(Promises, nonIdempotentRunsOnce)
{
    Harness harness;
    harness.promises.onRun("n");
    harness.promises.onRun("n");
    cr_assert(harness.breaksOnly("once"));
}

Test(Promises, leavingUpstreamGetsNoNewWork)
{
    Harness harness;
    harness.promises.onDraining("b0-0", Start + milliseconds(6'000));
    harness.promises.onArrived("b0-0", "q", Start + milliseconds(10'010));
    cr_assert(harness.breaksOnly("drain"));

    Harness disturbed;
    disturbed.promises.onDraining("b0-0", Start + milliseconds(6'000));
    disturbed.promises.onTrouble(0, Start + milliseconds(5'000), Start + milliseconds(5'500));
    disturbed.promises.onArrived("b0-0", "q", Start + milliseconds(10'010));
    cr_assert(disturbed.promises.broken().empty(), "the VM could not know");
}

Test(Promises, plannedStopsCutNothing)
{
    Harness harness;
    harness.promises.onCut("n", Start + milliseconds(10'100));
    cr_assert(harness.promises.broken().empty(), "it was not passed on");
    harness.promises.onArrived("s-0", "n", Start + milliseconds(10'010));
    harness.promises.onCut("n", Start + milliseconds(10'100));
    cr_assert(harness.breaksOnly("nothing cut"));
}

Test(Promises, acceptedConfigurationIsInForceWithinSeconds)
{
    Harness harness;
    harness.answer("q", Harness::gathered("q", { "a0", "a1" }));
    cr_assert(harness.breaksOnly("in force"));
}

Test(Promises, configurationNeverReverts)
{
    Harness harness;
    harness.promises.onTroubleForAll(Start, Start + milliseconds(20'000));
    harness.answer("q", Harness::gathered("q", { "b0", "b1" }));
    harness.send("later", true, Start + milliseconds(10'400));
    harness.answer("later", Harness::gathered("later", { "a0", "a1" }), Start + milliseconds(10'450));
    cr_assert(harness.breaksOnly("no reverting"));
}

Test(Promises, nobodyIsHeldBeyondTheDeadline)
{
    Harness harness;
    harness.promises.onUnanswered("q", Start + milliseconds(13'000));
    cr_assert(harness.breaksOnly("deadline"));
}

Test(Promises, nothingUnaskedIsRun)
{
    Harness harness;
    harness.promises.onArrived("s-0", "nobody's", Start);
    cr_assert(harness.breaksOnly("unasked"));
}
