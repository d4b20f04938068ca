#include "control/configurationwatcher.h"

#include "http/server.h"
#include "runtime/fiberthread.h"
#include "runtime/sleep.h"

#include <criterion/criterion.h>

#include <vector>

using namespace flamingousher;
using namespace flamingousher::control;
using std::chrono::milliseconds;

namespace {

// A configuration service that responds with the body set by the test, and a watcher polling it, on one thread.
class Harness {
public:
    Harness(boost::asio::io_context& io, std::uint16_t port)
        : io_(io)
        , endpoint_(boost::asio::ip::make_address("127.0.0.1"), port)
        , server_(io, http::ServerLimits {},
              [this](const http::Request& request, http::Exchange&) { return respond(request); })
        , watcher_(
              io, endpoint_, [this](const PublishedTables& tables) { receivedRevisions_.push_back(tables.revision); })
    {
        server_.listen(endpoint_);
    }

    void start()
    {
        runtime::spawnFiber([this] { watcher_.run(); });
    }

    bool waitUntil(const std::function<bool()>& isDone)
    {
        for (int round = 0; round < 10'000 && !isDone(); ++round)
            runtime::sleepFor(io_, milliseconds(1));
        return isDone();
    }

    // Sets the body and waits until the watcher has received it at least once.
    void serve(const std::string& body)
    {
        body_ = body;
        const std::uint64_t before = responseCount_;
        waitUntil([&] { return responseCount_ >= before + 2; });
    }

    static std::string tables(int revision)
    {
        return R"({"revision":)" + std::to_string(revision) + R"(,"routes":"","pools":""})";
    }

    boost::asio::io_context& io_;
    http::Endpoint endpoint_;
    std::string body_;
    std::uint64_t responseCount_ { 0 };
    std::vector<tables::Revision> receivedRevisions_;
    http::Server server_;
    ConfigurationWatcher watcher_;

private:
    http::Response respond(const http::Request& request)
    {
        ++responseCount_;
        return http::makeJsonResponse(request, http::Status::ok, body_);
    }
};

const std::vector<tables::Revision> noRevisions;

} // namespace

Test(ConfigurationWatcher, reportsEachNewRevisionOnce)
{
    runtime::FiberThread thread("test");
    const auto revisions = thread.call([&] {
        auto* harness = new Harness(thread.io(), 18301); // fibers refer to it until the process ends
        harness->start();
        harness->serve(Harness::tables(3));
        harness->serve(Harness::tables(5));
        return harness->receivedRevisions_;
    });
    cr_expect(revisions == std::vector<tables::Revision>({ 3, 5 }));
}

Test(ConfigurationWatcher, doesNotReportOlderRevision)
{
    runtime::FiberThread thread("test");
    const auto [revisions, staleReads] = thread.call([&] {
        auto* harness = new Harness(thread.io(), 18302);
        harness->watcher_.setKnownRevision(7); // learned from a peer
        harness->start();
        harness->serve(Harness::tables(6));
        return std::pair(harness->receivedRevisions_, harness->watcher_.counters().staleReads);
    });
    cr_expect(revisions == noRevisions);
    cr_expect_geq(staleReads, 1u);
}

Test(ConfigurationWatcher, countsMalformedResponsesAsFailures)
{
    std::uint16_t port = 18310;
    for (const char* body : { "", "nonsense", "[]", R"({"revision":"9","routes":"","pools":""})",
             R"({"revision":-9,"routes":"","pools":""})", R"({"revision":9,"routes":""})" }) {
        runtime::FiberThread thread("test");
        const auto [revisions, failures, hasAnswered] = thread.call([&] {
            auto* harness = new Harness(thread.io(), port++);
            harness->start();
            harness->serve(body);
            harness->watcher_.stop();
            return std::tuple(
                harness->receivedRevisions_, harness->watcher_.counters().failures, harness->watcher_.hasAnswered());
        });
        cr_expect(revisions == noRevisions, "%s", body);
        cr_expect_geq(failures, 1u, "%s", body);
        cr_expect_not(hasAnswered, "%s", body);
    }
}

Test(ConfigurationWatcher, makesNoCallsWhilePaused)
{
    runtime::FiberThread thread("test");
    const auto [paused, resumed] = thread.call([&] {
        auto* harness = new Harness(thread.io(), 18304);
        harness->body_ = Harness::tables(3);
        harness->watcher_.setPaused(true);
        harness->start();
        runtime::sleepFor(thread.io(), milliseconds(300));
        const std::uint64_t paused = harness->responseCount_;
        harness->watcher_.setPaused(false);
        return std::pair(paused, harness->waitUntil([&] { return harness->receivedRevisions_.size() == 1; }));
    });
    cr_expect_eq(paused, 0u);
    cr_expect(resumed);
}
