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

// Runs the fleet core on the control thread: gives it time, messages and the platform's news, and carries out
// what it decides.
class FleetController {
public:
    struct Hooks {
        std::function<void(const std::shared_ptr<const tables::Tables>&)> onTables;

        // The homes, their shares or the leaving VMs have changed.
        std::function<void(const FleetController&)> onHomes;

        // Upstreams that are no longer served here but have work in flight.
        std::function<std::set<std::string>()> closingUpstreams;
        std::function<void(const fleet::CrashEvidence&)> onCrash;
    };

    FleetController(boost::asio::io_context&, const settings::DaemonSettings&, const peers::PeerIdentity&, Hooks);

    boost::system::error_code listen();

    // Starts the fibers that keep the core going.
    void start();

    // Hands all duties over. Returns when others have taken them, or after a time limit.
    void leave();

    void reportCrash(const fleet::CrashEvidence&);

    bool mayServe() const;
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
    void step(const std::function<std::vector<fleet::FleetOutgoing>(base::TimePoint)>&);
    void carryOut();
    static base::TimePoint now() { return std::chrono::steady_clock::now(); }

    boost::asio::io_context& io_;
    settings::DaemonSettings settings_;
    Hooks hooks_;
    std::mt19937_64 random_;
    boost::fibers::mutex mutex_; // one call of the core and what follows from it at a time
    fleet::FleetCore core_;
    peers::FleetTransport transport_;
    ConfigurationWatcher watcher_;
    std::set<std::string> closing_;
    std::set<std::string> leavingAddresses_;
    std::set<std::string> lastServing_;
    bool areTablesNew_ { false };
    bool areHomesNew_ { false };
    bool didReadService_ { false };
    bool isLeaving_ { false };
    std::uint64_t vmListFailures_ { 0 };
};

} // namespace flamingousher::control
