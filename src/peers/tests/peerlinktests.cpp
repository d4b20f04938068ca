#include "http/client.h"
#include "peers/askissuer.h"
#include "peers/fleettransport.h"
#include "peers/peerlink.h"
#include "peers/peerserver.h"
#include "runtime/fiberthread.h"
#include "runtime/usefiber.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <criterion/criterion.h>

#include <random>

using namespace flamingousher;
using namespace flamingousher::peers;
using runtime::useFiber;
using std::chrono::milliseconds;

namespace {

const PeerIdentity Identity { { { "127.0.0.1:1", 1 }, "a", "r", "", 1 }, "0123456789abcdef" };
const PeerIdentity Stranger { { { "127.0.0.1:2", 2 }, "a", "r", "", 1 }, "another-key-entirely" };

void sleepFor(boost::asio::io_context& io, milliseconds duration)
{
    boost::asio::steady_timer timer(io, duration);
    timer.async_wait(useFiber);
}

// A home that answers each sub-request with its text, and a link to it, on one thread.
class Pair {
public:
    Pair(boost::asio::io_context& io, std::uint16_t port, const PeerIdentity& caller = Identity)
        : io_(io)
        , endpoint_(boost::asio::ip::make_address("127.0.0.1"), port)
        , server_(io, Identity, serverCounters_,
              { now, random, [this] { return ++lastId_; },
                  [this](wire::RemoteRequest request, transport::SubCallback callback) {
                      ++received_;
                      if (doesAnswer_) {
                          const auto& call = std::get<transport::SearchCall>(request.request.call);
                          callback({ query::SubAnswer { call.target, { { call.text, "", 1 } } } });
                      } else {
                          kept_.push_back(std::move(callback));
                      }
                  },
                  [this](transport::SubRequestId, const std::string&) { ++cancelled_; },
                  [](const std::string&) {
                      return transport::UpstreamStatus { false, 0, { { 42, 0, 1 } } };
                  },
                  [](const wire::IdentityRequest& request) {
                      return transport::ServiceAnswer { 201, "", request.call.body };
                  } })
        , link_(std::make_shared<PeerLink>(io, endpoint_, caller, linkCounters_,
              PeerLink::Hooks {
                  now, random, [this](const wire::RemoteStatus& status) { statuses_.push_back(status); } }))
    {
        server_.listen(endpoint_);
        link_->start();
    }

    void submit(transport::SubRequestId id, milliseconds lifetime = milliseconds(500))
    {
        wire::RemoteRequest request;
        request.upstream = "u";
        request.request.id = id;
        request.request.deadline = now() + lifetime;
        request.request.call = transport::SearchCall { { 1, 0, 1 }, "text" + std::to_string(id), 10 };
        link_->submit(std::move(request), [this, id](transport::SubResult result) {
            ++ended_;
            if (result.value)
                matched_ += std::get<query::SubAnswer>(*result.value).hits[0].id == "text" + std::to_string(id) ? 1 : 0;
            else
                lastError_ = result.value.error();
        });
    }

    bool waitUntilEnded(int count)
    {
        for (int round = 0; round < 4000 && ended_ < count; ++round)
            sleepFor(io_, milliseconds(1));
        return ended_ >= count;
    }

    static base::TimePoint now() { return std::chrono::steady_clock::now(); }

    static std::uint64_t random()
    {
        static std::mt19937_64 generator(1);
        return generator();
    }

    boost::asio::io_context& io_;
    http::Endpoint endpoint_;
    PeerCounters serverCounters_;
    PeerCounters linkCounters_;
    std::uint64_t lastId_ { 0 };
    int received_ { 0 };
    int cancelled_ { 0 };
    int ended_ { 0 };
    int matched_ { 0 };
    bool doesAnswer_ { true };
    std::vector<transport::SubCallback> kept_;
    std::vector<wire::RemoteStatus> statuses_;
    std::optional<base::Error> lastError_;
    PeerServer server_;
    std::shared_ptr<PeerLink> link_;
};

} // namespace

Test(PeerLink, matchesEachResultToItsRequest)
{
    runtime::FiberThread thread("test");
    const int matched = thread.call([&] {
        auto* pair = new Pair(thread.io(), 18101); // fibers refer to it until the process ends
        for (transport::SubRequestId id = 1; id <= 200; ++id)
            pair->submit(id);
        pair->waitUntilEnded(200);
        return pair->matched_;
    });
    cr_expect_eq(matched, 200);
}

