#include "http/server.h"
#include "runtime/fiberthread.h"
#include "runtime/listen.h"
#include "runtime/sleep.h"
#include "runtime/usefiber.h"
#include "transport/upstreamlink.h"

#include <criterion/criterion.h>

using namespace flamingousher;
using namespace flamingousher::transport;
using base::ErrorCode;
using base::RunState;
using std::chrono::milliseconds;

namespace {

constexpr std::uint32_t Slots = 3;
constexpr std::uint32_t ConnectionLimit = 8;

base::TimePoint now()
{
    return std::chrono::steady_clock::now();
}

// An upstream whose searches wait while it is held, and a link to it, on one thread.
class Pair {
public:
    Pair(boost::asio::io_context& io, std::uint16_t port)
        : io_(io)
        , server_(std::make_unique<http::Server>(io, http::ServerLimits {},
              [this](const http::Request& request, http::Exchange&) { return respond(request); }))
    {
        upstream_.name = "u";
        upstream_.address = "127.0.0.1";
        upstream_.port = port;
        upstream_.slots = Slots;
        upstream_.connections = ConnectionLimit;
        server_->listen(http::Endpoint(boost::asio::ip::make_address(upstream_.address), port));
        link_ = std::make_shared<UpstreamLink>(io, 0, upstream_, upstreams::QueueSettings { Slots }, "boot",
            LinkHooks {
                now, [](UpstreamId, const UpstreamStatus&) {}, [this](UpstreamId, std::uint64_t) { ++crashes_; } });
    }

