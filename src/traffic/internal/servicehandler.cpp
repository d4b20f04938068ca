#include "traffic/internal/servicehandler.h"

#include "runtime/signal.h"
#include "traffic/callerprotocol.h"

#include <boost/json.hpp>

namespace flamingousher::traffic {

using accounts::EventKind;
using base::Error;
using base::ErrorCode;
using base::RunState;
using base::Step;

namespace {

    Error identityError(ErrorCode code, const char* detail, RunState state)
    {
        return { code, Step::Identity, {}, detail, state };
    }

    transport::ServiceCall makeCall(const http::Request& request, const CallerRequest& callerRequest)
    {
        const auto identity = request.find(std::string(field::Identity));
        const bool needsIdentity = !callerRequest.route().isIdempotent && identity != request.end();
        return { std::string(request.method_string()), std::string(request.target()),
            std::string(request[boost::beast::http::field::content_type]), request.body(),
            needsIdentity ? std::string(identity->value()) : std::string() };
    }

} // namespace

ServiceHandler::ServiceHandler(TrafficContext& context)
    : context_(context)
{
}

http::Response ServiceHandler::issueIdentity(const http::Request& request)
{
    const std::optional<std::string> identity = context_.identities.issue(context_.now());
    if (!identity) {
        return makeErrorResponse(
            request, {}, identityError(ErrorCode::Overloaded, "too many identities are outstanding", RunState::NotRun));
    }
    return http::makeJsonResponse(request, http::Status::created,
        boost::json::serialize(boost::json::object { { "identity", *identity } }) + "\n");
}

http::Response ServiceHandler::handle(const http::Request& request, CallerRequest& callerRequest, PoolState& pool)
{
    const transport::ServiceCall call = makeCall(request, callerRequest);
    if (callerRequest.route().isIdempotent)
        return respond(request, callerRequest, run(callerRequest, pool, call));
    if (call.identity.empty()) {
        http::Response response = callerRequest.refuse(request,
            identityError(
                ErrorCode::IdentityRequired, "send the request with the identity in the header", RunState::NotRun));
        if (const auto identity = context_.identities.issue(context_.now()))
            response.set(std::string(field::NextIdentity), *identity);
        return response;
    }
    return respond(request, callerRequest, runWithIdentity(callerRequest, pool, call));
}

http::Response ServiceHandler::respond(const http::Request& request, CallerRequest& callerRequest, Answer answer)
{
    if (!answer)
        return callerRequest.refuse(request, answer.error());
    callerRequest.finish("complete");
    return http::makeResponse(request, http::Status(answer->status), answer->contentType, std::move(answer->body));
}

transport::ServiceAnswer ServiceHandler::runForwarded(
    const http::Request& request, CallerRequest& callerRequest, PoolState& pool)
{
    // A forwarded request is never forwarded again, even if this process did not issue its identity.
    const transport::ServiceCall call = makeCall(request, callerRequest);
    const http::Response response = respond(request, callerRequest, runIssuedHere(callerRequest, pool, call));
    return { response.result_int(), std::string(response[boost::beast::http::field::content_type]), response.body() };
}

ServiceHandler::Answer ServiceHandler::runWithIdentity(
    CallerRequest& request, PoolState& pool, const transport::ServiceCall& call)
{
    const std::optional<identity::Identity> parsed = identity::parseIdentity(call.identity);
    const bool isElsewhere = parsed && !context_.identities.isIssuedHere(*parsed);
    if (!isElsewhere)
        return runIssuedHere(request, pool, call);
    return context_.dispatcher.forwardToIssuer(*parsed, call, request.caller(), request.deadline() - context_.now());
}

ServiceHandler::Answer ServiceHandler::runIssuedHere(
    CallerRequest& request, PoolState& pool, const transport::ServiceCall& call)
{
    const identity::BeginResult result
        = context_.identities.begin(call.identity, request.fingerprint(), context_.now());
    if (const auto* completed = std::get_if<identity::Completed>(&result))
        return transport::ServiceAnswer { completed->response.status, completed->response.contentType,
            completed->response.body };
    if (std::holds_alternative<identity::InProgress>(result)) {
        return tl::unexpected(identityError(
            ErrorCode::IdentityUnverifiable, "the request is still running; retry later", RunState::Unknown));
    }
    if (std::holds_alternative<identity::RequestMismatch>(result)) {
        return tl::unexpected(identityError(
            ErrorCode::BadRequest, "the identity was already used for another request", RunState::NotRun));
    }
    if (!std::holds_alternative<identity::Granted>(result)) {
        return tl::unexpected(identityError(ErrorCode::IdentityUnverifiable,
            "it is unknown whether the request has run; check with the service", RunState::Unknown));
    }
    Answer answer = run(request, pool, call);
    if (answer)
        context_.identities.finishRun(call.identity, { answer->status, answer->contentType, answer->body });
    else if (answer.error().runState == RunState::NotRun)
        context_.identities.finishNotRun(call.identity);
    else
        context_.identities.finishUnknown(call.identity);
    return answer;
}

ServiceHandler::Answer ServiceHandler::run(CallerRequest& request, PoolState& pool, const transport::ServiceCall& call)
{
    if (context_.quarantine.isQuarantined(request.fingerprint(), context_.now())) {
        return tl::unexpected(
            Error { ErrorCode::Quarantined, Step::Admission, {}, "the request crashes upstreams", RunState::NotRun });
    }
    Answer last = tl::unexpected(Error { ErrorCode::Unreachable, Step::Routing, {}, "no upstream is available" });
    base::Duration backoff = InitialBackoff;
    RunState provenRunState = RunState::NotRun;
    while (context_.now() < request.deadline() - ReplyMargin) {
        const auto upstream = context_.chooser.choose(pool.upstreams, request.route().rank, context_.now());
        if (upstream) {
            last = runOnce(request, call, *upstream);
            if (last)
                return last;
            if (last.error().runState != RunState::NotRun)
                provenRunState = RunState::Unknown;
            // A request is sent again only if it is idempotent or has certainly not run.
            const bool canRetry = request.route().isIdempotent || provenRunState == RunState::NotRun;
            if (!canRetry || context_.quarantine.isQuarantined(request.fingerprint(), context_.now()))
                break;
        }
        context_.sleepFor(backoff);
        backoff = std::min(2 * backoff, MaxBackoff);
    }
    last.error().runState = provenRunState;
    return last;
}

ServiceHandler::Answer ServiceHandler::runOnce(
    CallerRequest& request, const transport::ServiceCall& call, query::UpstreamId upstream)
{
    const base::TimePoint sentAt = context_.now();
    const std::uint32_t knownCrashes = context_.quarantine.crashes(request.fingerprint());
    transport::SubRequest subRequest { context_.nextId(), upstream, request.route().rank, request.caller(),
        request.deadline() - ReplyMargin, request.fingerprint(), call, knownCrashes };
    auto signal = std::make_shared<runtime::Signal>();
    auto result = std::make_shared<transport::SubResult>();
    context_.chooser.onSent(upstream, request.route().rank);
    request.recordEvent(EventKind::Sent, 0, upstream);
    context_.dispatcher.submit(std::move(subRequest), [signal, result](transport::SubResult value) {
        *result = std::move(value);
        signal->notify();
    });
    signal->wait();
    if (result->value) {
        context_.chooser.onAnswered(upstream, request.route().rank, result->queued, context_.now() - sentAt);
        context_.onAnswered(request.fingerprint());
        request.recordEvent(EventKind::Answered, 0, upstream);
        return std::get<transport::ServiceAnswer>(std::move(*result->value));
    }
    const Error& error = result->value.error();
    request.recordEvent(EventKind::Failed, 0, upstream, error);
    if (error.code == ErrorCode::UpstreamCrashed)
        context_.onCrash(request.fingerprint(), knownCrashes, upstream);
    context_.chooser.onError(upstream, request.route().rank, error, context_.now());
    return tl::unexpected(error);
}

} // namespace flamingousher::traffic
