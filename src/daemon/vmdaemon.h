#pragma once

#include "control/directcontroller.h"
#include "control/fleetmember.h"
#include "control/operatorserver.h"
#include "entry/entrythread.h"
#include "eventlog/eventlog.h"
#include "fleet/sourcechooser.h"
#include "http/server.h"
#include "platform/storerelay.h"
#include "platform/storewatcher.h"
#include "runtime/fiberthread.h"
#include "settings/vmsettings.h"

#include <boost/asio/signal_set.hpp>

#include <memory>
#include <string>

namespace flamingousher::daemon {

// The whole process on a platform with a metadata store: one control thread and the entry thread. All wiring between
// modules stands here.
class VmDaemon {
public:
    // settingsFile: read again at SIGHUP.
    VmDaemon(settings::VmSettings, std::string settingsFile);

    // Opens the ports. On failure returns one line that names the port.
    tl::expected<void, std::string> start();

    // Blocks until SIGTERM or SIGINT, then finishes what is in flight. Returns false when the time for it was over
    // with requests in flight.
    bool runUntilStopped();

private:
    platform::StoreWatcher::Hooks makeWatcherHooks();
    control::FleetMember::Hooks makeFleetHooks();
    control::OperatorHooks makeOperatorHooks();
    http::Handler makeOperatorsHandler();
    fleet::Source chooseSource();
    void onFleetView(const std::vector<fleet::NodeInfo>&);
    void onPeerRevision(const fleet::NodeInfo& from, std::uint64_t revision);
    void onCaughtUp(const fleet::Source&);
    std::string fleetJson();
    metrics::Snapshot collectMetrics();
    std::string stateJson();
    void runTicks();
    void runSignals();
    void reload();
    bool isReady();
    bool shutDown();

    settings::VmSettings settings_;
    std::string settingsFile_;
    std::function<void(const std::string&)> writeLog_;
    runtime::FiberThread control_;
    eventlog::EventLog log_; // of the control thread
    entry::EntryThread entry_;
    metrics::Registry metrics_;
    std::unique_ptr<control::DirectController> controller_;
    peers::PeerIdentity identity_;
    std::unique_ptr<control::FleetMember> fleet_;
    fleet::SourceChooser sources_;
    fleet::Source lastSource_;
    std::unique_ptr<platform::StoreWatcher> watcher_;
    std::unique_ptr<platform::StoreRelay> relay_;
    std::size_t vms_ { 0 };
    bool isCatchingUp_ { false };
    std::unique_ptr<http::Server> readiness_;
    std::unique_ptr<http::Server> operators_;
    boost::asio::signal_set signals_; // kept until the end: signals that come during the shutdown are taken and ignored
    bool isStopping_ { false };
};

} // namespace flamingousher::daemon