    void submit(SubRequestId id, milliseconds lifetime = milliseconds(20'000))
    {
        SubRequest request;
        request.id = id;
        request.deadline = now() + lifetime;
        request.call = SearchCall { { 1, 0, 1 }, "text", 10 };
        link_->submit(std::move(request), [this](SubResult result) {
            ++ended_;
            answered_ += result.value ? 1 : 0;
            if (!result.value)
                lastError_ = result.value.error();
        });
    }

    bool waitUntil(const std::function<bool()>& isDone)
    {
        for (int round = 0; round < 10'000 && !isDone(); ++round)
            runtime::sleepFor(io_, milliseconds(1));
        return isDone();
    }

    bool waitUntilEnded(int count)
    {
        return waitUntil([&] { return ended_ >= count; });
    }

    boost::asio::io_context& io_;
    tables::Upstream upstream_;
    std::unique_ptr<http::Server> server_;
    std::shared_ptr<UpstreamLink> link_;
    bool isHeld_ { false };
    bool isStatusHeld_ { false };
    int statusCalls_ { 0 };
    int running_ { 0 };
    int mostRunning_ { 0 };
    int ended_ { 0 };
    int answered_ { 0 };
    int crashes_ { 0 };
    std::optional<base::Error> lastError_;

private:
    http::Response respond(const http::Request& request)
    {
        if (request.target() == StatusPath) {
            ++statusCalls_;
            waitUntil([this] { return !isStatusHeld_; });
            return http::makeJsonResponse(
                request, http::Status::ok, encodeStatus(UpstreamStatus { false, 0, { { 1, 0, 1 } } }));
        }
        if (request.target().starts_with(RequestsPath))
            return http::makeJsonResponse(request, http::Status::not_found, "{}");
        mostRunning_ = std::max(mostRunning_, ++running_);
        waitUntil([this] { return !isHeld_; });
        --running_;
        return http::makeJsonResponse(
            request, http::Status::ok, encodeSearchAnswer(query::SubAnswer { { 1, 0, 1 }, {} }));
    }
};

} // namespace

Test(UpstreamLink, answersEverySubRequestOfManyBursts)
{
    runtime::FiberThread thread("test");
    const int answered = thread.call([&] {
        auto* pair = new Pair(thread.io(), 18201); // fibers refer to it until the process ends
        for (int burst = 0; burst < 30; ++burst) {
            for (int index = 0; index < 5; ++index)
                pair->submit(static_cast<SubRequestId>(burst) * 5 + index + 1);
            if (!pair->waitUntilEnded(5 * (burst + 1)))
                break;
        }
        return pair->answered_;
    });
    cr_expect_eq(answered, 150);
}

Test(UpstreamLink, staysWithinSlotsAndConnections)
{
    runtime::FiberThread thread("test");
    const auto [mostRunning, connections] = thread.call([&] {
        auto* pair = new Pair(thread.io(), 18202);
        pair->link_->start();
        pair->isHeld_ = true;
        for (SubRequestId id = 1; id <= 40; ++id)
            pair->submit(id);
        pair->waitUntil([&] { return pair->running_ == Slots; });
        pair->isHeld_ = false;
        pair->waitUntilEnded(40);
        return std::pair(pair->mostRunning_, pair->link_->connectionCount());
    });
    cr_expect_eq(mostRunning, int { Slots }, "%d ran at once", mostRunning);
    cr_expect_leq(connections, std::size_t { ConnectionLimit });
}

Test(UpstreamLink, replacesASilentConnectionAndSaysUnknown)
{
    runtime::FiberThread thread("test");
    const auto [first, dropped, answered] = thread.call([&] {
        auto* pair = new Pair(thread.io(), 18203);
        pair->isHeld_ = true; // the upstream never answers, and does not know the request when asked
        pair->submit(1);
        pair->waitUntil([&] {
            pair->link_->sweep();
            return pair->ended_ == 1;
        });
        const auto first = pair->lastError_;
        pair->isHeld_ = false;
        pair->submit(2);
        pair->waitUntilEnded(2);
        return std::tuple(first, pair->link_->counters().silentDropped, pair->answered_);
    });
    cr_assert(first.has_value());
    cr_expect_eq(first->code, ErrorCode::ConnectionLost);
    cr_expect_eq(first->runState, RunState::Unknown);
    cr_expect_geq(dropped, 1u);
    cr_expect_eq(answered, 1);
}

Test(UpstreamLink, handsBackWaitingWorkAndEndsRunningWorkOnShutdown)
{
    runtime::FiberThread thread("test");
    const auto [handedBack, error, answered, connections] = thread.call([&] {
        auto* pair = new Pair(thread.io(), 18204);
        pair->isHeld_ = true;
        for (SubRequestId id = 1; id <= 5; ++id)
            pair->submit(id);
        pair->waitUntil([&] { return pair->running_ == Slots; });
        pair->link_->beginShutdown();
        const int handedBack = pair->ended_;
        const auto error = pair->lastError_;
        pair->isHeld_ = false;
        pair->waitUntil([&] { return pair->link_->isIdle() && pair->link_->connectionCount() == 0; });
        return std::tuple(handedBack, error, pair->answered_, pair->link_->connectionCount());
    });
    cr_expect_eq(handedBack, 2);
    cr_assert(error.has_value());
    cr_expect_eq(error->runState, RunState::NotRun);
    cr_expect_eq(answered, int { Slots });
    cr_expect_eq(connections, 0u);
}

Test(UpstreamLink, closesAConnectionThatAStatusCallHoldsDuringShutdown)
{
    runtime::FiberThread thread("test");
    const std::size_t connections = thread.call([&] {
        auto* pair = new Pair(thread.io(), 18205);
        pair->submit(1);
        pair->waitUntilEnded(1);
        pair->waitUntil([&] { return pair->link_->connectionCount() == Slots + 1; });
        runtime::sleepFor(thread.io(), milliseconds(50));
        pair->isStatusHeld_ = true;
        pair->link_->start();
        pair->waitUntil([&] { return pair->statusCalls_ == 1; });
        pair->link_->beginShutdown();
        pair->isStatusHeld_ = false;
        pair->waitUntil([&] { return pair->link_->connectionCount() == 0; });
        return pair->link_->connectionCount();
    });
    cr_expect_eq(connections, 0u);
}

Test(UpstreamLink, saysNotRunWhenNothingListens)
{
    runtime::FiberThread thread("test");
    const auto [error, crashes] = thread.call([&] {
        auto* pair = new Pair(thread.io(), 18206);
        pair->server_.reset(); // nothing listens any more
        pair->submit(1);
        pair->waitUntilEnded(1);
        return std::pair(pair->lastError_, pair->crashes_);
    });
    cr_assert(error.has_value());
    cr_expect_eq(error->code, ErrorCode::Unreachable);
    cr_expect_eq(error->runState, RunState::NotRun);
    cr_expect_eq(crashes, 0);
}

// The sockets of a process that dies are closed one after the other, the one that listens perhaps last.
Test(UpstreamLink, seesACrashWhoseListenerClosesLast)
{
    runtime::FiberThread thread("test");
    const auto [error, crashes] = thread.call([&] {
        auto* pair = new Pair(thread.io(), 18208);
        const http::Endpoint endpoint = pair->server_->localEndpoint();
        pair->server_.reset();
        auto* acceptor = new boost::asio::ip::tcp::acceptor(thread.io());
        runtime::listenOn(*acceptor, endpoint);
        runtime::spawnFiber([&thread, acceptor] {
            bool isDying = false;
            runtime::acceptEach(*acceptor, [&](boost::asio::ip::tcp::socket socket) {
                char bytes[4096];
                boost::system::error_code ignored;
                socket.async_read_some(boost::asio::buffer(bytes), runtime::useFiber[ignored]);
                if (!std::exchange(isDying, true)) {
                    runtime::spawnFiber([&thread, acceptor] {
                        runtime::sleepFor(thread.io(), milliseconds(8));
                        boost::system::error_code error;
                        acceptor->close(error);
                    });
                }
            });
        });
        pair->submit(1);
        pair->waitUntilEnded(1);
        return std::pair(pair->lastError_, pair->crashes_);
    });
    cr_assert(error.has_value());
    cr_expect_eq(error->code, ErrorCode::UpstreamCrashed);
    cr_expect_eq(crashes, 1);
}
