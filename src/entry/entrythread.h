#pragma once

#include "accounts/requestrecord.h"
#include "discovery/types.h"
#include "entry/types.h"
#include "fleet/types.h"
#include "metrics/registry.h"
#include "routing/routetable.h"
#include "runtime/fiberthread.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace flamingousher::entry {

// The traffic thread of a VM that uses upstreams directly: callers' connections, their requests, and connections to
// the upstreams of every service. The functions are callable from the control thread.
class EntryThread {
public:
    // writeLog: takes one line for the log, as the members of a JSON object; must not block.
    EntryThread(const EntrySettings&, const CallerProtocol&, const upstreamclient::UpstreamProtocol&,
        std::function<void(const std::string&)> writeLog);
    ~EntryThread();
    EntryThread(const EntryThread&) = delete;
    EntryThread& operator=(const EntryThread&) = delete;

    // Begins to listen for callers.
    tl::expected<void, std::string> listen();

    // In force for the requests that arrive after the call.
    void applyRoutes(std::shared_ptr<const routing::RouteTable>);
    void applyUpstreams(std::vector<discovery::DiscoveredUpstream>);

    // The VMs that share the upstreams' connections and the retry budgets, with this one.
    void applyFleet(std::vector<fleet::NodeInfo>, const fleet::NodeInfo& self);

    // Answers with the last response on each connection; takes what still arrives.
    void beginShutdown();

    // Stops to accept and closes idle connections.
    void closeListener();

    // No caller's request is in progress.
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
