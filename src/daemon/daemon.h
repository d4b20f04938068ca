#pragma once

#include "control/configurationwatcher.h"
#include "control/operatorserver.h"
#include "runtime/fiberthread.h"
#include "settings/daemonsettings.h"
#include "tables/types.h"
#include "traffic/trafficthread.h"

#include <memory>
#include <string>
#include <vector>

namespace flamingousher::daemon {

// The whole process: one control thread and the traffic threads.
class Daemon {
public:
    explicit Daemon(settings::DaemonSettings);

    // Opens the ports. On failure returns one line that names the port.
    tl::expected<void, std::string> start();

    // Blocks until SIGTERM or SIGINT, then finishes what is in flight. Returns false when the shutdown
    // timeout passed first.
    bool runUntilStopped();

private:
    void onPublished(const control::PublishedTables&);
    control::OperatorHooks makeOperatorHooks();
    std::string configurationJson() const;
    std::string stateJson();
    bool isReady();
    bool shutDown();

    settings::DaemonSettings settings_;
    std::string incarnation_;
    std::vector<std::unique_ptr<traffic::TrafficThread>> traffic_;
    runtime::FiberThread control_;
    std::unique_ptr<http::Server> operators_;
    std::unique_ptr<control::ConfigurationWatcher> watcher_;
    std::shared_ptr<const tables::Tables> tables_;
    tables::Revision refusedRevision_ { 0 };
    std::vector<std::string> refusedFaults_;
    metrics::Registry metrics_;
    bool isStopping_ { false };
};

} // namespace flamingousher::daemon
