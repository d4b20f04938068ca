#include "traffic/ownedupstreams.h"

#include "http/server.h"
#include "runtime/fiberthread.h"
#include "runtime/sleep.h"
#include "transport/upstreamprotocol.h"

#include <criterion/criterion.h>

using namespace flamingousher;
using namespace flamingousher::traffic;
using base::Rank;
using std::chrono::milliseconds;

namespace {

tables::Tables makeTables(std::uint16_t port)
{
    tables::Tables tables;
    tables::Pool pool;
    pool.name = "slings";
    for (const char* name : { "own", "foreign" }) {
        tables::Upstream upstream;
        upstream.name = name;
        upstream.pool = pool.name;
        upstream.address = "127.0.0.1";
        upstream.port = port;
        upstream.slots = 2;
        upstream.connections = 8;
        pool.upstreams.push_back(upstream);
    }
    tables.pools.push_back(pool);
    for (const Rank rank : { Rank::Urgent, Rank::Urgent, Rank::Background }) {
        tables::Route route;
        route.pool = pool.name;
        route.rank = rank;
        route.share = 0.25;
        tables.routes.push_back(route);
    }
    return tables;
}

// A searcher stand-in that can delay its responses, and the upstreams that a thread owns, on that thread.
class Fixture {
public:
    Fixture(boost::asio::io_context& io, std::uint16_t port)
        : io_(io)
        , tables_(makeTables(port))
        , server_(io, http::ServerLimits {},
              [this](const http::Request& request, http::Exchange&) { return respond(request); })
        , ownedUpstreams_(io, directory_, "boot",
              { [] { return std::chrono::steady_clock::now(); },
                  [](query::UpstreamId, const transport::UpstreamStatus&) {},
                  [](query::UpstreamId, const transport::SubRequest&) {},
                  [](const tables::Upstream& upstream) { return upstream; } })
    {
        server_.listen(http::Endpoint(boost::asio::ip::make_address("127.0.0.1"), port));
    }

    void setOwned(const std::string& name)
    {
        ownedUpstreams_.apply(tables_, [&](const tables::Upstream& upstream) { return upstream.name == name; });
    }

    query::UpstreamId idOf(std::size_t index) { return directory_.idOf(tables_.pools[0].upstreams[index]); }

    bool submit(query::UpstreamId upstream)
    {
        transport::SubRequest request;
        request.id = ++lastId_;
        request.upstream = upstream;
        request.deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        request.call = transport::SearchCall { { 1, 0, 1 }, "text", 10 };
        transport::SubCallback callback
            = [this](const transport::SubResult& result) { answered_ += result.value ? 1 : 0; };
        return ownedUpstreams_.submit(request, callback);
    }

    bool waitUntil(const std::function<bool()>& isDone)
    {
        for (int round = 0; round < 10'000 && !isDone(); ++round)
            runtime::sleepFor(io_, milliseconds(1));
        return isDone();
    }

    boost::asio::io_context& io_;
    tables::Tables tables_;
    transport::UpstreamDirectory directory_;
    http::Server server_;
    OwnedUpstreams ownedUpstreams_;
    bool isBlocked_ { false };
    int running_ { 0 };
    int answered_ { 0 };
    query::SubRequestId lastId_ { 0 };

private:
    http::Response respond(const http::Request& request)
    {
        if (request.target() == transport::StatusPath) {
            return http::makeJsonResponse(request, http::Status::ok,
                transport::encodeStatus(transport::UpstreamStatus { false, 0, { { 1, 0, 1 } } }));
        }
        ++running_;
        waitUntil([this] { return !isBlocked_; });
        return http::makeJsonResponse(
            request, http::Status::ok, transport::encodeSearchAnswer(query::SubAnswer { { 1, 0, 1 }, {} }));
    }
};

} // namespace

Test(OwnedUpstreams, sumsTheSharesOfRoutesByRank)
{
    const auto minShares = minSharesOf(makeTables(1), "slings");
    cr_expect_eq(minShares[base::indexOf(Rank::Urgent)], 0.5);
    cr_expect_eq(minShares[base::indexOf(Rank::Normal)], 0.0);
    cr_expect_eq(minShares[base::indexOf(Rank::Background)], 0.25);
    cr_expect_eq(minSharesOf(makeTables(1), "cartons")[base::indexOf(Rank::Urgent)], 0.0);
}

Test(OwnedUpstreams, acceptsWorkForOwnedUpstreamsOnly)
{
    runtime::FiberThread thread("test");
    const auto [own, foreign, answered] = thread.call([&] {
        auto* fixture = new Fixture(thread.io(), 18401); // leaked: fibers refer to it until the process exits
        fixture->setOwned("own");
        const bool own = fixture->submit(fixture->idOf(0));
        const bool foreign = fixture->submit(fixture->idOf(1));
        fixture->waitUntil([&] { return fixture->answered_ == 1; });
        return std::tuple(own, foreign, fixture->answered_);
    });
    cr_expect(own);
    cr_expect_not(foreign);
    cr_expect_eq(answered, 1);
}

Test(OwnedUpstreams, finishesWorkInFlightBeforeClosingAnUpstream)
{
    runtime::FiberThread thread("test");
    const auto [closing, accepted, answered, closedLater] = thread.call([&] {
        auto* fixture = new Fixture(thread.io(), 18402);
        fixture->setOwned("own");
        fixture->isBlocked_ = true;
        fixture->submit(fixture->idOf(0));
        fixture->waitUntil([&] { return fixture->running_ == 1; });
        fixture->setOwned("foreign");
        const auto closing = fixture->ownedUpstreams_.closingUpstreams();
        const bool accepted = fixture->submit(fixture->idOf(0));
        fixture->isBlocked_ = false;
        fixture->waitUntil([&] {
            fixture->ownedUpstreams_.sweep();
            return fixture->ownedUpstreams_.closingUpstreams().empty();
        });
        return std::tuple(closing, accepted, fixture->answered_, fixture->ownedUpstreams_.closingUpstreams().empty());
    });
    cr_expect(closing == std::set<std::string>({ "own" }));
    cr_expect_not(accepted);
    cr_expect_eq(answered, 1);
    cr_expect(closedLater);
}
