#include "daemon/daemon.h"

#include "daemon/identity.h"
#include "http/client.h"
#include "runtime/sleep.h"

#include <boost/json.hpp>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <csignal>

namespace flamingousher::daemon {

namespace {

    constexpr std::chrono::milliseconds DrainCheckInterval { 10 };

    fleet::NodeInfo makeNode(const settings::DaemonSettings& settings)
    {
        const std::string endpoint = settings.address + ":" + std::to_string(settings.peers.port());
        return { { endpoint, 0 }, settings.zone, settings.region, http::toString(settings.operators),
            settings.trafficThreads };
    }

} // namespace

Daemon::Daemon(settings::DaemonSettings settings)
    : settings_(std::move(settings))
    , identity_(makeIdentity(makeNode(settings_), settings_.peerKey))
    , control_("control")
    , signals_(control_.io(), SIGTERM, SIGINT)
{
    for (std::uint32_t index = 0; index < settings_.trafficThreads; ++index)
        traffic_.push_back(std::make_unique<traffic::TrafficThread>(
            settings_, identity_, index, [this](const quarantine::CrashRecord& record) {
                control_.post([this, record] { fleet_->reportCrash(record); });
            }));
}

tl::expected<void, std::string> Daemon::start()
{
    const auto makeError = [](const std::string& portName, const http::Endpoint& endpoint, const auto& error) {
        return tl::unexpected(portName + " " + http::toString(endpoint) + ": " + error.message());
    };
    control_.call([this] {
        operators_ = std::make_unique<http::Server>(
            control_.io(), http::ServerLimits {}, control::makeOperatorHandler(makeOperatorHooks()));
        fleet_ = std::make_unique<control::FleetController>(control_.io(), settings_, identity_, makeFleetHooks());
    });
    if (const auto error = control_.call([this] { return operators_->listen(settings_.operators); }))
        return makeError("operators' port", settings_.operators, error);
    if (const auto error = control_.call([this] { return fleet_->listen(); }))
        return makeError("peers' port", settings_.peers, error);
    for (const auto& thread : traffic_) {
        if (auto listening = thread->listen(); !listening)
            return listening;
    }
    control_.call([this] { fleet_->start(); });
    spdlog::info("{} started: callers {}, peers {}, operators {}", settings_.name, http::toString(settings_.callers),
        http::toString(settings_.peers), http::toString(settings_.operators));
    return {};
}

control::FleetController::Hooks Daemon::makeFleetHooks()
{
    return {
        [this](const std::shared_ptr<const tables::Tables>& tables) {
            for (const auto& thread : traffic_)
                thread->applyTables(tables);
        },
        [this](const control::FleetController& fleet) { applyOwnership(fleet); },
        [this] { return closingUpstreams(); },
        [this](const quarantine::CrashRecord& record, base::TimePoint changedAt) {
            for (const auto& thread : traffic_)
                thread->mergeCrashRecord(record, changedAt);
        },
    };
}

void Daemon::applyOwnership(const control::FleetController& fleet)
{
    const auto view = std::make_shared<const traffic::OwnershipView>(traffic::OwnershipView {
        fleet.core().ownership().owners(), fleet.servingUpstreams(), fleet.core().visibleNodes(),
        fleet.core().listedNodes(), fleet.core().membership().upNodes(), fleet.leavingAddresses() });
    for (const auto& thread : traffic_)
        thread->applyOwnership(view);
}

std::set<std::string> Daemon::closingUpstreams()
{
    std::set<std::string> closing;
    for (const auto& thread : traffic_)
        closing.merge(thread->closingUpstreams());
    return closing;
}

control::OperatorHooks Daemon::makeOperatorHooks()
{
    return {
        [this] { return stateJson(); },
        [this] { return fleet_->configurationJson(); },
        [this] { return fleet_->peersJson(); },
        [this] { return collectMetrics(); },
        [this] { return isReady(); },
        [this](const std::string& id) { return findRecord(id); },
    };
}

metrics::Snapshot Daemon::collectMetrics()
{
    fleet_->collectMetrics(metrics_);
    metrics::Snapshot snapshot = metrics_.snapshot();
    for (const auto& thread : traffic_)
        snapshot.merge(thread->metrics());
    return snapshot;
}

std::optional<accounts::RequestRecord> Daemon::findRecord(const std::string& id)
{
    for (const auto& thread : traffic_) {
        if (auto record = thread->findRecord(id))
            return record;
    }
    return std::nullopt;
}

bool Daemon::isReady()
{
    return !isStopping_ && fleet_->isReadyToServe()
        && std::ranges::all_of(traffic_, [](const auto& thread) { return thread->isReady(); });
}

std::string Daemon::stateJson()
{
    boost::json::array threads;
    for (const auto& thread : traffic_)
        threads.push_back(boost::json::parse(thread->describeState()));
    return boost::json::serialize(boost::json::object {
        { "node", settings_.name },
        { "zone", settings_.zone },
        { "ready", isReady() },
        { "stopping", isStopping_ },
        { "configuration", boost::json::parse(fleet_->configurationJson()) },
        { "fleet", boost::json::parse(fleet_->peersJson()) },
        { "traffic", std::move(threads) },
    });
}

bool Daemon::runUntilStopped()
{
    control_.call([this] {
        boost::system::error_code ignored;
        signals_.async_wait(runtime::useFiber[ignored]);
    });
    return shutDown();
}

bool Daemon::waitUntil(base::TimePoint deadline, const std::function<bool(traffic::TrafficThread&)>& isDone)
{
    const auto isThreadDone = [&](const auto& thread) { return isDone(*thread); };
    while (!std::ranges::all_of(traffic_, isThreadDone)) {
        if (std::chrono::steady_clock::now() >= deadline)
            return false;
        runtime::sleepFor(control_.io(), DrainCheckInterval);
    }
    return true;
}

// Reports not ready to the load balancer, waits for the requests of callers, hands the owned upstreams over to other
// nodes and then waits for the requests that other nodes have forwarded.
bool Daemon::shutDown()
{
    return control_.call([this] {
        isStopping_ = true;
        spdlog::info("{} is leaving: finishing what is in flight", settings_.name);
        const base::TimePoint deadline
            = std::chrono::steady_clock::now() + std::chrono::milliseconds(settings_.shutdownTimeoutMs);
        runtime::sleepFor(control_.io(), std::chrono::milliseconds(settings_.readinessNoticeMs));
        for (const auto& thread : traffic_)
            thread->beginShutdown();
        const bool didCallersFinish = waitUntil(deadline, [](auto& thread) { return thread.areCallersIdle(); });
        fleet_->leave();
        const bool didForwardedFinish = waitUntil(deadline, [](auto& thread) { return thread.areUpstreamsIdle(); });
        spdlog::info("stopped{}", didCallersFinish && didForwardedFinish ? "" : ": the shutdown timeout passed");
        return didCallersFinish && didForwardedFinish;
    });
}

} // namespace flamingousher::daemon
