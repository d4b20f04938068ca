#pragma once

#include "control/fleetcontroller.h"
#include "control/operatorserver.h"
#include "runtime/fiberthread.h"
#include "settings/daemonsettings.h"
#include "traffic/trafficthread.h"

#include <boost/asio/signal_set.hpp>

#include <memory>
#include <string>
#include <vector>

namespace flamingousher::daemon {

// The whole process: one control thread and the traffic threads. All wiring between modules stands here.
class Daemon {
public:
    explicit Daemon(settings::DaemonSettings);

    // Opens the ports. On failure returns one line that names the port.
    tl::expected<void, std::string> start();

    // Blocks until SIGTERM or SIGINT, then finishes what is in flight. Returns false when the shutdown
    // timeout passed first.
    bool runUntilStopped();

private:
    control::FleetController::Hooks makeFleetHooks();
    control::OperatorHooks makeOperatorHooks();
    void applyOwnership(const control::FleetController&);
    std::set<std::string> closingUpstreams();
    std::optional<accounts::RequestRecord> findRecord(const std::string& id);
    metrics::Snapshot collectMetrics();
    std::string stateJson();
    bool isReady();
    bool shutDown();
    bool waitUntil(base::TimePoint end, const std::function<bool(traffic::TrafficThread&)>& isDone);

    settings::DaemonSettings settings_;
    peers::PeerIdentity identity_;
    std::vector<std::unique_ptr<traffic::TrafficThread>> traffic_;
    runtime::FiberThread control_;
    std::unique_ptr<http::Server> operators_;
    std::unique_ptr<control::FleetController> fleet_;
    metrics::Registry metrics_;
    boost::asio::signal_set signals_; // kept until the end: signals that come during the shutdown are taken and ignored
    bool isStopping_ { false };
};

} // namespace flamingousher::daemon
