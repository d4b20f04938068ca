#include "traffic/trafficthread.h"

#include "runtime/usefiber.h"
#include "traffic/homeset.h"
#include "traffic/requesthandler.h"
#include "traffic/trafficcontext.h"

#include <boost/json.hpp>

#include <algorithm>
#include <random>

namespace flamingousher::traffic {

namespace {

    constexpr std::chrono::milliseconds SweepInterval { 5 };

    HomeSet::Hooks makeHomeHooks(TrafficContext& context)
    {
        return {
            context.now,
            [&context](query::UpstreamId id, const transport::UpstreamStatus& status) {
                PoolState* pool = context.pool(context.directory.at(id).pool);
                if (!pool)
                    return;
                pool->catalog.setServed(id, status.served);
                const bool isListedActive = context.directory.at(id).state == tables::UpstreamState::Active;
                pool->catalog.setUsable(id, !status.isDraining && isListedActive);
                context.chooser.setDraining(id, status.isDraining || !isListedActive);
            },
            [](query::UpstreamId, const std::vector<std::uint64_t>&) {},
            [](const tables::Upstream& upstream) { return upstream; },
        };
    }

} // namespace

struct TrafficThread::State {
    State(boost::asio::io_context& io, const std::string& incarnation)
        : context(io, incarnation, std::random_device {}())
        , handler(context)
        , homes(io, context.directory, incarnation, makeHomeHooks(context))
        , server(io, {}, [this](const http::Request& request, http::Exchange& exchange) {
            return handler.handle(request, exchange);
        })
    {
        context.dispatcher = {
            [this](transport::SubRequest request, transport::SubCallback callback) {
                if (homes.submit(request, callback))
                    return;
                callback({ tl::unexpected(base::Error { base::ErrorCode::Unreachable, base::Step::Routing, {},
                    "the upstream has no home", base::RunState::NotRun }) });
            },
            [this](query::SubRequestId id, query::UpstreamId upstream) { homes.cancel(id, upstream); },
        };
    }

    void applyPools(const tables::Tables& tables);

