#include "traffic/internal/activequery.h"

#include "runtime/fiberthread.h"

#include <criterion/criterion.h>

using namespace flamingousher;
using namespace flamingousher::traffic;

namespace {

// An upstream that serves one shard, and a query whose sub-requests are answered by the test.
struct Harness {
    explicit Harness(boost::asio::io_context& io)
        : context(io, "boot", "127.0.0.1:1", 1, 7)
        , request(context, {}, "127.0.0.1:2", { .target = std::chrono::seconds(20) })
    {
        tables::Upstream upstream;
        upstream.name = "u";
        upstream.address = "127.0.0.1";
        upstream.port = 1;
        id = context.directory.idOf(upstream);
        pool.catalog.setServed(id, { { 42, 0, 1 } });
        context.dispatcher.submit = [this](const transport::SubRequest& sent, transport::SubCallback callback) {
            onSent(sent, std::move(callback));
        };
        context.dispatcher.cancel = [](query::SubRequestId, query::UpstreamId) {};
    }

    query::QueryOutcome run()
    {
        const query::QuerySpec spec { .deadline = request.deadline(), .allowsHedging = false };
        return std::make_shared<ActiveQuery>(context, pool, request, spec, "text", 1)->run();
    }

    TrafficContext context;
    PoolState pool;
    CallerRequest request;
    query::UpstreamId id { 0 };
    std::function<void(const transport::SubRequest&, transport::SubCallback)> onSent;
};

} // namespace

Test(ActiveQuery, removesOnlyTheVersionThatIsNotServed)
{
    runtime::FiberThread thread("test");
    const auto [version, served] = thread.call([&] {
        Harness harness(thread.io());
        harness.onSent = [&](const transport::SubRequest& sent, const transport::SubCallback& callback) {
            const query::ServedShard target = std::get<transport::SearchCall>(sent.call).target;
            if (target.version == 42) {
                // The upstream switches to version 43 while the sub-request is in flight.
                harness.pool.catalog.setServed(harness.id, { { 42, 0, 1 }, { 43, 0, 1 } });
                callback({ tl::unexpected(base::Error {
                    base::ErrorCode::VersionNotServed, base::Step::Receive, "u", {}, base::RunState::NotRun }) });
                return;
            }
            callback({ query::SubAnswer { target, {} } });
        };
        const query::QueryOutcome outcome = harness.run();
        return std::pair(outcome.error ? 0 : outcome.version, harness.pool.catalog.servedBy(harness.id));
    });
    cr_expect_eq(version, 43u);
    cr_expect(served == std::vector<query::ServedShard>({ { 43, 0, 1 } }));
}
