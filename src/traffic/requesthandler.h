#pragma once

#include "http/types.h"
#include "traffic/trafficcontext.h"
#include "wire/types.h"

#include <memory>

namespace flamingousher::traffic {

class SearchHandler;
class ServiceHandler;

// Finds the route of each caller's request and has it answered, on one traffic thread.
class RequestHandler {
public:
    explicit RequestHandler(TrafficContext&);
    ~RequestHandler();

    // Runs in the fiber of the caller's connection.
    http::Response handle(const http::Request&, http::Exchange&);

    // Runs a request that another process has passed on, because this one issued its identity.
    transport::ServiceAnswer handleForOther(const wire::IdentityRequest&);

    // Lets waiting requests start or end. Called periodically.
    void moveWaiting();

private:
    struct Destination {
        tables::Route route { .name = "none" };
        std::shared_ptr<PoolState> pool; // null when no route takes the request
    };

    Destination findDestination(const http::Request&, const std::string& path) const;

    TrafficContext& context_;
    std::unique_ptr<SearchHandler> search_;
    std::unique_ptr<ServiceHandler> service_;
};

} // namespace flamingousher::traffic
