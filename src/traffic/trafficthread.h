#pragma once

#include "accounts/requestrecord.h"
#include "http/server.h"
#include "metrics/registry.h"
#include "peers/framestream.h"
#include "runtime/fiberthread.h"
#include "settings/daemonsettings.h"
#include "tables/types.h"
#include "traffic/homeview.h"

#include <memory>
#include <optional>
#include <string>

namespace flamingousher::traffic {

// One traffic thread: callers' connections, their requests, and the links to the upstreams of which this
// thread is the home. The functions are callable from the control thread.
class TrafficThread {
public:
    // Called on the traffic thread when an upstream has crashed under a request.
    using CrashListener = std::function<void(const fleet::CrashEvidence&)>;

    TrafficThread(const settings::DaemonSettings&, const peers::PeerIdentity&, std::uint32_t index, CrashListener);
    ~TrafficThread();

    // Begins to listen for callers and for other nodes.
    tl::expected<void, std::string> listen();

    void applyTables(const std::shared_ptr<const tables::Tables>&);

    // Opens and closes links to upstreams by the view.
    void applyHomes(const std::shared_ptr<const HomeView>&);

    // Upstreams that are no longer served here but have work in flight.
    std::set<std::string> closingUpstreams();

    // Evidence of a crash seen by another node or thread.
    void noteCrash(const fleet::CrashEvidence&);

    // True when the index versions of every search pool are known.
    bool isReady();

    // State as a JSON object.
    std::string describeState();
    metrics::Snapshot metrics();
    std::optional<accounts::RequestRecord> findRecord(const std::string& requestId);

    // Takes no new work. Work in flight goes on.
    void beginShutdown();

    // No caller's request is in progress.
    bool areCallersIdle();

    // No work for an upstream is in progress.
    bool areHomesIdle();

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
