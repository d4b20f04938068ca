#include "daemon/vmdaemon.h"

#include "daemon/identity.h"
#include "http/client.h"
#include "http/errorguard.h"
#include "platform/callerprotocol.h"
#include "platform/readiness.h"
#include "platform/upstreamprotocol.h"
#include "runtime/sleep.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cmath>
#include <csignal>
#include <random>

#include <sys/resource.h>

namespace flamingousher::daemon {

namespace {

    constexpr std::chrono::milliseconds TickInterval { 250 };

    // The load balancer probes once a second and stops opening connections after two failed probes.
    constexpr std::chrono::milliseconds BalancerNoticeTime { 2'300 };

    // Reserved for process exit within the time between SIGTERM and SIGKILL.
    constexpr std::chrono::milliseconds ExitMargin { 300 };

    constexpr std::chrono::milliseconds DrainCheckInterval { 20 };

    // For the last answers of a planned stop to reach their callers.
    constexpr std::chrono::milliseconds LastAnswerMargin { 100 };

    // When another VM announces a newer revision and the current source does not deliver it within this time, this VM
    // switches to the announcing VM as its source.
    constexpr std::chrono::milliseconds CatchUpTimeout { 300 };

    constexpr double BytesPerMb = 1e6;

    // Parts of the process's descriptors. Other VMs read the store's contents at the operators' port.
    constexpr double ReadinessPart = 0.02;
    constexpr double OperatorsPart = 0.1;

    fleet::NodeInfo makeNode(const settings::VmSettings& settings)
    {
        return { { http::toString(settings.gossip), 0 }, settings.zone, settings.region,
            http::toString(settings.operators), 1, settings.fanouts ? http::toString(*settings.fanouts) : std::string(),
            static_cast<std::uint32_t>(std::lround(settings.processor * 1'000)) };
    }

    // The kernel's limit holds also where the settings state a higher one.
    std::size_t descriptorLimit(const settings::VmSettings& settings)
    {
        rlimit kernel {};
        if (::getrlimit(RLIMIT_NOFILE, &kernel) != 0 || kernel.rlim_cur == RLIM_INFINITY)
            return settings.maxDescriptors > 0 ? settings.maxDescriptors : entry::EntrySettings {}.descriptors;
        const auto limit = static_cast<std::size_t>(kernel.rlim_cur);
        return settings.maxDescriptors > 0 ? std::min<std::size_t>(limit, settings.maxDescriptors) : limit;
    }

    // These ports are for requests without a body. Theirs is a thread of its own, so the limits of each connection and
    // their number bound what is held.
    http::ServerLimits makeControlLimits(std::size_t descriptors, double part)
    {
        constexpr std::size_t MinConnections = 8;
        http::ServerLimits limits;
        limits.bodyBytes = 4 * 1024;
        limits.connections
            = std::max(MinConnections, static_cast<std::size_t>(part * static_cast<double>(descriptors)));
        return limits;
    }

    entry::EntrySettings makeEntrySettings(const settings::VmSettings& settings)
    {
        entry::EntrySettings entry;
        entry.zone = settings.zone;
        entry.region = settings.region;
        entry.regions = settings.regions;
        entry.callers = settings.callers;
        entry.fanouts = settings.fanouts;
        entry.memoryBytes = static_cast<std::size_t>(settings.memoryMb * BytesPerMb);
        entry.descriptors = descriptorLimit(settings);
        entry.warmUpFactor = settings.warmUpFactor;
        entry.warmUpSlack = settings.warmUpSlack;
        entry.retryRatio = settings.retryRatio;
        entry.retrySlack = settings.retrySlack;
        entry.retryWindow = settings.retryWindow;
        return entry;
    }

} // namespace

VmDaemon::VmDaemon(settings::VmSettings settings, std::string settingsFile)
    : settings_(std::move(settings))
    , settingsFile_(std::move(settingsFile))
    , writeLog_(eventlog::makeStandardOutputWriter())
    , control_("control")
    , log_({}, { [] { return std::chrono::steady_clock::now(); }, writeLog_ })
    , entry_(
          makeEntrySettings(settings_), platform::makeCallerProtocol(), platform::makeUpstreamProtocol(), writeLog_,
          [this](const quarantine::CrashRecord& record) {
              control_.post([this, record] { fleet_->reportCrash(record); });
          },
          [this](bool areLinksLost) { control_.post([this, areLinksLost] { fleet_->setUnlinked(areLinksLost); }); })
    , identity_(makeIdentity(makeNode(settings_), settings_.peerKey))
    , sources_(http::toString(settings_.store))
    , signals_(control_.io(), SIGTERM, SIGINT, SIGHUP)
{
}

tl::expected<void, std::string> VmDaemon::start()
{
    control_.call([this] {
        controller_ = std::make_unique<control::DirectController>(log_,
            control::DirectController::Hooks { [] { return std::chrono::steady_clock::now(); },
                [this](std::shared_ptr<const routing::RouteTable> routes) { entry_.applyRoutes(std::move(routes)); },
                [this](std::vector<discovery::DiscoveredUpstream> upstreams) {
                    entry_.applyUpstreams(std::move(upstreams));
                } });
        fleet_ = std::make_unique<control::FleetMember>(control_.io(), identity_, makeFleetHooks());
        fleet_->setSeeds(settings_.seeds);
        watcher_ = std::make_unique<platform::StoreWatcher>(control_.io(), makeWatcherHooks());
        relay_ = std::make_unique<platform::StoreRelay>(
            control_.io(), watcher_->mirror(), [this] { return watcher_->isFresh(); });
        const std::size_t descriptors = descriptorLimit(settings_);
        readiness_ = std::make_unique<http::Server>(control_.io(), makeControlLimits(descriptors, ReadinessPart),
            platform::makeReadinessHandler([this] { return isReady(); }));
        operators_ = std::make_unique<http::Server>(control_.io(), makeControlLimits(descriptors, OperatorsPart),
            http::guardErrors(makeOperatorsHandler(),
                [this](const http::Request& request, const http::Exchange& exchange, const std::exception& exception) {
                    log_.writeDecision("unexpected_error",
                        { { "peer", exchange.peer }, { "target", std::string(request.target()) },
                            { "reason", exception.what() } });
                }));
    });
    const auto makeError = [](const std::string& portName, const http::Endpoint& endpoint, const auto& error) {
        return tl::unexpected(portName + " " + http::toString(endpoint) + ": " + error.message());
    };
    if (const auto error = control_.call([this] { return readiness_->listen(settings_.readiness); }))
        return makeError("readiness port", settings_.readiness, error);
    if (const auto error = control_.call([this] { return operators_->listen(settings_.operators); }))
        return makeError("operators' port", settings_.operators, error);
    if (const auto error = control_.call([this] { return fleet_->listen(settings_.gossip); }))
        return makeError("gossip port", settings_.gossip, error);
    if (auto listening = entry_.listen(); !listening)
        return listening;
    control_.call([this] {
        log_.writeChange("started",
            { { "vm", settings_.name }, { "zone", settings_.zone }, { "region", settings_.region },
                { "callers", http::toString(settings_.callers) }, { "store", http::toString(settings_.store) },
                { "shutdown_ms", settings_.shutdownTime.count() }, { "retry_ratio", settings_.retryRatio },
                { "retry_slack", settings_.retrySlack } });
    });
    control_.post([this] { watcher_->run(); });
    control_.post([this] { fleet_->run(); });
    control_.post([this] { runTicks(); });
    return {};
}

platform::StoreWatcher::Hooks VmDaemon::makeWatcherHooks()
{
    using fleet::Source;
    const auto random = std::make_shared<std::mt19937>(std::random_device {}());
    return {
        [] { return std::chrono::steady_clock::now(); },
        [random] { return (*random)(); },
        [this] { return chooseSource(); },
        [this](const Source& source, const base::Error& error) {
            sources_.onFailed(source, std::chrono::steady_clock::now());
            log_.writeDecision("source_failed",
                { { "source", source.endpoint }, { "is_store", source.isStore }, { "reason", toString(error) } });
        },
        [this](const routing::Configuration& configuration) { controller_->onConfiguration(configuration); },
        [this](const std::vector<discovery::UpstreamEntry>& entries) { controller_->onAllUpstreams(entries); },
        [this](const discovery::UpstreamEntry& entry) { controller_->onUpstream(entry); },
        [this](const std::string& id) { controller_->onUpstreamRemoved(id); },
        [this](const std::vector<discovery::EvacuationOrder>& orders) { controller_->onEvacuations(orders); },
        [this](const Source& source) { onCaughtUp(source); },
        [this](const base::Error& error) { controller_->onStoreUnavailable(error); },
        [this](const Source&) { controller_->onStoreAvailable(); },
        [this](const base::Error& error) { controller_->onDecodeError(error); },
        [this](const platform::StorePosition& before, const platform::StorePosition& after) {
            log_.writeChange("store_restored",
                { { "era", after.era }, { "era_before", before.era }, { "revision", after.revision },
                    { "revision_before", before.revision }, { "version", controller_->version() } });
            controller_->onStoreRestored(after.revision);
        },
    };
}

fleet::Source VmDaemon::chooseSource()
{
    // After startup no other VM is known yet and the store itself is chosen.
    const fleet::Source source = sources_.choose(fleet_->nodes(), fleet_->self(), std::chrono::steady_clock::now());
    if (source != lastSource_)
        log_.writeDecision("source", { { "source", source.endpoint }, { "is_store", source.isStore } });
    lastSource_ = source;
    return lastSource_;
}

void VmDaemon::onCaughtUp(const fleet::Source& source)
{
    controller_->publish();
    relay_->onChanged();
    fleet_->setStoreState(storeState(), source.isStore);
}

control::FleetMember::Hooks VmDaemon::makeFleetHooks()
{
    return {
        [this](const std::vector<fleet::NodeInfo>& vms) { onFleetView(vms); },
        [this](const std::vector<fleet::NodeInfo>& vms) { entry_.applyFirstMembers(vms, fleet_->self()); },
        [this](const std::vector<fleet::NodeId>& vms) {
            log_.writeChange("unlinked_vms", { { "vms", vms.size() } });
            entry_.applyUnlinked(vms);
        },
        [this](const fleet::NodeInfo& from, const fleet::ConfigurationId& state) { onPeerState(from, state); },
        [this](const quarantine::CrashRecord& record, base::TimePoint changedAt) {
            entry_.mergeCrashRecord(record, changedAt);
        },
    };
}

void VmDaemon::onFleetView(const std::vector<fleet::NodeInfo>& vms)
{
    log_.writeChange("fleet", { { "vms", vms.size() }, { "before", vmCount_ } });
    vmCount_ = vms.size();
    entry_.applyFleet(vms, fleet_->self());
}

fleet::ConfigurationId VmDaemon::storeState() const
{
    return { watcher_->position().revision, 0, watcher_->position().era };
}

void VmDaemon::onPeerState(const fleet::NodeInfo& from, const fleet::ConfigurationId& state)
{
    if (state <= storeState() || std::exchange(isCatchingUp_, true))
        return;
    control_.post([this, from, state] {
        runtime::sleepFor(control_.io(), CatchUpTimeout);
        isCatchingUp_ = false;
        if (state <= storeState() || !watcher_->reselectSource())
            return;
        log_.writeDecision("source_behind",
            { { "source", lastSource_.endpoint }, { "era", storeState().era }, { "revision", storeState().revision },
                { "newer_era", state.era }, { "newer", state.revision }, { "at", from.operators } });
        sources_.prefer(from.operators, std::chrono::steady_clock::now());
    });
}

void VmDaemon::runTicks()
{
    for (;;) {
        runtime::sleepFor(control_.io(), TickInterval);
        controller_->tick();
    }
}

control::OperatorHooks VmDaemon::makeOperatorHooks()
{
    return {
        [this] { return stateJson(); },
        [this] {
            return boost::json::serialize(boost::json::object { { "revision", controller_->version() },
                { "store_revision", watcher_->position().revision }, { "store_era", watcher_->position().era } });
        },
        [this] { return fleetJson(); },
        [this] { return collectMetrics(); },
        [this] { return isReady(); },
        [this](const std::string& id) { return entry_.findRecord(id); },
    };
}

// Other VMs read the relayed contents of the store on the operators' port.
http::Handler VmDaemon::makeOperatorsHandler()
{
    return [this, operators = control::makeOperatorHandler(makeOperatorHooks())](
               const http::Request& request, http::Exchange& exchange) {
        const http::Target target = http::parseTarget({ request.target().data(), request.target().size() });
        return platform::StoreRelay::isStoreRequest(target) ? relay_->handle(request, target)
                                                            : operators(request, exchange);
    };
}

std::string VmDaemon::fleetJson()
{
    boost::json::array vms;
    for (const fleet::NodeInfo& vm : fleet_->nodes())
        vms.push_back(
            boost::json::object { { "endpoint", vm.id.endpoint }, { "zone", vm.zone }, { "operators", vm.operators } });
    return boost::json::serialize(boost::json::object { { "vms", std::move(vms) },
        { "watches_store", fleet::SourceChooser::isWatcher(fleet_->nodes(), fleet_->self()) } });
}

metrics::Snapshot VmDaemon::collectMetrics()
{
    const auto gauge = [&](const std::string& name, const std::string& help, auto value) {
        metrics_.gauge("flamingousher_" + name, help).set(static_cast<double>(value));
    };
    gauge("configuration_version", "Version of the active configuration.", controller_->version());
    gauge("store_revision", "Newest store revision that this VM has seen.", watcher_->position().revision);
    gauge("store_era", "Era of this revision.", watcher_->position().era);
    gauge(
        "store_fresh", "1 while this VM reads directly from the store and is up to date.", watcher_->isFresh() ? 1 : 0);
    gauge("evacuated_zones", "Availability zones whose upstreams get no requests, by order of the operator.",
        controller_->evacuations().size());
    gauge("store_calls", "Requests sent directly to the store.", watcher_->storeCalls());
    gauge("source_calls", "Requests sent to the store and to VMs that relay its contents.", watcher_->counters().calls);
    gauge("source_failures", "Failed requests to the store and to VMs that relay its contents.",
        watcher_->counters().failures);
    gauge("fleet_vms", "Live VMs in the fleet, including this one.", fleet_->nodes().size());
    gauge("peer_bytes_sent", "Datagram bytes sent to other VMs.", fleet_->counters().bytesSent);
    gauge("peer_messages_refused", "Messages from other VMs that were rejected.", fleet_->counters().refused);
    gauge("unreadable_entries", "Store entries that could not be decoded.", controller_->decodeErrors());
    metrics::Snapshot snapshot = metrics_.snapshot();
    snapshot.merge(entry_.metrics());
    return snapshot;
}

boost::json::array VmDaemon::evacuationsJson()
{
    boost::json::array evacuations;
    for (const auto& [order, since] : controller_->evacuations())
        evacuations.push_back(boost::json::object { { "zone", order.zone }, { "store_revision", order.revision },
            { "known_for_ms", eventlog::milliseconds(std::chrono::steady_clock::now() - since) },
            { "source", lastSource_.endpoint }, { "source_is_store", lastSource_.isStore },
            { "fresh", watcher_->isFresh() } });
    return evacuations;
}

std::string VmDaemon::stateJson()
{
    return boost::json::serialize(boost::json::object {
        { "node", settings_.name },
        { "zone", settings_.zone },
        { "ready", isReady() },
        { "stopping", isStopping_ },
        { "configuration", controller_->version() },
        { "evacuations", evacuationsJson() },
        { "store_revision", watcher_->position().revision },
        { "store_era", watcher_->position().era },
        { "entry", boost::json::parse(entry_.describeState()) },
    });
}

bool VmDaemon::isReady()
{
    return !isStopping_ && controller_->isReadyToServe();
}

void VmDaemon::handleSignals()
{
    for (;;) {
        boost::system::error_code error;
        const int signal = signals_.async_wait(runtime::useFiber[error]);
        if (!error && signal != SIGHUP)
            return;
        reload();
    }
}

// Applies the seeds and the shutdown time; other settings need a restart. A file with errors changes nothing.
void VmDaemon::reload()
{
    const auto settings = settings::loadVmSettings(settingsFile_);
    if (!settings) {
        log_.writeChange("reload_failed", { { "reason", settings.error().front() } });
        return;
    }
    settings_.seeds = settings->seeds;
    fleet_->setSeeds(settings_.seeds);
    settings_.shutdownTime = settings->shutdownTime;
    log_.writeChange(
        "reloaded", { { "seeds", settings_.seeds.size() }, { "shutdown_ms", settings_.shutdownTime.count() } });
}

bool VmDaemon::runUntilStopped()
{
    return control_.call([this] {
        handleSignals();
        return shutDown();
    });
}

// Reports not ready to the load balancer first. Requests that still arrive are served, and their responses announce
// that the connection closes. Once no more requests can arrive and all are answered, the process ends.
bool VmDaemon::shutDown()
{
    const base::TimePoint begin = std::chrono::steady_clock::now();
    const base::TimePoint deadline = begin + settings_.shutdownTime - ExitMargin;
    isStopping_ = true;
    const base::TimePoint lastAnswersAt = deadline - LastAnswerMargin;
    const base::TimePoint unlistedAt = std::min(begin + BalancerNoticeTime, lastAnswersAt);
    const auto awaitIdle = [this](base::TimePoint until) {
        while (!entry_.isIdle() && std::chrono::steady_clock::now() < until)
            runtime::sleepFor(control_.io(), DrainCheckInterval);
    };
    entry_.beginShutdown({ unlistedAt, lastAnswersAt });
    log_.writeChange("stopping", { { "vm", settings_.name }, { "shutdown_ms", settings_.shutdownTime.count() } });
    runtime::sleepFor(control_.io(), unlistedAt - begin);
    awaitIdle(lastAnswersAt);
    entry_.closeListener();
    awaitIdle(lastAnswersAt);
    entry_.endRequests(); // even an error tells their callers more than a connection that closes
    awaitIdle(deadline);
    fleet_->leave();
    const bool isClean = entry_.isIdle();
    log_.writeChange("stopped",
        { { "vm", settings_.name }, { "clean", isClean },
            { "took_ms", eventlog::milliseconds(std::chrono::steady_clock::now() - begin) } });
    return isClean;
}

} // namespace flamingousher::daemon
