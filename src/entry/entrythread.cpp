#include "entry/entrythread.h"

#include "entry/internal/entrystate.h"
#include "entry/internal/requesthandler.h"
#include "http/client.h"
#include "http/errorguard.h"
#include "http/server.h"
#include "runtime/sleep.h"

#include <boost/json.hpp>

namespace flamingousher::entry {

namespace {

    // Max delay until timed-out attempts are cancelled and missing connections are reopened.
    constexpr std::chrono::milliseconds SweepInterval { 50 };

    constexpr std::size_t DelegationHeaderBytes = 1'024; // of the fields added to a delegated request
    constexpr std::chrono::hours DelegationIdleTimeout { 1 };

    // Parts of the process's descriptors. The rest is for upstreams, delegates, operators and files.
    constexpr double CallersPart = 0.45;
    constexpr double DelegationPart = 0.2;

    http::ServerLimits makeServerLimits(const routing::CallerLimits& callerLimits, std::size_t descriptors)
    {
        http::ServerLimits limits;
        limits.headerBytes = callerLimits.headerBytes;
        limits.bodyBytes = callerLimits.bodyBytes;
        limits.idleTimeout = callerLimits.idleTimeout;
        limits.connections = static_cast<std::size_t>(CallersPart * static_cast<double>(descriptors));
        return limits;
    }

    // Connections of other VMs are kept open: the kernel's keepalive probes of the other side detect lost ones.
    http::ServerLimits makeDelegationLimits(const routing::CallerLimits& callerLimits, std::size_t descriptors)
    {
        http::ServerLimits limits = makeServerLimits(callerLimits, descriptors);
        limits.headerBytes += DelegationHeaderBytes;
        limits.idleTimeout = DelegationIdleTimeout;
        limits.connections = static_cast<std::size_t>(DelegationPart * static_cast<double>(descriptors));
        return limits;
    }

} // namespace

struct EntryThread::State {
    State(boost::asio::io_context& io, const EntrySettings& settings, const CallerProtocol& callers,
        const upstreamclient::UpstreamProtocol& upstreams, std::function<void(const std::string&)> writeLog,
        std::function<void(const quarantine::CrashRecord&)> reportCrash)
        : shared(io, settings, callers, upstreams, std::move(writeLog), std::move(reportCrash))
        , handler(shared)
        , server(io, makeServerLimits({}, settings.descriptors),
              guard([this](const http::Request& request, http::Exchange& exchange) {
                  http::Response response = handler.handle(request, exchange);
                  // Makes the caller send its next request to another VM.
                  if (shared.shutdown)
                      response.keep_alive(false);
                  return response;
              }),
              chargeTo("callers"))
        , delegationServer(io, makeDelegationLimits({}, settings.descriptors),
              guard([this](const http::Request& request, http::Exchange& exchange) {
                  return handler.handleDelegated(request, exchange);
              }),
              chargeTo("delegating VMs"))
    {
    }

    // Counts the connections of a server and their requests against the memory of the VM.
    http::OpenByteCharge chargeTo(const std::string& owner)
    {
        return [this, owner](std::function<void()> evict) {
            const auto charge = std::make_shared<balancing::MemoryBudget::Charge>();
            const auto evictLogged = [this, owner, evict = std::move(evict)] {
                if (shared.log.hasTokens())
                    shared.log.writeDecision("connection_evicted",
                        { { "of", owner }, { "held_bytes", shared.memory.used() },
                            { "limit_bytes", shared.memory.limit() } });
                evict();
            };
            *charge = shared.memory.open(owner, evictLogged, balancing::MemoryBudget::Order::OldestFirst);
            return http::ByteCharge { [charge](std::size_t bytes) { charge->resize(bytes); },
                [charge, evictLogged](bool isEvictable) {
                    charge->setEvict(isEvictable ? std::function<void()>(evictLogged) : nullptr);
                } };
        };
    }

    http::Handler guard(http::Handler handler)
    {
        return http::guardErrors(std::move(handler),
            [this](const http::Request& request, const http::Exchange& exchange, const std::exception& exception) {
                shared.metrics
                    .counter("flamingousher_unexpected_errors_total", "Requests ended by unexpected errors.", {})
                    .add();
                shared.log.writeDecision("unexpected_error",
                    { { "peer", exchange.peer }, { "target", std::string(request.target()) },
                        { "reason", exception.what() } });
            });
    }