    TrafficContext context;
    RequestHandler handler;
    HomeSet homes;
    http::Server server;
};

TrafficThread::TrafficThread(
    const settings::DaemonSettings& settings, const std::string& incarnation, std::uint32_t index)
    : thread_("traffic-" + std::to_string(index))
    , settings_(settings)
    , state_(thread_.call([&] { return std::make_unique<State>(thread_.io(), incarnation); }))
{
    thread_.post([this] { runSweep(); });
}

TrafficThread::~TrafficThread()
{
    thread_.stop();
    // Fibers of the stopped thread still refer to the state; the process is about to end.
    static_cast<void>(state_.release());
}

boost::system::error_code TrafficThread::listen()
{
    return thread_.call([this] { return state_->server.listen(settings_.callers, settings_.trafficThreads > 1); });
}

void TrafficThread::runSweep()
{
    boost::asio::steady_timer timer(thread_.io());
    for (;;) {
        timer.expires_after(SweepInterval);
        boost::system::error_code ignored;
        timer.async_wait(runtime::useFiber[ignored]);
        state_->homes.sweep();
        state_->handler.moveWaiting();
    }
}

void TrafficThread::State::applyPools(const tables::Tables& tables)
{
    std::erase_if(context.pools, [&](const auto& entry) { return !tables.pool(entry.first); });
    for (const tables::Pool& pool : tables.pools) {
        PoolState& state = context.pools[pool.name];
        const std::vector<query::UpstreamId> before = std::exchange(state.upstreams, {});
        state.pool = pool;
        for (const tables::Upstream& upstream : pool.upstreams) {
            const query::UpstreamId id = context.directory.idOf(upstream);
            state.upstreams.push_back(id);
            if (upstream.state == tables::UpstreamState::Draining) {
                state.catalog.setUsable(id, false);
                context.chooser.setDraining(id, true);
            }
        }
        for (query::UpstreamId id : before) {
            if (std::ranges::find(state.upstreams, id) == state.upstreams.end())
                state.catalog.setServed(id, {});
        }
    }
}

void TrafficThread::applyTables(const std::shared_ptr<const tables::Tables>& tables)
{
    thread_.call([&] {
        state_->applyPools(*tables);
        state_->context.tables = tables;
        state_->homes.apply(*tables, [](const tables::Upstream&) { return true; });
    });
}

bool TrafficThread::isReady()
{
    return thread_.call([this] {
        return state_->context.tables && std::ranges::all_of(state_->context.pools, [](const auto& entry) {
            return entry.second.pool.kind == tables::PoolKind::Service || entry.second.catalog.bestPlan();
        });
    });
}

std::string TrafficThread::describeState()
{
    return thread_.call([this] {
        boost::json::array links;
        for (const auto& [id, link] : state_->homes.links()) {
            links.push_back(boost::json::object {
                { "upstream", link->upstream().name },
                { "endpoint", link->upstream().endpoint() },
                { "draining", link->isDraining() },
                { "slots", link->queue().slots() },
                { "running", link->queue().runningCount() },
                { "waiting", link->queue().waitingCount() },
                { "connections", link->connectionCount() },
                { "sent", link->counters().sent },
                { "lost", link->counters().lost },
                { "silent_dropped", link->counters().silentDropped },
                { "ejected", state_->context.chooser.isEjected(id, state_->context.now()) },
            });
        }
        boost::json::array pools;
        for (auto& [name, pool] : state_->context.pools) {
            const auto plan = pool.catalog.bestPlan();
            boost::json::object gates;
            for (base::Rank rank : base::AllRanks) {
                gates[base::toString(rank)] = boost::json::object { { "limit", pool.gate(rank).limit() },
                    { "in_progress", pool.gate(rank).inProgress() }, { "waiting", pool.gate(rank).waiting() } };
            }
            pools.push_back(boost::json::object {
                { "pool", name },
                { "snapshot", plan ? plan->version : 0 },
                { "shards", plan ? plan->replicas.size() : 0 },
                { "hedge_after_ms", base::toMilliseconds(pool.latency.quantile(0.95)) },
                { "gates", std::move(gates) },
            });
        }
        return boost::json::serialize(boost::json::object {
            { "tables_revision", state_->context.tables ? state_->context.tables->revision : 0 },
            { "records", state_->context.records.size() },
            { "pools", std::move(pools) },
            { "upstreams", std::move(links) },
        });
    });
}

metrics::Snapshot TrafficThread::metrics()
{
    return thread_.call([this] {
        metrics::Registry& registry = state_->context.metrics;
        transport::LinkCounters sum;
        for (const auto& [id, link] : state_->homes.links()) {
            sum.sent += link->counters().sent;
            sum.lost += link->counters().lost;
            sum.cancelled += link->counters().cancelled;
            sum.refusedNotRun += link->counters().refusedNotRun;
            sum.silentDropped += link->counters().silentDropped;
            sum.opened += link->counters().opened;
        }
        const auto gauge = [&](const std::string& name, const std::string& help, double value) {
            registry.gauge("flamingousher_" + name, help).set(value);
        };
        gauge(
            "sub_requests_sent", "Sub-requests sent to upstreams that have a link now.", static_cast<double>(sum.sent));
        gauge("sub_requests_lost", "Sub-requests lost with their connection.", static_cast<double>(sum.lost));
        gauge("sub_requests_cancelled", "Sub-requests cancelled.", static_cast<double>(sum.cancelled));
        gauge("sub_requests_refused", "Sub-requests refused before they ran.", static_cast<double>(sum.refusedNotRun));
        gauge("connections_opened", "Connections opened to upstreams.", static_cast<double>(sum.opened));
        gauge("silent_connections_dropped", "Connections dropped as silent.", static_cast<double>(sum.silentDropped));
        const http::ServerCounters& callers = state_->server.counters();
        gauge("caller_connections", "Callers' connections open.", static_cast<double>(callers.open));
        gauge("malformed_requests", "Callers' requests refused as malformed or oversized.",
            static_cast<double>(callers.malformedRequests + callers.oversizedRequests));
        return registry.snapshot();
    });
}

std::optional<accounts::RequestRecord> TrafficThread::findRecord(const std::string& requestId)
{
    return thread_.call([&] { return state_->context.records.find(requestId); });
}

void TrafficThread::beginShutdown()
{
    thread_.call([this] { state_->server.beginShutdown(); });
}

bool TrafficThread::isIdle()
{
    return thread_.call([this] { return state_->server.isIdle() && state_->homes.isIdle(); });
}

} // namespace flamingousher::traffic
