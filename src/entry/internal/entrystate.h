#pragma once

#include "accounts/recordstore.h"
#include "delegation/unreachedroutes.h"
#include "entry/internal/delegates.h"
#include "entry/internal/directory.h"
#include "entry/internal/routelatencies.h"
#include "entry/internal/writetimes.h"
#include "entry/types.h"
#include "eventlog/eventlog.h"
#include "http/server.h"
#include "metrics/registry.h"
#include "quarantine/quarantine.h"
#include "routing/routetable.h"
#include "routing/servicesplit.h"

#include <memory>
#include <set>
#include <string>

namespace flamingousher::entry {

class ActiveRequest;

// State shared by all requests of the entry thread. Used on that thread only.
struct EntryState {
    EntryState(boost::asio::io_context&, const EntrySettings&, const CallerProtocol&,
        const upstreamclient::UpstreamProtocol&, std::function<void(const std::string&)> writeLog,
        std::function<void(const quarantine::CrashRecord&)> reportCrash);

    void applyRoutes(const std::shared_ptr<const routing::RouteTable>&);

    // Updates the delegates after a change of the fleet, the configuration or the upstreams.
    void updateDelegates();

    // Record that upstreams have ended under a request, or that one has responded to it, and tell the other VMs.
    void onCrash(quarantine::Fingerprint, std::uint32_t crashesWhenSent, const std::string& upstream);
    void onAnswered(quarantine::Fingerprint);
    void logCrashRecord(const quarantine::CrashRecord&, const char* how);

    // Returns an identifier that is unique within this process.
    std::uint64_t nextId() { return ++lastId; }

    boost::asio::io_context& io;
    EntrySettings settings;
    CallerProtocol callers;
    upstreamclient::UpstreamProtocol upstreams;
    std::function<base::TimePoint()> now;
    eventlog::EventLog log;
    metrics::Registry metrics;
    accounts::RecordStore records;
    balancing::MemoryBudget memory; // for responses of upstreams and delegates
    Directory directory;
    Delegates delegates;
    bool isDelegatingFanouts { false }; // all requests over many shards
    delegation::UnreachedRoutes unreachedRoutes;
    quarantine::Quarantine quarantine;
    std::function<void(const quarantine::CrashRecord&)> reportCrash; // to the other VMs; may be empty
    std::shared_ptr<const routing::RouteTable> routes; // null until a configuration is loaded
    routing::ServiceSplit split;
    RouteLatencies latencies;
    WriteTimes writeTimes;
    base::Duration schedulingDelay { 0 }; // recent delay until a due task of this thread runs
    std::uint64_t lastId { 0 };
    std::set<ActiveRequest*> activeRequests; // that wait for their outcome
    std::optional<ShutdownTimes> shutdown; // set once a planned stop has begun
};

} // namespace flamingousher::entry
