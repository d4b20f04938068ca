#include "traffic/requesthandler.h"

#include "traffic/internal/callerrequest.h"
#include "traffic/internal/searchhandler.h"
#include "traffic/internal/servicehandler.h"

namespace flamingousher::traffic {

using base::Error;
using base::ErrorCode;
using base::Step;

namespace {

    constexpr std::string_view IdentitiesPath = "/flamingousher/identities";
    const std::string NoRoute = "none";

} // namespace

RequestHandler::RequestHandler(TrafficContext& context)
    : context_(context)
    , search_(std::make_unique<SearchHandler>(context))
    , service_(std::make_unique<ServiceHandler>(context))
{
}

RequestHandler::~RequestHandler() = default;

http::Response RequestHandler::handle(const http::Request& request, http::Exchange& exchange)
{
    const std::shared_ptr<const tables::Tables> tables = context_.tables;
    const std::string path = http::parseTarget({ request.target().data(), request.target().size() }).path;
    if (path == IdentitiesPath && request.method() == boost::beast::http::verb::post)
        return service_->issueIdentity(request);
    const tables::Route* route = tables ? tables->routeFor(std::string(request.method_string()), path) : nullptr;
    CallerRequest callerRequest(context_, request, exchange.peer, route ? *route : tables::Route { .name = NoRoute });
    if (!tables) {
        return callerRequest.refuse(
            request, { ErrorCode::NotReady, Step::Configuration, {}, "no configuration is known yet" });
    }
    const std::shared_ptr<PoolState> pool = route ? context_.pool(route->pool) : nullptr;
    if (!pool)
        return callerRequest.refuse(request, { ErrorCode::NoRoute, Step::Routing, {}, "no route takes this request" });
    if (pool->pool.kind == tables::PoolKind::Service)
        return service_->handle(request, callerRequest, *pool);
    return search_->handle(request, exchange, callerRequest, *pool);
}

transport::ServiceAnswer RequestHandler::handleForOther(const wire::IdentityRequest& passed)
{
    http::Request request;
    request.version(11);
    request.method_string(passed.call.method);
    request.target(passed.call.target);
    request.set(boost::beast::http::field::content_type, passed.call.contentType);
    request.set("Flamingousher-Identity", passed.call.identity);
    request.set("Flamingousher-Caller", passed.caller);
    request.set("Flamingousher-Deadline-Ms",
        std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(passed.remaining).count()));
    request.body() = passed.call.body;
    const std::shared_ptr<const tables::Tables> tables = context_.tables;
    const std::string path = http::parseTarget(passed.call.target).path;
    const tables::Route* route = tables ? tables->routeFor(passed.call.method, path) : nullptr;
    const std::shared_ptr<PoolState> pool = route ? context_.pool(route->pool) : nullptr;
    CallerRequest callerRequest(context_, request, {}, route ? *route : tables::Route { .name = NoRoute });
    if (!pool || pool->pool.kind != tables::PoolKind::Service) {
        const http::Response response = callerRequest.refuse(
            request, { ErrorCode::NoRoute, Step::Routing, {}, "no route takes this request at the issuer" });
        return { response.result_int(), "application/json", response.body() };
    }
    return service_->runForOther(request, callerRequest, *pool);
}

void RequestHandler::moveWaiting()
{
    search_->moveWaiting();
}

} // namespace flamingousher::traffic
