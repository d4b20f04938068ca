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

// A configuration service that answers with what the test sets, and a watcher of it, on one thread.
class Pair {
public:
    Pair(boost::asio::io_context& io, std::uint16_t port)
        : io_(io)
        , endpoint_(boost::asio::ip::make_address("127.0.0.1"), port)
        , server_(io, http::ServerLimits {},
              [this](const http::Request& request, http::Exchange&) { return respond(request); })
        , watcher_(io, endpoint_, [this](const PublishedTables& tables) { heard_.push_back(tables.revision); })
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

    // Lets the watcher see the body at least once.
    void show(const std::string& body)
    {
        body_ = body;
        const std::uint64_t before = answers_;
        waitUntil([&] { return answers_ >= before + 2; });
    }

    static std::string tables(int revision)
    {
        return R"({"revision":)" + std::to_string(revision) + R"(,"routes":"","pools":""})";
    }

    boost::asio::io_context& io_;
    http::Endpoint endpoint_;
    std::string body_;
    std::uint64_t answers_ { 0 };
    std::vector<tables::Revision> heard_;
    http::Server server_;
    ConfigurationWatcher watcher_;

private:
    http::Response respond(const http::Request& request)
    {
        ++answers_;
        return http::makeJsonResponse(request, http::Status::ok, body_);
    }
};

const std::vector<tables::Revision> none;

} // namespace

Test(ConfigurationWatcher, tellsOfEachNewRevisionOnce)
{
    runtime::FiberThread thread("test");
    const auto heard = thread.call([&] {
        auto* pair = new Pair(thread.io(), 18301); // fibers refer to it until the process ends
        pair->start();
        pair->show(Pair::tables(3));
        pair->show(Pair::tables(5));
        return pair->heard_;
    });
    cr_expect(heard == std::vector<tables::Revision>({ 3, 5 }));
}

Test(ConfigurationWatcher, doesNotTellOfAnOlderRevision)
{
    runtime::FiberThread thread("test");
    const auto [heard, staleReads] = thread.call([&] {
        auto* pair = new Pair(thread.io(), 18302);
        pair->watcher_.setKnownRevision(7); // heard of from a peer
        pair->start();
        pair->show(Pair::tables(6));
        return std::pair(pair->heard_, pair->watcher_.counters().staleReads);
    });
    cr_expect(heard == none);
    cr_expect_geq(staleReads, 1u);
}

Test(ConfigurationWatcher, takesNonsenseForAFailure)
{
    std::uint16_t port = 18310;
    for (const char* body : { "", "nonsense", "[]", R"({"revision":"9","routes":"","pools":""})",
             R"({"revision":-9,"routes":"","pools":""})", R"({"revision":9,"routes":""})" }) {
        runtime::FiberThread thread("test");
        const auto [heard, failures, didAnswer] = thread.call([&] {
            auto* pair = new Pair(thread.io(), port++);
            pair->start();
            pair->show(body);
            pair->watcher_.stop();
            return std::tuple(pair->heard_, pair->watcher_.counters().failures, pair->watcher_.didAnswer());
        });
        cr_expect(heard == none, "%s", body);
        cr_expect_geq(failures, 1u, "%s", body);
        cr_expect_not(didAnswer, "%s", body);
    }
}

Test(ConfigurationWatcher, makesNoCallsWhilePaused)
{
    runtime::FiberThread thread("test");
    const auto [paused, resumed] = thread.call([&] {
        auto* pair = new Pair(thread.io(), 18304);
        pair->body_ = Pair::tables(3);
        pair->watcher_.setPaused(true);
        pair->start();
        runtime::sleepFor(thread.io(), milliseconds(300));
        const std::uint64_t paused = pair->answers_;
        pair->watcher_.setPaused(false);
        return std::pair(paused, pair->waitUntil([&] { return pair->heard_.size() == 1; }));
    });
    cr_expect_eq(paused, 0u);
    cr_expect(resumed);
}
