#pragma once

#include "control/configurationwatcher.h"
#include "fleet/fleetcore.h"
#include "metrics/registry.h"
#include "peers/fleettransport.h"
#include "settings/daemonsettings.h"

#include <boost/asio/io_context.hpp>
#include <boost/fiber/mutex.hpp>

#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace flamingousher::control {

// Drives the fleet core on the control thread: passes it ticks, messages of peers, configurations and the list of VMs,
// sends its messages and reports its changes through the hooks.
class FleetController {
public:
    struct Hooks {
        std::function<void(const std::shared_ptr<const tables::Tables>&)> onConfigurationChange;

        // Called when the owners of upstreams, their shares or the leaving VMs have changed.
        std::function<void(const FleetController&)> onOwnershipChange;

        // Returns the upstreams that this VM no longer serves but that still have requests in flight.
        std::function<std::set<std::string>()> closingUpstreams;
        std::function<void(const quarantine::CrashRecord&, base::TimePoint changedAt)> onCrash;
    };

    FleetController(boost::asio::io_context&, const settings::DaemonSettings&, const peers::PeerIdentity&, Hooks);

    boost::system::error_code listen();

    // Starts the fibers that drive the core.
    void start();

    // Hands over all owned upstreams by repeated leave notices. Returns after the last one.
    void leave();

    void reportCrash(const quarantine::CrashRecord&);

    bool isReadyToServe() const;
    const fleet::FleetCore& core() const { return core_; }
    const std::set<std::string>& leavingAddresses() const { return leavingAddresses_; }
    std::set<std::string> servingUpstreams() const;

    std::string configurationJson() const;
    std::string peersJson() const;
    void collectMetrics(metrics::Registry&) const;

private:
    fleet::FleetCore::Hooks makeCoreHooks();
    void runTicks();
    void runVmList();
    bool readVmList();
    void callCore(const std::function<std::vector<fleet::FleetOutgoing>(base::TimePoint)>&);
    void applyChanges();
    static base::TimePoint now() { return std::chrono::steady_clock::now(); }

    boost::asio::io_context& io_;
    settings::DaemonSettings settings_;
    Hooks hooks_;
    std::mt19937_64 random_;
    boost::fibers::mutex mutex_; // serializes calls of the core together with their effects
    fleet::FleetCore core_;
    peers::FleetTransport transport_;
    ConfigurationWatcher watcher_;
    std::set<std::string> closing_;
    std::set<std::string> leavingAddresses_;
    std::set<std::string> lastServing_;
    bool isConfigurationChanged_ { false };
    bool isOwnershipChanged_ { false };
    bool hasReadService_ { false };
    bool isLeaving_ { false };
    std::uint64_t vmListFailures_ { 0 };
};

} // namespace flamingousher::control
