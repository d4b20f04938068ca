#pragma once

#include "accounts/recordstore.h"
#include "entry/internal/directory.h"
#include "entry/internal/writetimes.h"
#include "entry/types.h"
#include "eventlog/eventlog.h"
#include "fanout/subrequestlatency.h"
#include "http/server.h"
#include "metrics/registry.h"
#include "routing/routetable.h"
#include "routing/servicesplit.h"

#include <map>
#include <memory>
#include <string>

namespace flamingousher::entry {

// What the requests of the entry thread share. Used on that thread only.
struct EntryState {
    EntryState(boost::asio::io_context&, const EntrySettings&, const CallerProtocol&,
        const upstreamclient::UpstreamProtocol&, std::function<void(const std::string&)> writeLog);

    void applyRoutes(const std::shared_ptr<const routing::RouteTable>&);

    // The learnt times of the route's sub-requests.
    fanout::SubRequestLatency& partTimes(const routing::Route&);

    // A number that this process has not used before.
    std::uint64_t nextId() { return ++lastId; }

    boost::asio::io_context& io;
    EntrySettings settings;
    CallerProtocol callers;
    upstreamclient::UpstreamProtocol upstreams;
    std::function<base::TimePoint()> now;
    eventlog::EventLog log;
    metrics::Registry metrics;
    accounts::RecordStore records;
    Directory directory;
    std::shared_ptr<const routing::RouteTable> routes; // null until a configuration is known
    routing::ServiceSplit split;
    std::map<std::string, fanout::SubRequestLatency> times; // by route
    WriteTimes writeTimes;
    std::uint64_t lastId { 0 };
    bool isStopping { false };
};

} // namespace flamingousher::entry