Test(PeerLink, collectsRequestsIntoFewFrames)
{
    runtime::FiberThread thread("test");
    const std::uint64_t frames = thread.call([&] {
        auto* pair = new Pair(thread.io(), 18102);
        for (transport::SubRequestId id = 1; id <= 200; ++id)
            pair->submit(id);
        pair->waitUntilEnded(200);
        return pair->linkCounters_.framesSent;
    });
    cr_expect_leq(frames, 10u);
}

Test(PeerLink, saysNotRunWhenTheHomeCannotBeReached)
{
    runtime::FiberThread thread("test");
    const auto error = thread.call([&] {
        auto* pair = new Pair(thread.io(), 18103);
        pair->link_ = std::make_shared<PeerLink>(thread.io(),
            http::Endpoint(boost::asio::ip::make_address("127.0.0.1"), 1), Identity, pair->linkCounters_,
            PeerLink::Hooks { Pair::now, Pair::random, [](const wire::RemoteStatus&) {} });
        pair->link_->start();
        pair->submit(1);
        pair->waitUntilEnded(1);
        return pair->lastError_;
    });
    cr_assert(error.has_value());
    cr_expect_eq(error->runState, base::RunState::NotRun);
}

Test(PeerLink, saysUnknownWhenTheConnectionIsLostAfterSending)
{
    runtime::FiberThread thread("test");
    const auto error = thread.call([&] {
        auto* pair = new Pair(thread.io(), 18104);
        pair->doesAnswer_ = false;
        pair->submit(1, milliseconds(60'000));
        while (pair->received_ == 0)
            sleepFor(thread.io(), milliseconds(1));
        pair->link_->close();
        pair->waitUntilEnded(1);
        return pair->lastError_;
    });
    cr_assert(error.has_value());
    cr_expect_eq(error->runState, base::RunState::Unknown);
}

Test(PeerLink, passesCancelsOn)
{
    runtime::FiberThread thread("test");
    const int cancelled = thread.call([&] {
        auto* pair = new Pair(thread.io(), 18105);
        pair->doesAnswer_ = false;
        pair->submit(1);
        while (pair->received_ == 0)
            sleepFor(thread.io(), milliseconds(1));
        pair->link_->cancel(1, "u");
        for (int round = 0; round < 1000 && pair->cancelled_ == 0; ++round)
            sleepFor(thread.io(), milliseconds(1));
        return pair->cancelled_;
    });
    cr_expect_eq(cancelled, 1);
}

Test(PeerLink, keepsASlowHomeThatSendsHeartbeats)
{
    runtime::FiberThread thread("test");
    const int ended = thread.call([&] {
        auto* pair = new Pair(thread.io(), 18106);
        pair->doesAnswer_ = false;
        pair->submit(1, milliseconds(10'000));
        for (int round = 0; round < 150; ++round) {
            sleepFor(thread.io(), milliseconds(10));
            pair->server_.sweep();
            pair->link_->sweep();
        }
        return pair->ended_;
    });
    cr_expect_eq(ended, 0);
}

Test(PeerLink, dropsASilentConnection)
{
    runtime::FiberThread thread("test");
    const int ended = thread.call([&] {
        auto* pair = new Pair(thread.io(), 18107);
        pair->doesAnswer_ = false;
        pair->submit(1, milliseconds(60'000));
        // The home sends nothing, as its sweep is not called.
        for (int round = 0; round < 400 && pair->ended_ == 0; ++round) {
            sleepFor(thread.io(), milliseconds(10));
            pair->link_->sweep();
        }
        return pair->ended_;
    });
    cr_expect_eq(ended, 1);
}

Test(PeerLink, receivesWantedStatuses)
{
    runtime::FiberThread thread("test");
    const std::size_t statuses = thread.call([&] {
        auto* pair = new Pair(thread.io(), 18108);
        pair->link_->wantStatuses({ "u", "v" });
        for (int round = 0; round < 1000 && pair->statuses_.size() < 2; ++round)
            sleepFor(thread.io(), milliseconds(1));
        pair->server_.publishStatus({ "v", {} });
        pair->server_.publishStatus({ "unwanted", {} });
        for (int round = 0; round < 1000 && pair->statuses_.size() < 3; ++round)
            sleepFor(thread.io(), milliseconds(1));
        return pair->statuses_.size();
    });
    cr_expect_eq(statuses, 3u);
}

Test(AskIssuer, bringsTheAnswerOfTheIssuingProcess)
{
    runtime::FiberThread thread("test");
    const auto [body, stateOfRestarted, stateOfLost] = thread.call([&] {
        auto* pair = new Pair(thread.io(), 18114);
        const wire::IdentityRequest request { 1, { "POST", "/r", "", "body", "i" }, "c", milliseconds(500) };
        const auto answer = askIssuer(thread.io(), pair->endpoint_, 1, Identity, pair->linkCounters_, 7, request);
        const auto restarted = askIssuer(thread.io(), pair->endpoint_, 2, Identity, pair->linkCounters_, 7, request);
        const http::Endpoint nowhere(boost::asio::ip::make_address("127.0.0.1"), 1);
        const auto lost = askIssuer(thread.io(), nowhere, 1, Identity, pair->linkCounters_, 7, request);
        return std::tuple(answer ? answer->body : "", restarted.error().runState, lost.error().runState);
    });
    cr_expect_eq(body, "body");
    cr_expect_eq(stateOfRestarted, base::RunState::Unknown);
    cr_expect_eq(stateOfLost, base::RunState::Unknown);
}

Test(PeerServer, refusesStrangersAndNonsenseAndGoesOnServing)
{
    runtime::FiberThread thread("test");
    const auto [refused, matched] = thread.call([&] {
        auto* pair = new Pair(thread.io(), 18109);
        auto* stranger = new Pair(thread.io(), 18110, Stranger);
        stranger->submit(1);
        stranger->waitUntilEnded(1);
        std::mt19937_64 random(5);
        for (int round = 0; round < 1000; ++round) {
            boost::asio::ip::tcp::socket socket(thread.io());
            boost::system::error_code error;
            socket.async_connect(pair->endpoint_, useFiber[error]);
            std::string bytes(1 + random() % 100, '\0');
            for (char& byte : bytes)
                byte = static_cast<char>(random());
            boost::asio::async_write(socket, boost::asio::buffer(bytes), useFiber[error]);
        }
        pair->submit(1);
        pair->waitUntilEnded(1);
        return std::pair(stranger->serverCounters_.refused + pair->serverCounters_.refused, pair->matched_);
    });
    cr_expect_gt(refused, 1u);
    cr_expect_eq(matched, 1);
}

Test(FleetTransport, carriesMessagesAndRefusesOthers)
{
    runtime::FiberThread thread("test");
    const auto [received, refused] = thread.call([&] {
        auto* received = new int(0);
        const http::Endpoint first(boost::asio::ip::make_address("127.0.0.1"), 18111);
        const http::Endpoint second(boost::asio::ip::make_address("127.0.0.1"), 18112);
        auto* sender = new FleetTransport(
            thread.io(), Identity, [](const fleet::FleetMessage&) {}, Pair::random);
        auto* stranger = new FleetTransport(
            thread.io(), Stranger, [](const fleet::FleetMessage&) {}, Pair::random);
        auto* receiver = new FleetTransport(
            thread.io(), Identity, [received](const fleet::FleetMessage&) { ++*received; }, Pair::random);
        sender->listen(first);
        stranger->listen({ boost::asio::ip::make_address("127.0.0.1"), 18113 });
        receiver->listen(second);
        const fleet::NodeInfo node = Identity.self;
        for (FleetTransport* from : { sender, stranger }) {
            std::vector<fleet::FleetOutgoing> outgoing;
            outgoing.push_back({ http::toString(second), fleet::Ping { 1, node, {}, {} } });
            outgoing.push_back({ http::toString(second), fleet::ClaimMessage { node, { "u" } } });
            from->send(outgoing);
        }
        sleepFor(thread.io(), milliseconds(300));
        return std::pair(*received, receiver->counters().refused);
    });
    cr_expect_eq(received, 2);
    cr_expect_geq(refused, 2u);
}
