#pragma once

#include "http/types.h"
#include "traffic/trafficcontext.h"
#include "wire/types.h"

#include <memory>

namespace flamingousher::traffic {

class SearchHandler;
class ServiceHandler;

// Routes the callers' requests of one traffic thread to the search or service handler.
class RequestHandler {
public:
    explicit RequestHandler(TrafficContext&);
    ~RequestHandler();

    // Handles a request in the fiber of the caller's connection.
    http::Response handle(const http::Request&, http::Exchange&);

    // Runs a request that another process has forwarded because this process issued its identity.
    transport::ServiceAnswer handleForwarded(const wire::IdentityRequest&);

    // Admits waiting requests and ends expired ones. Called periodically.
    void processWaiting();

private:
    struct Destination {
        tables::Route route { .name = "none" };
        std::shared_ptr<PoolState> pool; // null if no route matches the request
    };

    Destination findDestination(const http::Request&, const std::string& path) const;

    TrafficContext& context_;
    std::unique_ptr<SearchHandler> search_;
    std::unique_ptr<ServiceHandler> service_;
};

} // namespace flamingousher::traffic
