#pragma once

#include "entry/internal/activerequest.h"
#include "entry/internal/entrystate.h"

#include <string>
#include <vector>

namespace flamingousher::entry {

// Answers callers' requests: finds the route, admits, asks the upstreams, and writes the account.
class RequestHandler {
public:
    explicit RequestHandler(EntryState&);

    http::Response handle(const http::Request&, http::Exchange&);

private:
    // A request that has a route.
    struct Routed {
        const http::Request& request;
        const CallerCall& call;
        const routing::Route& route;
        base::TimePoint receivedAt;
        base::TimePoint goal;
        base::TimePoint deadline;
    };

    http::Response run(const Routed&, std::shared_ptr<const routing::RouteTable>, http::Exchange&);
    std::vector<std::shared_ptr<ServiceState>> servicesOf(const routing::Route&);
    balancing::AdmissionDecision admit(const Routed&, const std::vector<std::shared_ptr<ServiceState>>&);
    http::Response answer(const Routed&, ActiveRequest&, const fanout::FinishFanout&);
    http::Response answerFailure(const Routed&, ActiveRequest&, const fanout::FinishFanout&);
    http::Response refuse(const Routed&, const base::Error&, base::Duration retryAfter);
    http::Response refuseUnrouted(const http::Request&, const CallerCall&, const base::Error&);
    void finish(const Routed&, const std::string& outcome, const fanout::FinishFanout*, const ActiveRequest*);
    void keepRecord(const Routed&, const std::string& outcome, const ActiveRequest*);

    EntryState& state_;
    std::uint64_t successes_ { 0 };
};

} // namespace flamingousher::entry
