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
#include <boost/json/array.hpp>

#include <memory>
#include <string>

namespace flamingousher::daemon {

// The process on a platform with a metadata store: owns the control thread and the entry thread and connects the
// modules.
class VmDaemon {
public:
    // settingsFile: reloaded on SIGHUP.
    VmDaemon(settings::VmSettings, std::string settingsFile);

    // Opens the ports. On failure returns a one-line message that names the port.
    tl::expected<void, std::string> start();

    // Blocks until SIGTERM or SIGINT, then waits for requests in flight. Returns false when the shutdown time expired
    // first.
    bool runUntilStopped();

private:
    platform::StoreWatcher::Hooks makeWatcherHooks();
    control::FleetMember::Hooks makeFleetHooks();
    control::OperatorHooks makeOperatorHooks();
    http::Handler makeOperatorsHandler();
    fleet::Source chooseSource();
    void onFleetView(const std::vector<fleet::NodeInfo>&);
    void onPeerState(const fleet::NodeInfo& from, const fleet::ConfigurationId&);
    fleet::ConfigurationId storeState() const;
    void onCaughtUp(const fleet::Source&);
    std::string fleetJson();
    metrics::Snapshot collectMetrics();
    boost::json::array evacuationsJson();
    std::string stateJson();
    void runTicks();
    void handleSignals();
    void reload();
    bool isReady();
    bool shutDown();

    settings::VmSettings settings_;
    std::string settingsFile_;
    std::function<void(const std::string&)> writeLog_;
    runtime::FiberThread control_;
    eventlog::EventLog log_; // used on the control thread only
    entry::EntryThread entry_;
    metrics::Registry metrics_;
    std::unique_ptr<control::DirectController> controller_;
    peers::PeerIdentity identity_;
    std::unique_ptr<control::FleetMember> fleet_;
    fleet::SourceChooser sources_;
    fleet::Source lastSource_;
    std::unique_ptr<platform::StoreWatcher> watcher_;
    std::unique_ptr<platform::StoreRelay> relay_;
    std::size_t vmCount_ { 0 };
    bool isCatchingUp_ { false };
    std::unique_ptr<http::Server> readiness_;
    std::unique_ptr<http::Server> operators_;
    boost::asio::signal_set signals_; // never destroyed early: signals during the shutdown are caught and ignored
    bool isStopping_ { false };
};

} // namespace flamingousher::daemon
