#pragma once

#include "accounts/requestrecord.h"
#include "http/server.h"
#include "metrics/registry.h"
#include "peers/framestream.h"
#include "runtime/fiberthread.h"
#include "settings/daemonsettings.h"
#include "tables/types.h"
#include "traffic/ownershipview.h"

#include <memory>
#include <optional>
#include <string>

namespace flamingousher::traffic {

// A traffic thread: callers' connections, their requests, and the links to the upstreams that the thread owns.
// The functions are called from the control thread.
class TrafficThread {
public:
    // Called on the traffic thread when it knows more of a request that crashes upstreams.
    using CrashListener = std::function<void(const quarantine::CrashRecord&)>;

    TrafficThread(const settings::DaemonSettings&, const peers::PeerIdentity&, std::uint32_t index, CrashListener);
    ~TrafficThread();

    // Starts listening for callers and other nodes. Returns an error message on failure.
    tl::expected<void, std::string> listen();

    void applyTables(const std::shared_ptr<const tables::Tables>&);

    // Opens links to the upstreams that this thread owns in the view and closes the others.
    void applyOwnership(const std::shared_ptr<const OwnershipView>&);

    // Returns the upstreams that this thread no longer owns but that still have work in flight.
    std::set<std::string> closingUpstreams();

    // Takes over what another node or thread knows of a request that crashes upstreams.
    void mergeCrashRecord(const quarantine::CrashRecord&, base::TimePoint changedAt);

    // Returns whether the served index versions of every search pool are known.
    bool isReady();

    // Returns the state as a JSON object.
    std::string describeState();
    metrics::Snapshot metrics();
    std::optional<accounts::RequestRecord> findRecord(const std::string& requestId);

    // Stops accepting new work. Work in flight continues.
    void beginShutdown();

    // Returns whether no caller's request is in progress.
    bool areCallersIdle();

    // Returns whether no work for an upstream is in progress.
    bool areUpstreamsIdle();

private:
    struct State;

    void runSweep();

    runtime::FiberThread thread_;
    settings::DaemonSettings settings_;
    peers::PeerIdentity identity_;
    std::uint32_t index_;
    std::unique_ptr<State> state_;
};

} // namespace flamingousher::traffic
