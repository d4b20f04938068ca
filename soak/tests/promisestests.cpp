#include "soak/promises.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace flamingousher;
using namespace flamingousher::soak;
using std::chrono::milliseconds;

namespace {

const TimePoint Start { std::chrono::hours(1) };

std::string makeRecord(const std::string& service, const std::string& id)
{
    std::string record = service + id;
    record.resize(16, '.');
    return record;
}

// Publishes versions 1 and 2 with different shards; requests "q" and "n" are sent to VM 0 10 s later.
struct Harness {
    Harness()
    {
        promises.onPublished({ 1, { "a0", "a1" }, 0.5, 5, Start });
        promises.onPublished({ 2, { "b0", "b1" }, 0.5, 5, Start + milliseconds(100) });
        send("q", true);
        send("n", false);
    }

    void send(const std::string& id, bool isFanout, TimePoint at = Start + milliseconds(10'000))
    {
        promises.onSent({ id, 0, 1, isFanout, milliseconds(800), at });
    }

    static ReceivedAnswer fanoutAnswer(const std::string& id, const std::vector<std::string>& shards)
    {
        ReceivedAnswer answer { 200, {}, static_cast<std::uint32_t>(2 - shards.size()), {} };
        for (const std::string& shard : shards) {
            answer.stamps.push_back({ shard, id });
            answer.body = makeRecord(shard, id) + answer.body; // b1 is greater than b0
        }
        return answer;
    }

    void answer(const std::string& id, const ReceivedAnswer& read, TimePoint at = Start + milliseconds(10'050))
    {
        promises.onAnswered(id, read, at);
    }

    // Returns true if there is exactly one violation, and it is of the given guarantee.
    bool violatesOnly(const std::string& name) const
    {
        return promises.violations().size() == 1 && promises.violations().front().starts_with(name + ":");
    }

    Promises promises { {}, makeRecord };
};

} // namespace

Test(Promises, holdForCorrectAnswers)
{
    Harness harness;
    harness.promises.onArrived("b0-0", "q", Start + milliseconds(10'010));
    harness.promises.onRun("q");
    harness.promises.onRun("q");
    harness.answer("q", Harness::fanoutAnswer("q", { "b0", "b1" }));
    harness.promises.onRun("n");
    harness.answer("n", { 200, { { "s", "n" } }, 0, makeRecord("s", "n") });
    harness.answer("n", { 502, {}, 0, {} });
    cr_assert(harness.promises.violations().empty());
    cr_assert_eq(harness.promises.served(), 2);
}

Test(Promises, detectsMixedVersions)
{
    Harness harness;
    harness.answer("q", Harness::fanoutAnswer("q", { "a0", "b1" }));
    cr_assert(harness.violatesOnly("one snapshot"));
}

Test(Promises, detectsWrongCoverage)
{
    Harness untrue;
    ReceivedAnswer answer = Harness::fanoutAnswer("q", { "b0" });
    answer.missing = 0;
    untrue.answer("q", answer);
    cr_assert(untrue.violatesOnly("coverage"));
}

Test(Promises, detectsForeignOrIncompleteAnswer)
{
    Harness foreign;
    ReceivedAnswer answer = Harness::fanoutAnswer("q", { "b0", "b1" });
    answer.body.resize(16);
    foreign.answer("q", answer);
    cr_assert(foreign.violatesOnly("own answer"));

    Harness other;
    other.answer("n", { 200, { { "s", "m" } }, 0, makeRecord("s", "m") });
    cr_assert(other.violatesOnly("own answer"));
}

Test(Promises, detectsRunAfterNotRun)
{
    Harness before;
    before.promises.onRun("n");
    before.answer("n", { 503, {}, 0, {} });
    cr_assert(before.violatesOnly("not run"));

    Harness after;
    after.answer("n", { 429, {}, 0, {} });
    after.promises.onRun("n");
    cr_assert(after.violatesOnly("not run"));
}

Test(Promises, detectsRepeatedRun)
{
    Harness harness;
    harness.promises.onRun("n");
    harness.promises.onRun("n");
    cr_assert(harness.violatesOnly("once"));
}

Test(Promises, detectsWorkForDrainingUpstream)
{
    Harness harness;
    harness.promises.onDraining("b0-0", Start + milliseconds(6'000));
    harness.promises.onArrived("b0-0", "q", Start + milliseconds(10'010));
    cr_assert(harness.violatesOnly("drain"));

    Harness disturbed;
    disturbed.promises.onDraining("b0-0", Start + milliseconds(6'000));
    disturbed.promises.onDisturbance(0, Start + milliseconds(5'000), Start + milliseconds(5'500));
    disturbed.promises.onArrived("b0-0", "q", Start + milliseconds(10'010));
    cr_assert(disturbed.promises.violations().empty(), "the disturbed VM may not know of the drain yet");
}

Test(Promises, detectsWorkForUpstreamsOfEvacuatedZones)
{
    Harness harness;
    harness.promises.onEvacuated("b0-0", Start + milliseconds(4'000));
    harness.promises.onEvacuated("b1-0", Start + milliseconds(6'000));
    harness.promises.onArrived("b1-0", "q", Start + milliseconds(10'010));
    cr_assert(harness.promises.violations().empty(), "within the bound");
    harness.promises.onArrived("b0-0", "q", Start + milliseconds(10'010));
    cr_assert(harness.violatesOnly("evacuation"));

    Harness takenBack;
    takenBack.promises.onEvacuated("b0-0", Start + milliseconds(4'000));
    takenBack.promises.onEvacuationEnded("b0-0");
    takenBack.promises.onArrived("b0-0", "q", Start + milliseconds(10'010));
    cr_assert(takenBack.promises.violations().empty());
}

Test(Promises, detectsLostConnection)
{
    Harness harness;
    harness.promises.onConnectionLost("n", Start + milliseconds(10'100));
    cr_assert(harness.promises.violations().empty(), "the request had not reached an upstream");
    harness.promises.onArrived("s-0", "n", Start + milliseconds(10'010));
    harness.promises.onConnectionLost("n", Start + milliseconds(10'100));
    cr_assert(harness.violatesOnly("nothing cut"));
}

Test(Promises, detectsOutdatedConfiguration)
{
    Harness harness;
    harness.answer("q", Harness::fanoutAnswer("q", { "a0", "a1" }));
    cr_assert(harness.violatesOnly("in force"));
}

Test(Promises, detectsRevertedConfiguration)
{
    Harness harness;
    harness.promises.onGlobalDisturbance(Start, Start + milliseconds(20'000));
    harness.answer("q", Harness::fanoutAnswer("q", { "b0", "b1" }));
    harness.send("later", true, Start + milliseconds(10'400));
    harness.answer("later", Harness::fanoutAnswer("later", { "a0", "a1" }), Start + milliseconds(10'450));
    cr_assert(harness.violatesOnly("no reverting"));
}

Test(Promises, detectsMissedDeadline)
{
    Harness harness;
    harness.promises.onTimeout("q", Start + milliseconds(13'000));
    cr_assert(harness.violatesOnly("deadline"));
}

Test(Promises, detectsUnknownRequest)
{
    Harness harness;
    harness.promises.onArrived("s-0", "nobody's", Start);
    cr_assert(harness.violatesOnly("unasked"));
}

// Soak seed 203: a VM that was behind answered with version 1 when version 4, with the same shards, was published
// already, and then took over versions 2 to 4.
Test(Promises, allowsOldVersionWhoseShardsAreUsedAgain)
{
    Harness harness;
    harness.promises.onPublished({ 3, { "c0", "c1" }, 0.5, 5, Start + milliseconds(9'900) });
    harness.promises.onPublished({ 4, { "a0", "a1" }, 0.5, 5, Start + milliseconds(9'950) });
    harness.answer("q", Harness::fanoutAnswer("q", { "a0", "a1" }));
    harness.send("r", true, Start + milliseconds(10'400));
    harness.answer("r", Harness::fanoutAnswer("r", { "c0", "c1" }), Start + milliseconds(10'450));
    harness.send("s", true, Start + milliseconds(10'800));
    harness.answer("s", Harness::fanoutAnswer("s", { "a0", "a1" }), Start + milliseconds(10'850));
    for (const std::string& violation : harness.promises.violations())
        cr_expect(!violation.starts_with("no reverting"), "%s", violation.c_str());
    // Back to the shards of version 3, which are not used again.
    harness.send("t", true, Start + milliseconds(11'600));
    harness.answer("t", Harness::fanoutAnswer("t", { "c0", "c1" }), Start + milliseconds(11'650));
    cr_expect(std::ranges::any_of(harness.promises.violations(),
        [](const std::string& violation) { return violation.starts_with("no reverting"); }));
}
