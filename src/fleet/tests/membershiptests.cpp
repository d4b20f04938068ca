#include "fleet/membership.h"

#include <criterion/criterion.h>

using namespace flamingousher;
using namespace flamingousher::fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const base::TimePoint Start { std::chrono::hours(1) };

NodeInfo node(const std::string& endpoint, std::uint64_t boot)
{
    return { { endpoint, boot }, "z", "r", "", 1 };
}

Membership::Hooks noopHooks()
{
    return { [] { return 0; }, [] {}, [](const NodeInfo&, const ConfigurationId&) {},
        [](const quarantine::CrashRecord&, base::TimePoint) {} };
}

Membership makeMembership()
{
    return Membership(node("a", 1), {}, noopHooks());
}

void pingFrom(Membership& membership, const NodeInfo& other)
{
    membership.receive(Ping { 1, other, { "a", 0 }, {} }, Start);
}

} // namespace

Test(Membership, addsANodeThatPings)
{
    Membership membership = makeMembership();
    pingFrom(membership, node("b", 2));
    cr_expect_eq(membership.upNodes().size(), 2u);
}

Test(Membership, declaresDeadOnlyAfterSuspicion)
{
    Membership membership = makeMembership();
    pingFrom(membership, node("b", 2));
    base::TimePoint now = Start;
    const auto stateOfOther = [&] { return membership.members().begin()->second.state; };
    while (stateOfOther() == MemberState::Alive)
        membership.tick(now += milliseconds(100));
    cr_expect_eq(stateOfOther(), MemberState::Suspect);
    const base::TimePoint suspectedAt = now;
    while (stateOfOther() == MemberState::Suspect)
        membership.tick(now += milliseconds(100));
    cr_expect_geq((now - suspectedAt).count(), base::Duration(seconds(5)).count());
    cr_expect_eq(membership.upNodes().size(), 1u);
}

// Load pattern: in a large fleet suspicions come and go all the time.
Test(Membership, doesNotCountSuspicionsAsChangesOfTheUpNodes)
{
    Membership membership = makeMembership();
    pingFrom(membership, node("b", 2));
    const std::uint64_t before = membership.upChangeCount();
    Ping ping { 1, node("c", 3), { "a", 1 }, {} };
    membership.receive(ping, Start);
    cr_expect_eq(membership.upChangeCount(), before + 1);
    ping.gossip.members = { { node("b", 2), MemberState::Suspect, 0 } };
    membership.receive(ping, Start);
    ping.gossip.members = { { node("b", 2), MemberState::Alive, 1 } };
    membership.receive(ping, Start);
    cr_expect_eq(membership.upChangeCount(), before + 1);
    ping.gossip.members = { { node("b", 2), MemberState::Dead, 1 } };
    membership.receive(ping, Start);
    cr_expect_eq(membership.upChangeCount(), before + 2);
}

Test(Membership, refutesItsOwnSuspicion)
{
    Membership membership = makeMembership();
    Ping ping { 1, node("b", 2), { "a", 1 }, {} };
    ping.gossip.members.push_back({ node("a", 1), MemberState::Suspect, 0 });
    const auto answer = membership.receive(ping, Start);
    const auto& ack = std::get<Ack>(answer.front().message);
    bool didRefute = false;
    for (const MemberUpdate& update : ack.gossip.members)
        didRefute
            = didRefute || (update.node.id.boot == 1 && update.state == MemberState::Alive && update.refutation == 1);
    cr_expect(didRefute);
}

Test(Membership, marksAnEarlierIncarnationAtTheSameEndpointDead)
{
    Membership membership = makeMembership();
    pingFrom(membership, node("b", 2));
    pingFrom(membership, node("b", 3));
    cr_expect_eq(membership.upNodes().size(), 2u);
    cr_expect_eq(membership.members().at({ "b", 2 }).state, MemberState::Dead);
}

Test(Membership, ignoresUpdatesThatReviveALeftNode)
{
    Membership membership = makeMembership();
    pingFrom(membership, node("b", 2));
    Ping ping { 1, node("c", 3), { "a", 0 }, {} };
    ping.gossip.members.push_back({ node("b", 2), MemberState::Left, 1 });
    membership.receive(ping, Start);
    ping.gossip.members = { { node("b", 2), MemberState::Alive, 9 } };
    membership.receive(ping, Start);
    cr_expect_eq(membership.members().at({ "b", 2 }).state, MemberState::Left);
}

Test(Membership, suspectsNoNodeAfterItsOwnPause)
{
    Membership membership = makeMembership();
    pingFrom(membership, node("b", 2));
    base::TimePoint now = Start;
    for (int round = 0; round < 12; ++round)
        membership.tick(now += milliseconds(100));
    now += seconds(30);
    membership.tick(now);
    cr_expect(membership.isViewStale());
    cr_expect_eq(membership.pauseCount(), 1u);
    cr_expect_eq(membership.upNodes().size(), 2u);
    membership.receive(Ping { 2, node("b", 2), { "a", 1 }, {} }, now);
    cr_expect_not(membership.isViewStale());
}

Test(Membership, reportsEachCrashOnce)
{
    int heard = 0;
    Membership::Hooks hooks = noopHooks();
    hooks.onCrash = [&](const quarantine::CrashRecord&, base::TimePoint) { ++heard; };
    Membership membership(node("a", 1), {}, hooks);
    membership.reportCrash({ 7, 1, 1, "u" }, Start);
    membership.reportCrash({ 7, 1, 1, "u" }, Start);
    cr_expect_eq(heard, 1);
    const auto answer = membership.receive(Ping { 1, node("b", 2), { "a", 1 }, {} }, Start);
    cr_expect_eq(std::get<Ack>(answer.front().message).gossip.crashes.size(), 1u);
}
