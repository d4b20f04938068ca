#include "traffic/trafficthread.h"

#include "http/client.h"
#include "runtime/sleep.h"
#include "traffic/internal/trafficstate.h"

namespace flamingousher::traffic {

namespace {

    constexpr std::chrono::milliseconds SweepInterval { 5 };

} // namespace

TrafficThread::TrafficThread(const settings::DaemonSettings& settings, const peers::PeerIdentity& identity,
    std::uint32_t index, CrashListener onCrash)
    : thread_("traffic-" + std::to_string(index))
    , settings_(settings)
    , identity_(identity)
    , index_(index)
    , state_(thread_.call([&] { return std::make_unique<State>(thread_.io(), identity_, index, std::move(onCrash)); }))
{
    thread_.post([this] { runSweep(); });
}

TrafficThread::~TrafficThread()
{
    thread_.stop();
    // Fibers of the stopped thread still refer to the state, so it is leaked. The process is about to exit.
    static_cast<void>(state_.release());
}

tl::expected<void, std::string> TrafficThread::listen()
{
    http::Endpoint peers = settings_.peers;
    peers.port(static_cast<std::uint16_t>(peers.port() + 1 + index_));
    const auto failed = [](const char* what, const http::Endpoint& endpoint, const boost::system::error_code& error) {
        return tl::unexpected(std::string(what) + " " + http::toString(endpoint) + ": " + error.message());
    };
    const auto peersError = thread_.call([&] { return state_->peerServer.listen(peers); });
    if (peersError)
        return failed("peers' port", peers, peersError);
    const bool isShared = settings_.trafficThreads > 1;
    const auto callersError = thread_.call([&] { return state_->server.listen(settings_.callers, isShared); });
    if (callersError)
        return failed("callers' port", settings_.callers, callersError);
    return {};
}

void TrafficThread::runSweep()
{
    for (;;) {
        runtime::sleepFor(thread_.io(), SweepInterval);
        state_->sweep();
    }
}

void TrafficThread::applyTables(const std::shared_ptr<const tables::Tables>& tables)
{
    thread_.call([&] { state_->applyTables(tables); });
}

void TrafficThread::applyOwnership(const std::shared_ptr<const OwnershipView>& view)
{
    thread_.call([&] { state_->applyOwnership(view); });
}

std::set<std::string> TrafficThread::closingUpstreams()
{
    return thread_.call([this] { return state_->ownedUpstreams.closingUpstreams(); });
}

void TrafficThread::mergeCrashRecord(const quarantine::CrashRecord& record, base::TimePoint changedAt)
{
    thread_.post([this, record, changedAt] { state_->context.quarantine.merge(record, changedAt); });
}

bool TrafficThread::isReady()
{
    return thread_.call([this] { return state_->isReady(); });
}

std::string TrafficThread::describeState()
{
    return thread_.call([this] { return state_->describe(); });
}

metrics::Snapshot TrafficThread::metrics()
{
    return thread_.call([this] { return state_->collectMetrics(); });
}

std::optional<accounts::RequestRecord> TrafficThread::findRecord(const std::string& requestId)
{
    return thread_.call([&] { return state_->context.records.find(requestId); });
}

void TrafficThread::beginShutdown()
{
    thread_.call([this] { state_->server.beginShutdown(); });
}

bool TrafficThread::areCallersIdle()
{
    return thread_.call([this] { return state_->server.isIdle(); });
}

bool TrafficThread::areUpstreamsIdle()
{
    return thread_.call([this] { return state_->ownedUpstreams.isIdle(); });
}

} // namespace flamingousher::traffic
