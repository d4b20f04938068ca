#pragma once

#include "entry/internal/activerequest.h"
#include "entry/internal/delegatedrequest.h"
#include "entry/internal/entrystate.h"

#include <string>
#include <vector>

namespace flamingousher::entry {

// Handles callers' requests: finds the route, decides on admission, queries the upstreams, and records the outcome.
class RequestHandler {
public:
    explicit RequestHandler(EntryState&);

    http::Response handle(const http::Request&, http::Exchange&);

    // Handles a request that another VM delegates to this one.
    http::Response handleDelegated(const http::Request&, http::Exchange&);

private:
    // A request with its route and deadlines.
    struct RoutedRequest {
        const http::Request& request;
        const DecodedRequest& decoded;
        const routing::Route& route;
        std::shared_ptr<RouteLatency> latency;
        base::TimePoint receivedAt;
        base::TimePoint goal;
        base::TimePoint deadline;
        std::uint32_t maxAttempts; // per shard
        base::TimePoint hedgeFrom; // no hedge is sent earlier
    };

    struct RunResult {
        http::Response response;
        bool isUnreached { false }; // the request has not run, since this VM does not reach its upstreams
    };

    RunResult run(const RoutedRequest&, std::shared_ptr<const routing::RouteTable>, http::Exchange&);
    RunResult runQuery(const RoutedRequest&, std::shared_ptr<const routing::RouteTable>, http::Exchange&, bool isProbe);

    // Why a request is delegated.
    enum class Delegation : std::uint8_t {
        None, // this VM runs it
        Fanout, // larger VMs run the requests over many shards
        Unreached, // this VM does not reach the upstreams
    };

    Delegation chooseDelegation(const routing::Route&) const;

    // Delegates the request if possible, and runs it here otherwise.
    http::Response runDelegated(
        const RoutedRequest&, std::shared_ptr<const routing::RouteTable>, http::Exchange&, Delegation);
    http::Response makeDelegatedResponse(const RoutedRequest&, DelegationResult, http::Exchange&);
    void recordDelegation(const RoutedRequest&, const DelegationResult&);

    // Returns why this VM does not accept a delegated request, or null if it does.
    const char* refusalOfDelegated(const routing::Route*, std::uint64_t version, const http::Exchange&) const;

    std::vector<std::shared_ptr<ServiceState>> servicesOf(const routing::Route&);
    balancing::AdmissionDecision admit(const RoutedRequest&, const std::vector<std::shared_ptr<ServiceState>>&);
    http::Response makeResponse(const RoutedRequest&, ActiveRequest&, const fanout::FinishFanout&, http::Exchange&);
    http::Response makeFailureResponse(
        const RoutedRequest&, ActiveRequest&, const fanout::FinishFanout&, http::Exchange&);
    // Passes a response on. Until it is written, its bytes count against the memory of the VM.
    http::Response forward(const http::Request&, upstreamclient::UpstreamReply, http::Exchange&);
    // Refuses a request that is known to crash upstreams.
    http::Response refuseCrashing(const RoutedRequest&);
    http::Response refuse(const RoutedRequest&, const base::Error&, base::Duration retryAfter);
    http::Response refuseUnrouted(const http::Request&, const DecodedRequest&, const base::Error&);
    void recordOutcome(
        const RoutedRequest&, const std::string& outcome, const fanout::FinishFanout*, const ActiveRequest*);
    void storeRecord(const RoutedRequest&, const std::string& outcome, const ActiveRequest*);

    EntryState& state_;
    std::uint64_t completeCount_ { 0 };
    std::uint64_t delegatedCount_ { 0 };
};

} // namespace flamingousher::entry
