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
    fleet::Gossip gossip { { { Node, fleet::MemberState::Suspect, 3 } }, { { 9, "u", 7 } }, { 4, 5 } };
    expectRoundTrip(fleet::FleetMessage(fleet::Ping { 1, Node, { "x", 2 }, gossip }));
    expectRoundTrip(fleet::FleetMessage(fleet::Ack { 1, Node, gossip }));
    expectRoundTrip(fleet::FleetMessage(fleet::PingRequest { 1, Node, { "x", 2 } }));
    expectRoundTrip(fleet::FleetMessage(fleet::ClaimMessage { Node, { "u0", "u1" } }));
    expectRoundTrip(fleet::FleetMessage(fleet::ReleaseMessage { Node, { "u0" } }));
    expectRoundTrip(fleet::FleetMessage(fleet::TablesRequest { Node, { 4, 5 } }));
    expectRoundTrip(fleet::FleetMessage(
        fleet::TablesReply { Node, { 1, 2, 3, { { "route a", "x = 1\n" } }, {}, { "r" }, { "p" } } }));
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
