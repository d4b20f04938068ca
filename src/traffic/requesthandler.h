#pragma once

#include "http/types.h"
#include "traffic/internal/callerrequest.h"
#include "traffic/trafficcontext.h"

#include <memory>
#include <unordered_map>

namespace flamingousher::runtime {
class Signal;
}

namespace flamingousher::traffic {

// Answers callers' requests on one traffic thread.
class RequestHandler {
public:
    explicit RequestHandler(TrafficContext&);
    ~RequestHandler();

    // Runs in the fiber of the caller's connection.
    http::Response handle(const http::Request&, http::Exchange&);

    // Lets waiting requests start or end. Called periodically and whenever a request ends.
    void moveWaiting();

private:
    http::Response refuse(const http::Request&, CallerRequest&, const base::Error&, base::Duration retryAfter = {});
    http::Response handleSearch(const http::Request&, http::Exchange&, CallerRequest&, PoolState&);
    http::Response handleService(const http::Request&, http::Exchange&, CallerRequest&, PoolState&);

    // Waits until the query may start. On refusal returns the time after which to try again.
    tl::expected<admission::TicketId, base::Duration> enter(http::Exchange&, CallerRequest&, PoolState&);

    TrafficContext& context_;
    std::unordered_map<admission::TicketId, std::pair<runtime::Signal*, bool*>> waiting_;
};

} // namespace flamingousher::traffic
