#include "traffic/requesthandler.h"

#include "traffic/callerprotocol.h"
#include "traffic/internal/callerrequest.h"
#include "traffic/internal/searchhandler.h"
#include "traffic/internal/servicehandler.h"

namespace flamingousher::traffic {

using base::ErrorCode;
using base::Step;

namespace {

    constexpr std::string_view IdentitiesPath = "/flamingousher/identities";

} // namespace

RequestHandler::RequestHandler(TrafficContext& context)
    : context_(context)
    , search_(std::make_unique<SearchHandler>(context))
    , service_(std::make_unique<ServiceHandler>(context))
{
}

RequestHandler::~RequestHandler() = default;

RequestHandler::Destination RequestHandler::findDestination(const http::Request& request, const std::string& path) const
{
    if (!context_.tables)
        return {};
    const tables::Route* route = context_.tables->routeFor(std::string(request.method_string()), path);
    return route ? Destination { *route, context_.pool(route->pool) } : Destination {};
}

http::Response RequestHandler::handle(const http::Request& request, http::Exchange& exchange)
{
    const std::string path = http::parseTarget({ request.target().data(), request.target().size() }).path;
    if (path == IdentitiesPath && request.method() == boost::beast::http::verb::post)
        return service_->issueIdentity(request);
    const Destination destination = findDestination(request, path);
    CallerRequest callerRequest(context_, request, exchange.peer, destination.route);
    if (!context_.tables) {
        return callerRequest.refuse(
            request, { ErrorCode::NotReady, Step::Configuration, {}, "no configuration loaded yet" });
    }
    if (!destination.pool)
        return callerRequest.refuse(
            request, { ErrorCode::NoRoute, Step::Routing, {}, "no route matches this request" });
    if (destination.pool->pool.kind == tables::PoolKind::Service)
        return service_->handle(request, callerRequest, *destination.pool);
    return search_->handle(request, exchange, callerRequest, *destination.pool);
}

transport::ServiceAnswer RequestHandler::handleForwarded(const wire::IdentityRequest& forwarded)
{
    http::Request request;
    request.version(11);
    request.method_string(forwarded.call.method);
    request.target(forwarded.call.target);
    request.set(boost::beast::http::field::content_type, forwarded.call.contentType);
    request.set(std::string(field::Identity), forwarded.call.identity);
    request.set(std::string(field::Caller), forwarded.caller);
    request.set(std::string(field::DeadlineMs),
        std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(forwarded.remaining).count()));
    request.body() = forwarded.call.body;
    const Destination destination = findDestination(request, http::parseTarget(forwarded.call.target).path);
    CallerRequest callerRequest(context_, request, {}, destination.route);
    if (!destination.pool || destination.pool->pool.kind != tables::PoolKind::Service) {
        const http::Response response = callerRequest.refuse(
            request, { ErrorCode::NoRoute, Step::Routing, {}, "no route on the issuing node matches this request" });
        return { response.result_int(), "application/json", response.body() };
    }
    return service_->runForwarded(request, callerRequest, *destination.pool);
}

void RequestHandler::processWaiting()
{
    search_->processWaiting();
}

} // namespace flamingousher::traffic
