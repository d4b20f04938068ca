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

// An upstream that can block its responses, and a link to it, on one thread.
class LinkFixture {
public:
    LinkFixture(boost::asio::io_context& io, std::uint16_t port)
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
                now, [](UpstreamId, const UpstreamStatus&) {}, [this](UpstreamId, const SubRequest&) { ++crashes_; } });
    }

    void submit(SubRequestId id, milliseconds lifetime = milliseconds(20'000))
    {
        SubRequest request;
        request.id = id;
        request.deadline = now() + lifetime;
        request.call = SearchCall { { 1, 0, 1 }, "text", 10 };
        link_->submit(std::move(request), [this](SubResult result) {
            ++finished_;
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

    bool waitUntilFinished(int count)
    {
        return waitUntil([&] { return finished_ >= count; });
    }

    boost::asio::io_context& io_;
    tables::Upstream upstream_;
    std::unique_ptr<http::Server> server_;
    std::shared_ptr<UpstreamLink> link_;
    bool isSearchBlocked_ { false };
    bool isStatusBlocked_ { false };
    int statusRequests_ { 0 };
    int running_ { 0 };
    int maxRunning_ { 0 };
    int finished_ { 0 };
    int answered_ { 0 };
    int crashes_ { 0 };
    std::optional<base::Error> lastError_;

private:
    http::Response respond(const http::Request& request)
    {
        if (request.target() == StatusPath) {
            ++statusRequests_;
            waitUntil([this] { return !isStatusBlocked_; });
            return http::makeJsonResponse(
                request, http::Status::ok, encodeStatus(UpstreamStatus { false, 0, { { 1, 0, 1 } } }));
        }
        if (request.target().starts_with(RequestsPath))
            return http::makeJsonResponse(request, http::Status::not_found, "{}");
        maxRunning_ = std::max(maxRunning_, ++running_);
        waitUntil([this] { return !isSearchBlocked_; });
        --running_;
        return http::makeJsonResponse(
            request, http::Status::ok, encodeSearchAnswer(query::SubAnswer { { 1, 0, 1 }, {} }));
    }
};

} // namespace

Test(UpstreamLink, answersAllSubRequestsOfRepeatedBursts)
{
    runtime::FiberThread thread("test");
    const int answered = thread.call([&] {
        auto* fixture = new LinkFixture(thread.io(), 18201); // never freed: fibers use it until the process exits
        for (int burst = 0; burst < 30; ++burst) {
            for (int index = 0; index < 5; ++index)
                fixture->submit(static_cast<SubRequestId>(burst) * 5 + index + 1);
            if (!fixture->waitUntilFinished(5 * (burst + 1)))
                break;
        }
        return fixture->answered_;
    });
    cr_expect_eq(answered, 150);
}

Test(UpstreamLink, respectsSlotAndConnectionLimits)
{
    runtime::FiberThread thread("test");
    const auto [maxRunning, connections] = thread.call([&] {
        auto* fixture = new LinkFixture(thread.io(), 18202);
        fixture->link_->start();
        fixture->isSearchBlocked_ = true;
        for (SubRequestId id = 1; id <= 40; ++id)
            fixture->submit(id);
        fixture->waitUntil([&] { return fixture->running_ == Slots; });
        fixture->isSearchBlocked_ = false;
        fixture->waitUntilFinished(40);
        return std::pair(fixture->maxRunning_, fixture->link_->connectionCount());
    });
    cr_expect_eq(maxRunning, int { Slots }, "%d ran concurrently", maxRunning);
    cr_expect_leq(connections, std::size_t { ConnectionLimit });
}

Test(UpstreamLink, replacesUnresponsiveConnectionAndReportsUnknown)
{
    runtime::FiberThread thread("test");
    const auto [first, dropped, answered] = thread.call([&] {
        auto* fixture = new LinkFixture(thread.io(), 18203);
        fixture->isSearchBlocked_ = true; // the upstream never responds and reports the request as unknown when probed
        fixture->submit(1);
        fixture->waitUntil([&] {
            fixture->link_->sweep();
            return fixture->finished_ == 1;
        });
        const auto first = fixture->lastError_;
        fixture->isSearchBlocked_ = false;
        fixture->submit(2);
        fixture->waitUntilFinished(2);
        return std::tuple(first, fixture->link_->counters().silentDropped, fixture->answered_);
    });
    cr_assert(first.has_value());
    cr_expect_eq(first->code, ErrorCode::ConnectionLost);
    cr_expect_eq(first->runState, RunState::Unknown);
    cr_expect_geq(dropped, 1u);
    cr_expect_eq(answered, 1);
}

Test(UpstreamLink, rejectsQueuedAndFinishesRunningWorkOnShutdown)
{
    runtime::FiberThread thread("test");
    const auto [rejected, error, answered, connections] = thread.call([&] {
        auto* fixture = new LinkFixture(thread.io(), 18204);
        fixture->isSearchBlocked_ = true;
        for (SubRequestId id = 1; id <= 5; ++id)
            fixture->submit(id);
        fixture->waitUntil([&] { return fixture->running_ == Slots; });
        fixture->link_->beginShutdown();
        const int rejected = fixture->finished_;
        const auto error = fixture->lastError_;
        fixture->isSearchBlocked_ = false;
        fixture->waitUntil([&] { return fixture->link_->isIdle() && fixture->link_->connectionCount() == 0; });
        return std::tuple(rejected, error, fixture->answered_, fixture->link_->connectionCount());
    });
    cr_expect_eq(rejected, 2);
    cr_assert(error.has_value());
    cr_expect_eq(error->runState, RunState::NotRun);
    cr_expect_eq(answered, int { Slots });
    cr_expect_eq(connections, 0u);
}

Test(UpstreamLink, closesConnectionUsedByStatusRequestDuringShutdown)
{
    runtime::FiberThread thread("test");
    const std::size_t connections = thread.call([&] {
        auto* fixture = new LinkFixture(thread.io(), 18205);
        fixture->submit(1);
        fixture->waitUntilFinished(1);
        fixture->waitUntil([&] { return fixture->link_->connectionCount() == Slots + 1; });
        runtime::sleepFor(thread.io(), milliseconds(50));
        fixture->isStatusBlocked_ = true;
        fixture->link_->start();
        fixture->waitUntil([&] { return fixture->statusRequests_ == 1; });
        fixture->link_->beginShutdown();
        fixture->isStatusBlocked_ = false;
        fixture->waitUntil([&] { return fixture->link_->connectionCount() == 0; });
        return fixture->link_->connectionCount();
    });
    cr_expect_eq(connections, 0u);
}

Test(UpstreamLink, reportsNotRunWhenNothingListens)
{
    runtime::FiberThread thread("test");
    const auto [error, crashes] = thread.call([&] {
        auto* fixture = new LinkFixture(thread.io(), 18206);
        fixture->server_.reset(); // closes the listening socket
        fixture->submit(1);
        fixture->waitUntilFinished(1);
        return std::pair(fixture->lastError_, fixture->crashes_);
    });
    cr_assert(error.has_value());
    cr_expect_eq(error->code, ErrorCode::Unreachable);
    cr_expect_eq(error->runState, RunState::NotRun);
    cr_expect_eq(crashes, 0);
}

// The sockets of a dying process are closed one by one, and the listening socket may be the last.
Test(UpstreamLink, seesACrashWhoseListenerClosesLast)
{
    runtime::FiberThread thread("test");
    const auto [error, crashes] = thread.call([&] {
        auto* fixture = new LinkFixture(thread.io(), 18208);
        const http::Endpoint endpoint = fixture->server_->localEndpoint();
        fixture->server_.reset();
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
        fixture->submit(1);
        fixture->waitUntilFinished(1);
        return std::pair(fixture->lastError_, fixture->crashes_);
    });
    cr_assert(error.has_value());
    cr_expect_eq(error->code, ErrorCode::UpstreamCrashed);
    cr_expect_eq(crashes, 1);
}
