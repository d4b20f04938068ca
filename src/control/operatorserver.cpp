#include "control/operatorserver.h"

namespace flamingousher::control {

namespace {

    constexpr const char* MetricsContentType = "text/plain; version=0.0.4";

    http::Response explain(const OperatorHooks& hooks, const http::Request& request, const http::Target& target)
    {
        const auto record = hooks.findRecord(target.parameter("id"));
        if (record)
            return http::makeJsonResponse(request, http::Status::ok, accounts::toJson(*record) + "\n");
        return http::makeJsonResponse(request, http::Status::not_found,
            "{\"error\":\"not_found\",\"detail\":\"this process holds no record of the request\"}\n");
    }

} // namespace

http::Handler makeOperatorHandler(OperatorHooks hooks)
{
    return [hooks = std::move(hooks)](const http::Request& request, http::Exchange&) {
        const http::Target target = http::parseTarget({ request.target().data(), request.target().size() });
        if (target.path == "/metrics")
            return http::makeResponse(request, http::Status::ok, MetricsContentType, hooks.metrics().toText());
        if (target.path == "/state")
            return http::makeJsonResponse(request, http::Status::ok, hooks.stateJson() + "\n");
        if (target.path == "/configuration")
            return http::makeJsonResponse(request, http::Status::ok, hooks.configurationJson() + "\n");
        if (target.path == "/peers")
            return http::makeJsonResponse(request, http::Status::ok, hooks.peersJson() + "\n");
        if (target.path == "/explain")
            return explain(hooks, request, target);
        if (target.path == "/health")
            return http::makeResponse(request, http::Status::ok, "text/plain", "alive\n");
        if (target.path == "/ready") {
            const bool isReady = hooks.isReady();
            return http::makeResponse(request, isReady ? http::Status::ok : http::Status::service_unavailable,
                "text/plain", isReady ? "ready\n" : "not ready\n");
        }
        return http::makeJsonResponse(request, http::Status::not_found, "{\"error\":\"not_found\"}\n");
    };
}

} // namespace flamingousher::control
