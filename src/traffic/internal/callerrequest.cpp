#include "traffic/internal/callerrequest.h"

#include "traffic/callerprotocol.h"

#include <boost/json.hpp>

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace flamingousher::traffic {

using accounts::EventKind;
using base::ErrorCode;

namespace {

    // Fraction of the route's target above which a request is recorded as slow.
    constexpr double SlowFraction = 0.5;

    std::string fieldOr(const http::Request& request, std::string_view name, const std::string& fallback)
    {
        const auto found = request.find(std::string(name));
        return found == request.end() ? fallback : std::string(found->value());
    }

    std::string addressOf(const std::string& peer)
    {
        return peer.substr(0, peer.rfind(':'));
    }

    base::Duration timeoutFor(const http::Request& request, const tables::Route& route)
    {
        const std::string text = fieldOr(request, field::DeadlineMs, {});
        std::int64_t milliseconds = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
        if (text.empty() || error != std::errc())
            return route.target;
        return std::min<base::Duration>(
            route.target, std::chrono::milliseconds(std::max<std::int64_t>(milliseconds, 0)));
    }

    std::uint64_t fingerprintOf(const http::Request& request)
    {
        const std::string text = std::string(request.method_string()) + ' ' + std::string(request.target()) + '\n';
        const XXH64_hash_t head = XXH3_64bits(text.data(), text.size());
        return XXH3_64bits_withSeed(request.body().data(), request.body().size(), head);
    }

    http::Status statusOf(ErrorCode code)
    {
        switch (code) {
        case ErrorCode::BadRequest:
        case ErrorCode::Invalid:
            return http::Status::bad_request;
        case ErrorCode::NoRoute:
            return http::Status::not_found;
        case ErrorCode::DeadlineExceeded:
            return http::Status::gateway_timeout;
        case ErrorCode::IdentityRequired:
            return http::Status::precondition_required;
        case ErrorCode::IdentityUnverifiable:
            return http::Status::conflict;
        case ErrorCode::Quarantined:
            return http::Status::unprocessable_entity;
        case ErrorCode::ConnectionLost:
        case ErrorCode::ProtocolViolation:
        case ErrorCode::Unreachable:
            return http::Status::bad_gateway;
        default:
            return http::Status::service_unavailable;
        }
    }

} // namespace

CallerRequest::CallerRequest(
    TrafficContext& context, const http::Request& request, const std::string& peer, const tables::Route& route)
    : context_(context)
    , route_(route)
    , id_(context.incarnation + "-" + std::to_string(context.nextId()))
    , caller_(fieldOr(request, field::Caller, addressOf(peer)))
    , receivedAt_(context.now())
    , deadline_(receivedAt_ + timeoutFor(request, route))
    , fingerprint_(fingerprintOf(request))
{
    recordEvent(EventKind::Received);
}

void CallerRequest::recordEvent(EventKind kind)
{
    timeline_.push_back({ kind, context_.now() });
}

void CallerRequest::recordEvent(EventKind kind, std::uint32_t shard, query::UpstreamId upstream, const char* detail)
{
    timeline_.push_back({ kind, context_.now(), shard, upstream, detail });
}

void CallerRequest::recordEvent(
    EventKind kind, std::uint32_t shard, query::UpstreamId upstream, const base::Error& error)
{
    timeline_.push_back({ kind, context_.now(), shard, upstream, toString(error) });
}

http::Response CallerRequest::refuse(const http::Request& request, const base::Error& error, base::Duration retryAfter)
{
    recordEvent(EventKind::Refused);
    finish(std::string(base::toString(error.code)));
    return makeErrorResponse(request, id_, error, retryAfter);
}

void CallerRequest::finish(const std::string& outcome)
{
    const base::Duration elapsed = context_.now() - receivedAt_;
    const metrics::Labels rank { { "rank", std::string(base::toString(route_.rank)) } };
    metrics::Labels labels = rank;
    labels["outcome"] = outcome;
    context_.metrics.counter("flamingousher_requests_total", "Callers' requests by outcome.", labels).add();
    context_.metrics
        .histogram(
            "flamingousher_request_duration_seconds", "Time from receiving a caller's request to its response.", rank)
        .observe(std::chrono::duration<double>(elapsed).count());
    const bool isSlow = elapsed > route_.target * SlowFraction;
    if (outcome == "complete" && !isSlow)
        return;
    recordEvent(EventKind::Finished);
    context_.records.add(record(outcome == "complete" ? "slow" : outcome, elapsed));
}

accounts::RequestRecord CallerRequest::record(const std::string& outcome, base::Duration elapsed) const
{
    accounts::RequestRecord record { id_, route_.name, caller_, route_.rank, elapsed, outcome, {} };
    for (const TimelineEvent& event : timeline_) {
        const std::string upstream
            = event.upstream == NoUpstream ? std::string() : context_.directory.at(event.upstream).name;
        record.events.push_back({ event.kind, event.at - receivedAt_, event.shard, upstream, event.detail });
    }
    return record;
}

http::Response makeErrorResponse(
    const http::Request& request, const std::string& requestId, const base::Error& error, base::Duration retryAfter)
{
    const boost::json::object body {
        { "error", base::toString(error.code) },
        { "step", base::toString(error.step) },
        { "peer", error.peer },
        { "detail", error.detail },
        { "run_state", base::toString(error.runState) },
        { "request_id", requestId },
    };
    http::Response response
        = http::makeJsonResponse(request, statusOf(error.code), boost::json::serialize(body) + "\n");
    if (response.result() == http::Status::service_unavailable) {
        const double seconds = std::chrono::duration<double>(retryAfter).count();
        response.set(
            boost::beast::http::field::retry_after, std::to_string(std::max(1L, std::lround(std::ceil(seconds)))));
    }
    return response;
}

} // namespace flamingousher::traffic
