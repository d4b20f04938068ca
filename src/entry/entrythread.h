#pragma once

#include "accounts/requestrecord.h"
#include "discovery/types.h"
#include "entry/types.h"
#include "fleet/types.h"
#include "metrics/registry.h"
#include "quarantine/types.h"
#include "routing/routetable.h"
#include "runtime/fiberthread.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace flamingousher::entry {

// Thread of a VM that connects to upstreams directly. Handles the callers' connections and requests, and the
// connections to the upstreams of all services. The member functions may be called from the control thread.
class EntryThread {
public:
    // writeLog: writes one log line, given as the members of a JSON object; must not block.
    // reportCrash: tells the other VMs of a request that crashes upstreams; called on this thread. May be empty.
    // reportLinks: called when this VM has lost almost all links to upstreams, or has them again. May be empty.
    EntryThread(const EntrySettings&, const CallerProtocol&, const upstreamclient::UpstreamProtocol&,
        std::function<void(const std::string&)> writeLog,
        std::function<void(const quarantine::CrashRecord&)> reportCrash = {},
        std::function<void(bool areLost)> reportLinks = {});
    ~EntryThread();
    EntryThread(const EntryThread&) = delete;
    EntryThread& operator=(const EntryThread&) = delete;

    // Starts to accept callers' connections. Returns an error message if the port cannot be opened.
    tl::expected<void, std::string> listen();

    // Return the addresses of the open ports.
    http::Endpoint callersEndpoint();
    http::Endpoint fanoutsEndpoint();

    // Applies to requests that arrive after the call.
    void applyRoutes(std::shared_ptr<const routing::RouteTable>);
    void applyUpstreams(std::vector<discovery::DiscoveredUpstream>);

    // Sets the VMs, including this one, that share the connection limits of the upstreams and the retry budgets.
    void applyFleet(std::vector<fleet::NodeInfo>, const fleet::NodeInfo& self);

    // Sets the VMs that reach almost no upstream: requests are not delegated to them while there are others.
    void applyUnlinked(std::vector<fleet::NodeId>);

    // Applies a first view of the fleet, which is not complete: only delegates are chosen from it.
    void applyFirstMembers(std::vector<fleet::NodeInfo> vms, const fleet::NodeInfo& self);

    // Takes over what another VM knows of a request that crashes upstreams.
    void mergeCrashRecord(const quarantine::CrashRecord&, base::TimePoint changedAt);

    // Closes each connection after its next response. New connections are still accepted, and requests that end before
    // the process does; others are refused at once.
    void beginShutdown(const ShutdownTimes&);

    // Stops accepting connections and closes idle ones.
    void closeListener();

    // Ends the requests that this VM still runs, as their deadlines would. Their callers get an answer, most an error.
    void endRequests();

    // Returns whether no request of a caller is in progress.
    bool isIdle();

    std::string describeState();
    metrics::Snapshot metrics();
    std::optional<accounts::RequestRecord> findRecord(const std::string& requestId);

private:
    struct State;

    void runSweep();

    runtime::FiberThread thread_;
    EntrySettings settings_;
    std::unique_ptr<State> state_;
};

} // namespace flamingousher::entry
