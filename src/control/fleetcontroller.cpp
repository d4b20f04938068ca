#include "control/fleetcontroller.h"

#include "http/client.h"
#include "runtime/fiberthread.h"
#include "runtime/sleep.h"

#include <boost/json.hpp>
#include <spdlog/spdlog.h>

#include <mutex>

namespace flamingousher::control {

namespace json = boost::json;

namespace {

    constexpr std::chrono::milliseconds TickInterval { 50 };
    constexpr std::chrono::milliseconds VmListTimeout { 2'000 };
    constexpr std::chrono::milliseconds VmListRetryDelay { 500 };
    constexpr std::chrono::milliseconds WatcherVmListInterval { 5'000 };
    constexpr std::chrono::milliseconds VmListInterval { 60'000 };
    constexpr int LeaveNotices = 3;
    constexpr std::chrono::milliseconds LeaveNoticeInterval { 300 };

    struct ListedVms {
        std::vector<std::string> live;
        std::set<std::string> leavingAddresses;
    };

    std::optional<ListedVms> decodeVms(const std::string& body)
    {
        boost::system::error_code error;
        const json::value document = json::parse(body, error);
        if (error || !document.is_array())
            return std::nullopt;
        ListedVms vms;
        for (const json::value& value : document.get_array()) {
            const json::object* vm = value.if_object();
            const json::value* address = vm ? vm->if_contains("address") : nullptr;
            const json::value* state = vm ? vm->if_contains("state") : nullptr;
            if (!address || !address->is_string() || !state || !state->is_string())
                return std::nullopt;
            const std::string text(address->get_string());
            if (state->get_string() == "live")
                vms.live.push_back(text);
            else
                vms.leavingAddresses.insert(text.substr(0, text.rfind(':')));
        }
        return vms;
    }

} // namespace

FleetController::FleetController(boost::asio::io_context& io, const settings::DaemonSettings& settings,
    const peers::PeerIdentity& identity, Hooks hooks)
    : io_(io)
    , settings_(settings)
    , hooks_(std::move(hooks))
    , random_(std::random_device {}())
    , core_(identity.self, {}, {}, makeCoreHooks(), now())
    , transport_(
          io, identity,
          [this](const fleet::FleetMessage& message) {
              callCore([&](base::TimePoint time) { return core_.receive(message, time); });
          },
          [this] { return random_(); })
    , watcher_(io, settings.configuration, [this](const PublishedTables& published) {
        callCore([&](base::TimePoint time) {
            return core_.onPublished(published.revision, published.routes, published.pools, time);
        });
    })
{
}

fleet::FleetCore::Hooks FleetController::makeCoreHooks()
{
    return {
        [this] { return random_(); },
        [this] { isConfigurationChanged_ = true; },
        [this] { isOwnershipChanged_ = true; },
        [this](const quarantine::CrashRecord& record, base::TimePoint changedAt) { hooks_.onCrash(record, changedAt); },
        [this](const std::string& upstream) { return closing_.contains(upstream); },
    };
}

boost::system::error_code FleetController::listen()
{
    return transport_.listen(settings_.peers);
}

void FleetController::start()
{
    runtime::spawnFiber([this] { runTicks(); });
    runtime::spawnFiber([this] { runVmList(); });
    runtime::spawnFiber([this] { watcher_.run(); });
}

void FleetController::callCore(const std::function<std::vector<fleet::FleetOutgoing>(base::TimePoint)>& call)
{
    const std::unique_lock<boost::fibers::mutex> lock(mutex_);
    const std::vector<fleet::FleetOutgoing> outgoing = call(now());
    applyChanges();
    transport_.send(outgoing);
}

void FleetController::applyChanges()
{
    if (std::exchange(isConfigurationChanged_, false)) {
        watcher_.setKnownRevision(core_.configuration().id().revision);
        spdlog::info("configuration {} in force", core_.configuration().id().revision);
        hooks_.onConfigurationChange(core_.configuration().tables());
        isOwnershipChanged_ = true;
    }
    // Ownership also changes when a takeover delay expires.
    const std::set<std::string> serving = servingUpstreams();
    if (std::exchange(isOwnershipChanged_, false) || serving != lastServing_) {
        lastServing_ = serving;
        hooks_.onOwnershipChange(*this);
        closing_ = hooks_.closingUpstreams();
    }
}

void FleetController::runTicks()
{
    while (true) {
        if (!closing_.empty())
            closing_ = hooks_.closingUpstreams();
        callCore([this](base::TimePoint time) { return core_.tick(time); });
        // Every node reads the service once at startup; after that only the watchers of each zone poll it.
        watcher_.setPaused(isLeaving_ || (watcher_.hasAnswered() && !core_.isWatcher()));
        if (watcher_.hasAnswered() && !std::exchange(hasReadService_, true))
            core_.onServiceAnswered();
        runtime::sleepFor(io_, TickInterval);
    }
}

void FleetController::runVmList()
{
    while (!isLeaving_) {
        if (!readVmList()) {
            ++vmListFailures_;
            runtime::sleepFor(io_, VmListRetryDelay);
            continue;
        }
        const bool isShortInterval = core_.isWatcher() || core_.membership().upCount() < core_.listedNodes();
        runtime::sleepFor(io_, isShortInterval ? WatcherVmListInterval : VmListInterval);
    }
}

bool FleetController::readVmList()
{
    const auto response
        = http::fetch(io_, settings_.vms, http::makeRequest(boost::beast::http::verb::get, "/v1/vms"), VmListTimeout);
    if (!response || response->result() != http::Status::ok)
        return false;
    const std::optional<ListedVms> vms = decodeVms(response->body());
    if (!vms)
        return false;
    callCore([&](base::TimePoint time) {
        isOwnershipChanged_ = isOwnershipChanged_ || leavingAddresses_ != vms->leavingAddresses;
        leavingAddresses_ = vms->leavingAddresses;
        core_.setListedEndpoints(vms->live, time);
        return std::vector<fleet::FleetOutgoing> {};
    });
    return true;
}

void FleetController::leave()
{
    isLeaving_ = true;
    watcher_.stop();
    for (int notice = 0; notice < LeaveNotices; ++notice) {
        callCore([this](base::TimePoint time) { return core_.leave(time); });
        runtime::sleepFor(io_, LeaveNoticeInterval);
    }
}

void FleetController::reportCrash(const quarantine::CrashRecord& record)
{
    callCore([&](base::TimePoint now) { return core_.reportCrash(record, now); });
}

bool FleetController::isReadyToServe() const
{
    return core_.isReadyToServe(now());
}

std::set<std::string> FleetController::servingUpstreams() const
{
    return core_.ownership().servingUpstreams(now());
}

std::string FleetController::configurationJson() const
{
    json::array faults;
    const auto& refused = core_.configuration().refused();
    if (refused) {
        for (const std::string& fault : refused->faults)
            faults.emplace_back(fault);
    }
    return json::serialize(json::object {
        { "revision", core_.configuration().id().revision },
        { "refused_revision", refused ? refused->revision : 0 },
        { "refused_faults", std::move(faults) },
        { "watcher", core_.isWatcher() },
        { "service_reachable", watcher_.isServiceReachable() },
    });
}

std::string FleetController::peersJson() const
{
    json::array members;
    for (const auto& [id, member] : core_.membership().members()) {
        members.push_back(json::object {
            { "endpoint", id.endpoint },
            { "boot", std::to_string(id.boot) },
            { "state", fleet::toString(member.state) },
            { "zone", member.node.zone },
            { "operators", member.node.operators },
        });
    }
    return json::serialize(json::object {
        { "self", core_.membership().self().id.endpoint },
        { "zone", core_.membership().self().zone },
        { "members", std::move(members) },
        { "nodes_seen", core_.visibleNodes() },
        { "nodes_listed", core_.listedNodes() },
        { "home_of", core_.ownership().ownedCount() },
        { "pauses_noticed", core_.membership().pauseCount() },
        { "own_deaths_heard", core_.membership().ownDeathReports() },
    });
}

void FleetController::collectMetrics(metrics::Registry& registry) const
{
    const auto gauge = [&](const std::string& name, const std::string& help, auto value) {
        registry.gauge("flamingousher_" + name, help).set(static_cast<double>(value));
    };
    const auto& refused = core_.configuration().refused();
    gauge("configuration_revision", "Revision of the configuration in force.", core_.configuration().id().revision);
    gauge("configuration_refused_revision", "Newest revision refused, 0 if none.", refused ? refused->revision : 0);
    gauge("configuration_service_calls", "Calls to the configuration service.", watcher_.counters().calls);
    gauge("configuration_service_failures", "Failed calls to the configuration service.", watcher_.counters().failures);
    gauge("configuration_stale_reads", "Reads that returned an outdated revision.", watcher_.counters().staleReads);
    gauge("vm_list_failures", "Failed reads of the platform's list of VMs.", vmListFailures_);
    gauge("nodes_up", "Nodes of the fleet that are alive or suspected, including this one.",
        core_.membership().upCount());
    gauge("nodes_listed", "Nodes that are up, or listed by the platform and have not left.", core_.listedNodes());
    gauge("nodes_seen", "Visible nodes, which the shares are computed from.", core_.visibleNodes());
    gauge("pauses_noticed", "Detected pauses of this process.", core_.membership().pauseCount());
    gauge("fleet_messages_sent", "Fleet messages sent.", transport_.counters().framesSent);
    gauge("fleet_bytes_sent", "Bytes of fleet messages sent.", transport_.counters().bytesSent);
    gauge("fleet_bytes_received", "Bytes of fleet messages received.", transport_.counters().bytesReceived);
    gauge(
        "fleet_messages_refused", "Messages rejected as unauthenticated or malformed.", transport_.counters().refused);
}

} // namespace flamingousher::control
