#pragma once

#include "accounts/requestrecord.h"
#include "http/server.h"
#include "metrics/registry.h"
#include "runtime/fiberthread.h"
#include "settings/daemonsettings.h"
#include "tables/types.h"

#include <memory>
#include <optional>
#include <string>

namespace flamingousher::traffic {

// One traffic thread: callers' connections, their requests, and the links to the upstreams of which this
// thread is the home. The functions are callable from the control thread.
class TrafficThread {
public:
    TrafficThread(const settings::DaemonSettings&, const std::string& incarnation, std::uint32_t index);
    ~TrafficThread();

    // Begins to listen for callers.
    boost::system::error_code listen();

    void applyTables(const std::shared_ptr<const tables::Tables>&);

    // True when the index versions of every search pool are known.
    bool isReady();

    // State as a JSON object.
    std::string describeState();
    metrics::Snapshot metrics();
    std::optional<accounts::RequestRecord> findRecord(const std::string& requestId);

    // Takes no new work. Work in flight goes on.
    void beginShutdown();
    bool isIdle();

private:
    struct State;

    void runSweep();

    runtime::FiberThread thread_;
    settings::DaemonSettings settings_;
    std::unique_ptr<State> state_;
};

} // namespace flamingousher::traffic
