#pragma once

#include "http/types.h"
#include "query/types.h"
#include "runtime/signal.h"
#include "traffic/internal/callerrequest.h"
#include "traffic/trafficcontext.h"

#include <tl/expected.hpp>

#include <unordered_map>

namespace flamingousher::traffic {

// Handles searches: admits them, runs them on all shards and returns the merged results.
class SearchHandler {
public:
    explicit SearchHandler(TrafficContext&);

    http::Response handle(const http::Request&, http::Exchange&, CallerRequest&, PoolState&);

    // Admits waiting requests and ends expired ones. Called periodically and whenever a request finishes.
    void processWaiting();

private:
    struct Waiter {
        runtime::Signal* signal { nullptr };
        bool* isAdmitted { nullptr };
    };

    // Waits until the query is admitted. On rejection, returns the time after which the caller should retry.
    tl::expected<admission::TicketId, base::Duration> admit(http::Exchange&, CallerRequest&, PoolState&);

    // Runs the query. Retries background queries until they succeed or their deadline is near.
    query::QueryOutcome run(http::Exchange&, CallerRequest&, PoolState&, const query::QuerySpec&,
        const std::string& text, base::Duration& maxQueueTime);

    TrafficContext& context_;
    std::unordered_map<admission::TicketId, Waiter> waiting_;
};

} // namespace flamingousher::traffic