    EntryState shared;
    RequestHandler handler;
    http::Server server; // of callers
    http::Server delegationServer; // of other VMs
};

EntryThread::EntryThread(const EntrySettings& settings, const CallerProtocol& callers,
    const upstreamclient::UpstreamProtocol& upstreams, std::function<void(const std::string&)> writeLog,
    std::function<void(const quarantine::CrashRecord&)> reportCrash, std::function<void(bool areLost)> reportLinks)
    : thread_("entry")
    , settings_(settings)
    , state_(thread_.call([&] {
        auto state = std::make_unique<State>(
            thread_.io(), settings, callers, upstreams, std::move(writeLog), std::move(reportCrash));
        state->shared.directory.onLinksChanged = std::move(reportLinks);
        return state;
    }))
{
    thread_.post([this] { runSweep(); });
}

EntryThread::~EntryThread()
{
    thread_.stop();
    // Leaked on purpose: fibers of the stopped thread still refer to the state, and the process is about to exit.
    static_cast<void>(state_.release());
}

tl::expected<void, std::string> EntryThread::listen()
{
    const auto error = thread_.call([&] { return state_->server.listen(settings_.callers); });
    if (error)
        return tl::unexpected("callers' port " + http::toString(settings_.callers) + ": " + error.message());
    if (!settings_.fanouts)
        return {};
    if (const auto failure = thread_.call([&] { return state_->delegationServer.listen(*settings_.fanouts); }))
        return tl::unexpected("fan-outs' port " + http::toString(*settings_.fanouts) + ": " + failure.message());
    return {};
}

http::Endpoint EntryThread::callersEndpoint()
{
    return thread_.call([this] { return state_->server.localEndpoint(); });
}

http::Endpoint EntryThread::fanoutsEndpoint()
{
    return thread_.call([this] { return state_->delegationServer.localEndpoint(); });
}

void EntryThread::runSweep()
{
    EntryState& shared = state_->shared;
    for (;;) {
        const base::TimePoint due = shared.now() + SweepInterval;
        runtime::sleepFor(thread_.io(), SweepInterval);
        shared.schedulingDelay = std::max(base::Duration::zero(), shared.now() - due);
        shared.directory.sweep();
        shared.delegates.sweep();
    }
}

void EntryThread::applyRoutes(std::shared_ptr<const routing::RouteTable> routes)
{
    thread_.call([&] {
        const routing::CallerLimits& limits = routes->configuration().limits;
        state_->server.setLimits(makeServerLimits(limits, settings_.descriptors));
        state_->delegationServer.setLimits(makeDelegationLimits(limits, settings_.descriptors));
        state_->shared.applyRoutes(routes);
    });
}

void EntryThread::applyUpstreams(std::vector<discovery::DiscoveredUpstream> upstreams)
{
    thread_.call([&] {
        state_->shared.directory.apply(upstreams);
        state_->shared.updateDelegates();
    });
}

void EntryThread::applyFleet(std::vector<fleet::NodeInfo> vms, const fleet::NodeInfo& self)
{
    thread_.call([&] {
        state_->shared.directory.setFleet(vms, self);
        state_->shared.updateDelegates();
    });
}

void EntryThread::applyUnlinked(std::vector<fleet::NodeId> vms)
{
    thread_.call([&] {
        state_->shared.directory.setUnlinked(std::move(vms));
        state_->shared.updateDelegates();
    });
}

void EntryThread::applyFirstMembers(std::vector<fleet::NodeInfo> vms, const fleet::NodeInfo& self)
{
    thread_.call([&] {
        state_->shared.directory.setFirstMembers(vms, self);
        state_->shared.updateDelegates();
    });
}

void EntryThread::mergeCrashRecord(const quarantine::CrashRecord& record, base::TimePoint changedAt)
{
    thread_.post([this, record, changedAt] {
        if (state_->shared.quarantine.merge(record, changedAt))
            state_->shared.logCrashRecord(record, "heard");
    });
}

void EntryThread::beginShutdown(const ShutdownTimes& times)
{
    thread_.call([&] { state_->shared.shutdown = times; });
}

void EntryThread::closeListener()
{
    thread_.call([this] {
        state_->server.beginShutdown();
        state_->delegationServer.beginShutdown();
    });
}

void EntryThread::endRequests()
{
    thread_.call([this] {
        for (ActiveRequest* request : std::set(state_->shared.activeRequests))
            request->expire();
    });
}

bool EntryThread::isIdle()
{
    return thread_.call([this] { return state_->server.isIdle() && state_->delegationServer.isIdle(); });
}

std::string EntryThread::describeState()
{
    return thread_.call([this] {
        EntryState& shared = state_->shared;
        boost::json::array upstreams;
        for (const auto& [name, id] : shared.directory.published()) {
            const auto& pool = shared.directory.pool(id);
            upstreams.push_back(boost::json::object { { "upstream", name },
                { "service", shared.directory.entry(id).service }, { "endpoint", shared.directory.entry(id).endpoint },
                { "draining", shared.directory.entry(id).isDraining }, { "connections", pool.connectionCount() },
                { "reachable", pool.isReachable() }, { "reach", toString(pool.reach()) },
                { "room", pool.hasCapacity() }, { "paused", shared.directory.pacer(id).isPaused(shared.now()) },
                { "limit_per_s", shared.directory.pacer(id).rate().value_or(0) },
                { "warming_up", shared.directory.pacer(id).isWarmingUp(shared.now()) },
                { "learned_limit", shared.directory.concurrency(id).value() },
                { "in_flight", shared.directory.selector().inFlight(id) },
                { "slowness", shared.directory.selector().slowness(id, shared.now()) },
                { "failure_rate", shared.directory.selector().failureRate(id, shared.now()) } });
        }
        return boost::json::serialize(boost::json::object {
            { "version", shared.routes ? shared.routes->configuration().version : 0 },
            { "records", shared.records.size() },
            { "upstreams", std::move(upstreams) },
        });
    });
}

metrics::Snapshot EntryThread::metrics()
{
    return thread_.call([this] {
        EntryState& shared = state_->shared;
        const auto counters = shared.directory.counters();
        const auto gauge = [&](const std::string& name, const std::string& help, auto value) {
            shared.metrics.gauge("flamingousher_" + name, help).set(static_cast<double>(value));
        };
        gauge("upstreams", "Number of published upstreams.", shared.directory.upstreamCount());
        const auto reach = shared.directory.countReach();
        gauge("upstreams_reached", "Upstreams to which a connection is established.", reach.reached);
        gauge("upstreams_unreached", "Upstreams to which no connection can be opened.", reach.unreached);
        gauge("upstream_connections", "Open connections to upstreams.", shared.directory.connectionCount());
        gauge("attempts_sent", "Attempts sent to upstreams.", counters.sent);
        gauge("attempts_lost", "Attempts lost because their connection was lost.", counters.lost);
        gauge("attempts_invalid", "Attempts ended by bytes that are no valid response.", counters.invalid);
        gauge("response_errors", "Connections to upstreams closed by an unexpected error in handling a response.",
            counters.unexpectedErrors);
        gauge("attempts_broken_off", "Attempts cancelled because no response arrived in time.", counters.aborted);
        gauge("connections_opened", "Connections opened to upstreams.", counters.opened);
        gauge("connections_failed", "Connections to upstreams that failed to open.", counters.openFailed);
        gauge("connections_refused", "Connections reset by an upstream at its connection limit.",
            counters.refusedAtLimit);
        gauge("silent_connections_dropped", "Idle connections closed because the upstream had stopped responding.",
            counters.silentDropped);
        gauge("upstream_crashes", "Times that an upstream ended while it may have run attempts of this VM.",
            counters.crashed);
        gauge("suspected_requests", "Requests under which upstreams have ended, without a response since.",
            shared.quarantine.suspectedCount());
        gauge("quarantined_requests", "Requests in quarantine because they crash upstreams.",
            shared.quarantine.quarantinedCount(shared.now()));
        gauge("responses_evicted", "Attempts and connections ended because this VM held too many bytes.",
            shared.memory.evictions());
        gauge("response_bytes",
            "Bytes held of responses, and of connections of callers and other VMs with their requests.",
            shared.memory.used());
        gauge("response_bytes_limit", "Limit of response_bytes.", shared.memory.limit());
        gauge("connections_evicted", "Connections of callers and other VMs closed to make room for others.",
            state_->server.counters().evictedConnections + state_->delegationServer.counters().evictedConnections);
        gauge("unmatched_answers", "Responses that match no pending request.", counters.unmatched);
        gauge("caller_connections", "Open connections from callers.", state_->server.counters().open);
        gauge("malformed_requests", "Requests of callers rejected as malformed or oversized.",
            state_->server.counters().malformedRequests + state_->server.counters().oversizedRequests);
        gauge("log_lines_dropped", "Log lines dropped by the rate limit.", shared.log.dropped());
        return shared.metrics.snapshot();
    });
}

std::optional<accounts::RequestRecord> EntryThread::findRecord(const std::string& requestId)
{
    return thread_.call([&] { return state_->shared.records.find(requestId); });
}

} // namespace flamingousher::entry
