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

// The process without a metadata store: owns the control thread and the traffic threads and connects the modules.
class Daemon {
public:
    explicit Daemon(settings::DaemonSettings);

    // Opens the ports. On failure returns a one-line message that names the port.
    tl::expected<void, std::string> start();

    // Blocks until SIGTERM or SIGINT, then waits for requests in flight. Returns false when the shutdown timeout
    // expired first.
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
    bool waitUntil(base::TimePoint deadline, const std::function<bool(traffic::TrafficThread&)>& isDone);

    settings::DaemonSettings settings_;
    peers::PeerIdentity identity_;
    std::vector<std::unique_ptr<traffic::TrafficThread>> traffic_;
    runtime::FiberThread control_;
    std::unique_ptr<http::Server> operators_;
    std::unique_ptr<control::FleetController> fleet_;
    metrics::Registry metrics_;
    boost::asio::signal_set signals_; // never destroyed early: signals during the shutdown are caught and ignored
    bool isStopping_ { false };
};

} // namespace flamingousher::daemon
