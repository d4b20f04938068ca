#include "fleet/viewdigest.h"
#include "wire/codec.h"
#include "wire/mac.h"

#include <criterion/criterion.h>

#include <random>

using namespace flamingousher;
using namespace flamingousher::wire;

namespace {

const fleet::NodeInfo Node { { "127.0.0.1:8081", 7 }, "a", "r", "127.0.0.1:8082", 2 };

void expectRoundTrip(const Content& content)
{
    const auto decoded = decode("p", encode(content));
    cr_assert(decoded.has_value());
    cr_expect(*decoded == content);
}

} // namespace

Test(Codec, roundTripsFleetMessages)
{
    fleet::Gossip gossip { { { Node, fleet::MemberState::Suspect, 3, true } },
        { { { 9, 2, 1, "u" }, std::chrono::milliseconds(1'500) } }, { 4, 5 } };
    expectRoundTrip(fleet::FleetMessage(fleet::Ping { 1, Node, { "x", 2 }, gossip }));
    expectRoundTrip(fleet::FleetMessage(fleet::Ack { 1, Node, gossip }));
    expectRoundTrip(fleet::FleetMessage(fleet::PingRequest { 1, Node, { "x", 2 } }));
    expectRoundTrip(fleet::FleetMessage(fleet::ClaimMessage { Node, { "u0", "u1" } }));
    expectRoundTrip(fleet::FleetMessage(fleet::ReleaseMessage { Node, { "u0" } }));
    expectRoundTrip(fleet::FleetMessage(fleet::TablesRequest { Node, { 4, 5 } }));
    expectRoundTrip(fleet::FleetMessage(
        fleet::TablesReply { Node, { 1, 2, 3, { { "route a", "x = 1\n" } }, {}, { "r" }, { "p" } } }));
}

// Load pattern: hundreds of VMs start at once and tell each other about all of them. A message with 26 members must fit
// one packet.
namespace {

constexpr std::size_t MembersPerPacket = 26;

void addMembers(fleet::Gossip& gossip, std::size_t count)
{
    for (int index = 0; index < static_cast<int>(count); ++index) {
        const std::string address = "10." + std::to_string(index % 5) + ".200." + std::to_string(100 + index);
        fleet::NodeInfo node { { address + ":8224", 0x123456789abcdef0 + static_cast<std::uint64_t>(index) },
            "pl-srodek-" + std::to_string(index % 5), "pl-srodek", address + ":9180", 1, address + ":7740", 120 };
        gossip.members.push_back(
            { node, static_cast<fleet::MemberState>(index % 4), static_cast<std::uint32_t>(index) });
    }
}

void expectOnePacket(const fleet::Gossip& gossip)
{
    constexpr std::size_t MaxPacketBytes = 1'472; // of an MTU of 1,500
    const fleet::Ping ping { 1, gossip.members.front().node, gossip.members.back().node.id, gossip };
    expectRoundTrip(fleet::FleetMessage(ping));
    const std::size_t bytes = encode(fleet::FleetMessage(ping)).size() + MacBytes;
    cr_expect_leq(bytes, MaxPacketBytes, "%zu bytes", bytes);
}

} // namespace

Test(Codec, packsMembersIntoOnePacket)
{
    fleet::Gossip gossip { {}, {}, { 4, 5 } };
    addMembers(gossip, MembersPerPacket);
    expectOnePacket(gossip);
}

Test(Codec, packsComparisonOfViewsIntoOnePacket)
{
    fleet::Gossip gossip { {}, {}, { 4, 5 } };
    gossip.viewDigest = 0x123456789abcdef0;
    gossip.viewBuckets.assign(fleet::ViewDigest::BucketCount, 0x12345678);
    addMembers(gossip, MembersPerPacket - fleet::ViewDigest::MembersPerDigest);
    expectOnePacket(gossip);
}

Test(Codec, roundTripsMembersOfAnyForm)
{
    for (const fleet::NodeInfo& node :
        std::vector<fleet::NodeInfo> { { { "vm-1:80", 1 }, "z", "r", "vm-1:81" },
            { { "10.0.0.1:80", 1 }, "z", "r", "10.0.0.2:81" }, { { "10.0.0.1:80", 1 }, "z", "r", "", 70'000 },
            { { "10.0.0.01:80", 1 }, "z", "r" }, { { "10.0.0.1:0", 1 }, "z", "r" }, { { "10.0.0.1:080", 1 }, "z", "r" },
            { { "[::1]:80", 1 }, "z", "r", "[::1]:81" }, { { "10.0.0.1:80", 1 }, "", "", "", 1, "10.0.0.1:82" }, {} }) {
        fleet::Gossip gossip { { { node, fleet::MemberState::Alive, 3 } }, {}, {} };
        expectRoundTrip(fleet::FleetMessage(fleet::Ack { 1, Node, gossip }));
    }
}

Test(Codec, roundTripsBatches)
{
    Batch batch;
    batch.requests.push_back(
        { { 5, 0, base::Rank::Urgent, "c", {}, 6, transport::SearchCall { { 42, 1, 3 }, "ring", 10 } }, "u1",
            std::chrono::milliseconds(80) });
    batch.requests.push_back(
        { { 6, 0, base::Rank::Background, "c", {}, 7, transport::ServiceCall { "POST", "/r", "text/plain", "b", "i" } },
            "u2", std::chrono::milliseconds(80) });
    batch.results.push_back(
        { 5, { query::SubAnswer { { 42, 1, 3 }, { { "a", "t", 1.5 } } }, std::chrono::milliseconds(1) } });
    batch.results.push_back({ 6,
        { tl::unexpected(
            base::Error { base::ErrorCode::Shed, base::Step::Queue, "p", "d", base::RunState::NotRun }) } });
    batch.cancels.push_back({ 5, "u1" });
    batch.statuses.push_back({ "u1", { true, 0, { { 42, 1, 3 } } } });
    batch.statusSubscriptions = { "u3" };
    expectRoundTrip(batch);
}

Test(Codec, roundTripsIdentityMessages)
{
    expectRoundTrip(IdentityRequest { 1, { "POST", "/r", "t", "b", "i" }, "c", std::chrono::milliseconds(5) });
    expectRoundTrip(IdentityResult { 1, { 201, "t", "b" } });
    expectRoundTrip(Hello { Node, 77 });
}

Test(Codec, rejectsRandomBytes)
{
    std::mt19937_64 random(3);
    for (int round = 0; round < 1000; ++round) {
        std::string bytes(random() % 300, '\0');
        for (char& byte : bytes)
            byte = static_cast<char>(random());
        cr_expect_not(decode("p", bytes).has_value());
    }
}

Test(Codec, survivesCorruptedBytes)
{
    const std::string bytes = encode(fleet::FleetMessage(fleet::Ping { 1, Node, { "x", 2 }, {} }));
    for (std::size_t index = 0; index < bytes.size(); ++index) {
        std::string corrupted = bytes;
        corrupted[index] = static_cast<char>(corrupted[index] ^ 0xff);
        static_cast<void>(decode("p", corrupted));
    }
}

Test(Mac, dependsOnKeyPrefixAndPayload)
{
    const Mac mac = computeMac("key", "1", "payload");
    cr_expect(isEqual(mac, computeMac("key", "1", "payload")));
    cr_expect_not(isEqual(mac, computeMac("kex", "1", "payload")));
    cr_expect_not(isEqual(mac, computeMac("key", "2", "payload")));
    cr_expect_not(isEqual(mac, computeMac("key", "1", "Payload")));
}
