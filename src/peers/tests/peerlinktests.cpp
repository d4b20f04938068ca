#include "http/client.h"
#include "peers/fleettransport.h"
#include "peers/forwardtoissuer.h"
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
const PeerIdentity ForeignIdentity { { { "127.0.0.1:2", 2 }, "a", "r", "", 1 }, "another-key-entirely" };

void sleepFor(boost::asio::io_context& io, milliseconds duration)
{
    boost::asio::steady_timer timer(io, duration);
    timer.async_wait(useFiber);
}

// A server that answers each sub-request with its text, and a link to it, on one thread.
class PeerFixture {
public:
    PeerFixture(boost::asio::io_context& io, std::uint16_t port, const PeerIdentity& caller = Identity)
        : io_(io)
        , endpoint_(boost::asio::ip::make_address("127.0.0.1"), port)
        , server_(io, Identity, serverCounters_,
              { now, random, [this] { return ++lastId_; },
                  [this](wire::RemoteRequest request, transport::SubCallback callback) {
                      ++received_;
                      if (isAnswering_) {
                          const auto& call = std::get<transport::SearchCall>(request.request.call);
                          callback({ query::SubAnswer { call.target, { { call.text, "", 1 } } } });
                      } else {
                          unansweredCallbacks_.push_back(std::move(callback));
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
            ++finished_;
            if (result.value)
                matched_ += std::get<query::SubAnswer>(*result.value).hits[0].id == "text" + std::to_string(id) ? 1 : 0;
            else
                lastError_ = result.value.error();
        });
    }

    bool waitUntilFinished(int count)
    {
        for (int round = 0; round < 4000 && finished_ < count; ++round)
            sleepFor(io_, milliseconds(1));
        return finished_ >= count;
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
    int finished_ { 0 };
    int matched_ { 0 };
    bool isAnswering_ { true };
    std::vector<transport::SubCallback> unansweredCallbacks_;
    std::vector<wire::RemoteStatus> statuses_;
    std::optional<base::Error> lastError_;
    PeerServer server_;
    std::shared_ptr<PeerLink> link_;
};

} // namespace

Test(PeerLink, matchesResultsToRequests)
{
    runtime::FiberThread thread("test");
    const int matched = thread.call([&] {
        auto* fixture = new PeerFixture(thread.io(), 18101); // never freed: fibers use it until the process exits
        for (transport::SubRequestId id = 1; id <= 200; ++id)
            fixture->submit(id);
        fixture->waitUntilFinished(200);
        return fixture->matched_;
    });
    cr_expect_eq(matched, 200);
}

Test(PeerLink, batchesRequestsIntoFewFrames)
{
    runtime::FiberThread thread("test");
    const std::uint64_t frames = thread.call([&] {
        auto* fixture = new PeerFixture(thread.io(), 18102);
        for (transport::SubRequestId id = 1; id <= 200; ++id)
            fixture->submit(id);
        fixture->waitUntilFinished(200);
        return fixture->linkCounters_.framesSent;
    });
    cr_expect_leq(frames, 10u);
}

Test(PeerLink, reportsNotRunWhenPeerIsUnreachable)
{
    runtime::FiberThread thread("test");
    const auto error = thread.call([&] {
        auto* fixture = new PeerFixture(thread.io(), 18103);
        fixture->link_ = std::make_shared<PeerLink>(thread.io(),
            http::Endpoint(boost::asio::ip::make_address("127.0.0.1"), 1), Identity, fixture->linkCounters_,
            PeerLink::Hooks { PeerFixture::now, PeerFixture::random, [](const wire::RemoteStatus&) {} });
        fixture->link_->start();
        fixture->submit(1);
        fixture->waitUntilFinished(1);
        return fixture->lastError_;
    });
    cr_assert(error.has_value());
    cr_expect_eq(error->runState, base::RunState::NotRun);
}

Test(PeerLink, reportsUnknownWhenConnectionIsLostAfterSending)
{
    runtime::FiberThread thread("test");
    const auto error = thread.call([&] {
        auto* fixture = new PeerFixture(thread.io(), 18104);
        fixture->isAnswering_ = false;
        fixture->submit(1, milliseconds(60'000));
        while (fixture->received_ == 0)
            sleepFor(thread.io(), milliseconds(1));
        fixture->link_->close();
        fixture->waitUntilFinished(1);
        return fixture->lastError_;
    });
    cr_assert(error.has_value());
    cr_expect_eq(error->runState, base::RunState::Unknown);
}

Test(PeerLink, forwardsCancels)
{
    runtime::FiberThread thread("test");
    const int cancelled = thread.call([&] {
        auto* fixture = new PeerFixture(thread.io(), 18105);
        fixture->isAnswering_ = false;
        fixture->submit(1);
        while (fixture->received_ == 0)
            sleepFor(thread.io(), milliseconds(1));
        fixture->link_->cancel(1, "u");
        for (int round = 0; round < 1000 && fixture->cancelled_ == 0; ++round)
            sleepFor(thread.io(), milliseconds(1));
        return fixture->cancelled_;
    });
    cr_expect_eq(cancelled, 1);
}

Test(PeerLink, keepsConnectionToSlowPeerThatSendsHeartbeats)
{
    runtime::FiberThread thread("test");
    const int finished = thread.call([&] {
        auto* fixture = new PeerFixture(thread.io(), 18106);
        fixture->isAnswering_ = false;
        fixture->submit(1, milliseconds(10'000));
        for (int round = 0; round < 150; ++round) {
            sleepFor(thread.io(), milliseconds(10));
            fixture->server_.sweep();
            fixture->link_->sweep();
        }
        return fixture->finished_;
    });
    cr_expect_eq(finished, 0);
}

Test(PeerLink, dropsUnresponsiveConnection)
{
    runtime::FiberThread thread("test");
    const int finished = thread.call([&] {
        auto* fixture = new PeerFixture(thread.io(), 18107);
        fixture->isAnswering_ = false;
        fixture->submit(1, milliseconds(60'000));
        // The server sends no heartbeats because its sweep() is not called.
        for (int round = 0; round < 400 && fixture->finished_ == 0; ++round) {
            sleepFor(thread.io(), milliseconds(10));
            fixture->link_->sweep();
        }
        return fixture->finished_;
    });
    cr_expect_eq(finished, 1);
}

Test(PeerLink, receivesSubscribedStatuses)
{
    runtime::FiberThread thread("test");
    const std::size_t statuses = thread.call([&] {
        auto* fixture = new PeerFixture(thread.io(), 18108);
        fixture->link_->subscribeToStatuses({ "u", "v" });
        for (int round = 0; round < 1000 && fixture->statuses_.size() < 2; ++round)
            sleepFor(thread.io(), milliseconds(1));
        fixture->server_.publishStatus({ "v", {} });
        fixture->server_.publishStatus({ "unsubscribed", {} });
        for (int round = 0; round < 1000 && fixture->statuses_.size() < 3; ++round)
            sleepFor(thread.io(), milliseconds(1));
        return fixture->statuses_.size();
    });
    cr_expect_eq(statuses, 3u);
}

Test(ForwardToIssuer, returnsAnswerOfIssuingProcess)
{
    runtime::FiberThread thread("test");
    const auto [body, stateOfRestarted, stateOfUnreachable] = thread.call([&] {
        auto* fixture = new PeerFixture(thread.io(), 18114);
        const wire::IdentityRequest request { 1, { "POST", "/r", "", "body", "i" }, "c", milliseconds(500) };
        const auto answer
            = forwardToIssuer(thread.io(), fixture->endpoint_, 1, Identity, fixture->linkCounters_, 7, request);
        const auto restarted
            = forwardToIssuer(thread.io(), fixture->endpoint_, 2, Identity, fixture->linkCounters_, 7, request);
        const http::Endpoint unusedEndpoint(boost::asio::ip::make_address("127.0.0.1"), 1);
        const auto unreachable
            = forwardToIssuer(thread.io(), unusedEndpoint, 1, Identity, fixture->linkCounters_, 7, request);
        return std::tuple(answer ? answer->body : "", restarted.error().runState, unreachable.error().runState);
    });
    cr_expect_eq(body, "body");
    cr_expect_eq(stateOfRestarted, base::RunState::Unknown);
    cr_expect_eq(stateOfUnreachable, base::RunState::Unknown);
}

Test(PeerServer, refusesForeignPeersAndGarbageAndKeepsServing)
{
    runtime::FiberThread thread("test");
    const auto [refused, matched] = thread.call([&] {
        auto* fixture = new PeerFixture(thread.io(), 18109);
        auto* foreign = new PeerFixture(thread.io(), 18110, ForeignIdentity);
        foreign->submit(1);
        foreign->waitUntilFinished(1);
        std::mt19937_64 random(5);
        for (int round = 0; round < 1000; ++round) {
            boost::asio::ip::tcp::socket socket(thread.io());
            boost::system::error_code error;
            socket.async_connect(fixture->endpoint_, useFiber[error]);
            std::string bytes(1 + random() % 100, '\0');
            for (char& byte : bytes)
                byte = static_cast<char>(random());
            boost::asio::async_write(socket, boost::asio::buffer(bytes), useFiber[error]);
        }
        fixture->submit(1);
        fixture->waitUntilFinished(1);
        return std::pair(foreign->serverCounters_.refused + fixture->serverCounters_.refused, fixture->matched_);
    });
    cr_expect_gt(refused, 1u);
    cr_expect_eq(matched, 1);
}

Test(FleetTransport, deliversMessagesAndRefusesUnauthenticatedOnes)
{
    runtime::FiberThread thread("test");
    const auto [received, refused] = thread.call([&] {
        auto* received = new int(0);
        const http::Endpoint first(boost::asio::ip::make_address("127.0.0.1"), 18111);
        const http::Endpoint second(boost::asio::ip::make_address("127.0.0.1"), 18112);
        auto* sender = new FleetTransport(
            thread.io(), Identity, [](const fleet::FleetMessage&) {}, PeerFixture::random);
        auto* foreign = new FleetTransport(
            thread.io(), ForeignIdentity, [](const fleet::FleetMessage&) {}, PeerFixture::random);
        auto* receiver = new FleetTransport(
            thread.io(), Identity, [received](const fleet::FleetMessage&) { ++*received; }, PeerFixture::random);
        sender->listen(first);
        foreign->listen({ boost::asio::ip::make_address("127.0.0.1"), 18113 });
        receiver->listen(second);
        const fleet::NodeInfo node = Identity.self;
        for (FleetTransport* from : { sender, foreign }) {
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
