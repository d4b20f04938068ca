#include "fleet/membership.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <utility>

using namespace flamingousher;
using namespace flamingousher::fleet;

namespace {

const base::TimePoint Start { std::chrono::hours(1) };
constexpr int MaxMessages = 20;

NodeInfo makeNode(const std::string& endpoint, std::uint64_t boot)
{
    return { { endpoint, boot }, "z", "r" };
}

// Two nodes that know each other and have sent all their pending updates.
class Pair {
public:
    Pair()
    {
        exchange();
        settle();
    }

    // Tells one node of the state of another one, by a message of an earlier version.
    void tell(Membership& membership, const NodeInfo& other, MemberState state, std::uint32_t refutation = 0)
    {
        Ping ping { 1, makeNode("told-by", 9), { membership.self().id.endpoint, 0 }, {} };
        ping.gossip.members = { { other, state, refutation } };
        membership.receive(ping, Start);
        settle();
    }

    // Lets a probe the first way, and all that follows from it. Returns the number of messages.
    int exchange()
    {
        now += std::chrono::seconds(1);
        int messages = 0;
        Message message = Ping { 1, first.self(), second.self().id, {} };
        std::get<Ping>(message).gossip.viewDigest = digestOf(first);
        std::vector<Message> toSecond { message };
        std::vector<Message> toFirst;
        while (!toSecond.empty() || !toFirst.empty()) {
            deliver(second, toSecond, toFirst, messages);
            deliver(first, toFirst, toSecond, messages);
            cr_assert_lt(messages, MaxMessages, "the exchange does not end");
        }
        return messages;
    }

    static bool isUp(const Membership& membership, const NodeInfo& other)
    {
        return std::ranges::count(membership.upNodes(), other) == 1;
    }

    Membership first { makeNode("a", 1), {}, makeHooks() };
    Membership second { makeNode("b", 2), {}, makeHooks() };
    base::TimePoint now { Start };

private:
    static Membership::Hooks makeHooks()
    {
        return { [] { return 0; }, [] {}, [](const NodeInfo&, const ConfigurationId&) {},
            [](const quarantine::CrashRecord&, base::TimePoint) {} };
    }

    static std::uint64_t digestOf(Membership& membership)
    {
        ViewDigest digest;
        for (const NodeInfo& node : membership.upNodes())
            digest.toggle(node.id);
        return digest.total();
    }

    static void settle(Membership& membership)
    {
        const auto hasUpdates = [](const Message& message) { return !std::get<Ack>(message).gossip.members.empty(); };
        for (bool isSettled = false; !isSettled;) {
            const auto reply = membership.receive(
                Ping { 1, makeNode("told-by", 9), { membership.self().id.endpoint, 0 }, {} }, Start);
            isSettled = !hasUpdates(reply.front().message);
        }
    }

    void settle()
    {
        settle(first);
        settle(second);
    }

    // Only messages between the two are delivered.
    void deliver(Membership& receiver, std::vector<Message>& inbox, std::vector<Message>& outbox, int& messages)
    {
        for (const Message& message : std::exchange(inbox, {})) {
            ++messages;
            for (Outgoing& outgoing : receiver.receive(message, now)) {
                if (outgoing.endpoint == "a" || outgoing.endpoint == "b")
                    outbox.push_back(std::move(outgoing.message));
            }
        }
    }
};

const NodeInfo Other = makeNode("c", 3);

} // namespace

// Load pattern: gossip ends before it has reached every node.
Test(ViewComparison, tellsOfAMemberThatGossipMissed)
{
    Pair pair;
    pair.tell(pair.first, Other, MemberState::Alive);
    cr_assert_not(Pair::isUp(pair.second, Other));
    pair.exchange();
    cr_expect(Pair::isUp(pair.second, Other));
    cr_expect(Pair::isUp(pair.first, Other));
}

Test(ViewComparison, learnsAMemberFromTheNodeThatAnswers)
{
    Pair pair;
    pair.tell(pair.second, Other, MemberState::Alive);
    pair.exchange();
    cr_expect(Pair::isUp(pair.first, Other));
}

Test(ViewComparison, tellsThatAMemberHasLeftOrDied)
{
    for (MemberState state : { MemberState::Left, MemberState::Dead }) {
        Pair pair;
        pair.tell(pair.first, Other, MemberState::Alive);
        pair.tell(pair.second, Other, MemberState::Alive);
        pair.tell(pair.second, Other, state);
        pair.exchange();
        cr_expect_not(Pair::isUp(pair.first, Other), "%s", std::string(toString(state)).c_str());
        cr_expect_not(Pair::isUp(pair.second, Other));
    }
}

// A node that was declared dead by one side has refuted it on the other.
Test(ViewComparison, keepsTheNewerRefutation)
{
    Pair pair;
    pair.tell(pair.first, Other, MemberState::Alive);
    pair.tell(pair.second, Other, MemberState::Alive);
    pair.tell(pair.first, Other, MemberState::Dead);
    pair.tell(pair.second, Other, MemberState::Suspect);
    pair.tell(pair.second, Other, MemberState::Alive, 1);
    pair.exchange();
    cr_expect(Pair::isUp(pair.first, Other));
    cr_expect(Pair::isUp(pair.second, Other));
}

Test(ViewComparison, endsAfterTwoMessagesFromEachSide)
{
    Pair pair;
    cr_expect_leq(pair.exchange(), 2, "views that agree need no more than the probe and its answer");
    for (std::uint64_t index = 0; index < 200; ++index) {
        Membership& told = index % 2 == 0 ? pair.first : pair.second;
        pair.tell(told, makeNode("n" + std::to_string(index), index), MemberState::Alive);
    }
    cr_expect_leq(pair.exchange(), 4);
}

// Views without a digest are those of an earlier version.
Test(ViewComparison, isNotStartedWithAnEarlierVersion)
{
    Pair pair;
    pair.tell(pair.first, Other, MemberState::Alive);
    const auto reply = pair.first.receive(Ping { 1, pair.second.self(), pair.first.self().id, {} }, pair.now);
    cr_assert_eq(reply.size(), 1u);
    cr_expect(std::get<Ack>(reply.front().message).gossip.viewBuckets.empty());
}
