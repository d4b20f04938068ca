#pragma once

#include "http/types.h"
#include "query/types.h"
#include "runtime/signal.h"
#include "traffic/internal/callerrequest.h"
#include "traffic/trafficcontext.h"

#include <tl/expected.hpp>

#include <unordered_map>

namespace flamingousher::traffic {

// Answers searches: admits them, runs them over all shards and merges the answer.
class SearchHandler {
public:
    explicit SearchHandler(TrafficContext&);

    http::Response handle(const http::Request&, http::Exchange&, CallerRequest&, PoolState&);

    // Lets waiting requests start or end. Called periodically and whenever a request ends.
    void moveWaiting();

private:
    struct Waiter {
        runtime::Signal* signal { nullptr };
        bool* isAdmitted { nullptr };
    };

    // Waits until the query may start. On refusal returns the time after which to try again.
    tl::expected<admission::TicketId, base::Duration> enter(http::Exchange&, CallerRequest&, PoolState&);

    // Runs the query, for background work again until it succeeds or its deadline nears.
    query::QueryOutcome run(http::Exchange&, CallerRequest&, PoolState&, const query::QuerySpec&,
        const std::string& text, base::Duration& longestQueued);

    TrafficContext& context_;
    std::unordered_map<admission::TicketId, Waiter> waiting_;
};

} // namespace flamingousher::traffic
