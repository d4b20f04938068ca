#include "entry/internal/requesthandler.h"

#include "delegation/delegationprotocol.h"
#include "entry/internal/answertimes.h"

#include <boost/json/array.hpp>

#include <algorithm>

namespace flamingousher::entry {

using base::Error;
using base::ErrorCode;
using base::RunState;
using fanout::FinishFanout;
using fanout::FinishReason;

namespace {

    // Sent while no configuration is loaded: about the time to read it from the store.
    constexpr base::Duration RetryAfterNotReady = std::chrono::milliseconds(300);

    // One of this many complete responses is logged.
    constexpr std::uint64_t SuccessSampleInterval = 200;

    // Delegates tried until this VM runs the request itself.
    constexpr std::size_t MaxDelegatesTried = 2;

    // Delegates tried for a request that this VM cannot run. Some of them may not reach the upstreams either.
    constexpr std::size_t MaxSoleDelegatesTried = 4;

    base::Rank rankOf(const routing::Route& route)
    {
        return static_cast<base::Rank>(std::min<std::uint32_t>(route.priority, base::RankCount - 1));
    }

    // By the platform's protocol, callers honour Retry-After up to a third of the time that they have left.
    constexpr int CallerPatienceDivisor = 3;

    // Of what the expected time is corrected by.
    constexpr double ReturnPreference = 0.7;

    // A caller that comes back earlier is taken for one that does not wait.
    constexpr base::Duration MinReturnDelay = std::chrono::milliseconds(80);

    std::string describe(const balancing::AdmissionDecision& decision)
    {
        if (decision.reason == balancing::AdmissionReason::TooFewUsable)
            return "too few shards have a usable upstream";
        return "expected to take " + std::to_string(base::toMilliseconds(decision.expectedLatency)) + " ms";
    }

    std::string_view toString(DelegationOutcome outcome)
    {
        switch (outcome) {
        case DelegationOutcome::Answered:
            return "answered";
        case DelegationOutcome::NotRun:
            return "not_run";
        case DelegationOutcome::Unacknowledged:
            return "unacknowledged";
        case DelegationOutcome::Lost:
            return "lost";
        case DelegationOutcome::Abandoned:
            return "abandoned";
        }
        return "invalid";
    }

    std::string outcomeOf(const FinishFanout& result, bool isLate)
    {
        switch (result.finishReason) {
        case FinishReason::Answered:
            return !result.missing.empty() ? "partial" : isLate ? "late" : "complete";
        case FinishReason::Failed:
            return "failed";
        case FinishReason::TimedOut:
            return "timed_out";
        case FinishReason::Abandoned:
            return "abandoned";
        }
        return "invalid";
    }

} // namespace

RequestHandler::RequestHandler(EntryState& state)
    : state_(state)
{
}

http::Response RequestHandler::handle(const http::Request& request, http::Exchange& exchange)
{
    const base::TimePoint now = state_.now();
    const auto decoded = state_.callers.decode(request);
    if (!decoded)
        return refuseUnrouted(request, {}, decoded.error());
    const std::shared_ptr<const routing::RouteTable> routes = state_.routes;
    if (!routes) {
        return refuseUnrouted(request, *decoded,
            { ErrorCode::NotReady, base::Step::Configuration, {}, "no configuration loaded yet", RunState::NotRun });
    }
    const routing::Route* route = routes->find(decoded->host, decoded->path);
    if (!route) {
        return refuseUnrouted(request, *decoded,
            { ErrorCode::NoRoute, base::Step::Routing, {}, "no route matches this request", RunState::NotRun });
    }
    // All upstreams would refuse it, one after the other.
    if (decoded->requestId.empty()) {
        return refuseUnrouted(request, *decoded,
            { ErrorCode::BadRequest, base::Step::Decode, {}, "the request has no identifier", RunState::NotRun });
    }
    base::Duration timeout = route->timeout;
    if (decoded->timeout)
        timeout = std::min<base::Duration>(timeout, *decoded->timeout);
    const AnswerTimes deadlines = computeAnswerTimes(
        now, { route->goal, timeout, state_.writeTimes.reserve() }, exchange.roundTrip, exchange.isFirst);
    RoutedRequest routed { request, *decoded, *route, state_.latencies.of(*route), now, deadlines.goal,
        deadlines.deadline, route->maxAttempts, now };
    if (state_.shutdown) {
        if (!state_.shutdown->admits(now, routed.goal, routed.deadline)) {
            return refuse(routed,
                { ErrorCode::Draining, base::Step::Admission, {}, "this VM stops before the deadline",
                    RunState::NotRun },
                base::Duration::zero());
        }
        // An error at the end tells the caller more than a connection that closes.
        routed.deadline = std::min(routed.deadline, state_.shutdown->endsAt);
    }
    if (state_.quarantine.isQuarantined(decoded->outbound->fingerprint, now))
        return refuseCrashing(routed);
    const Delegation delegation = chooseDelegation(*route);
    if (delegation != Delegation::None)
        return runDelegated(routed, routes, exchange, delegation);
    RunResult result = run(routed, routes, exchange);
    // The connections may have failed only under this request.
    return result.isUnreached && chooseDelegation(*route) == Delegation::Unreached
        ? runDelegated(routed, routes, exchange, Delegation::Unreached)
        : std::move(result.response);
}

RequestHandler::Delegation RequestHandler::chooseDelegation(const routing::Route& route) const
{
    if (state_.delegates.isEmpty())
        return Delegation::None;
    if (!state_.directory.reaches(route) && state_.unreachedRoutes.mayDelegate(route.name, state_.now()))
        return Delegation::Unreached;
    const bool isDelegated = state_.isDelegatingFanouts && route.isFanout() && route.isIdempotent;
    return isDelegated ? Delegation::Fanout : Delegation::None;
}

http::Response RequestHandler::runDelegated(const RoutedRequest& routed,
    std::shared_ptr<const routing::RouteTable> routes, http::Exchange& exchange, Delegation reason)
{
    const bool canRunHere = reason == Delegation::Fanout;
    // What must not be repeated is of no use to a caller once it may have run, so its answer is awaited.
    const base::Duration confirmWithin = routed.route.isIdempotent
        ? DelegatedRequest::confirmationTime(routed.goal - routed.receivedAt, canRunHere)
        : routed.deadline - routed.receivedAt;
    const auto delegated = std::make_shared<DelegatedRequest>(state_,
        delegation::makeDelegatedRequest(*routed.decoded.outbound, routes->configuration().version,
            routed.deadline - routed.goal, canRunHere ? confirmWithin : base::Duration::zero()),
        DelegatedRequest::Limits { routed.deadline, confirmWithin, routed.latency->delegations.typical(),
            canRunHere ? MaxDelegatesTried : MaxSoleDelegatesTried });
    exchange.onPeerGone = [weak = std::weak_ptr(delegated)] {
        if (const auto request = weak.lock())
            request->abandon();
    };
    DelegationResult result = delegated->run();
    exchange.onPeerGone = nullptr;
    recordDelegation(routed, result);
    if (result.outcome == DelegationOutcome::NotRun) {
        if (reason == Delegation::Unreached)
            state_.unreachedRoutes.onRefused(routed.route.name, state_.now());
        return run(routed, std::move(routes), exchange).response;
    }
    // The delegate may have sent one attempt to each shard before it noticed that this VM had dropped the request.
    if (result.outcome == DelegationOutcome::Unacknowledged && canRunHere && routed.maxAttempts > 1
        && state_.directory.tryAcquireRestart()) {
        RoutedRequest restarted = routed;
        --restarted.maxAttempts;
        return run(restarted, std::move(routes), exchange).response;
    }
    return makeDelegatedResponse(routed, std::move(result), exchange);
}

http::Response RequestHandler::makeDelegatedResponse(
    const RoutedRequest& routed, DelegationResult result, http::Exchange& exchange)
{
    if (!result.isAnswered()) {
        const ErrorCode code = state_.now() < routed.deadline ? ErrorCode::ConnectionLost : ErrorCode::DeadlineExceeded;
        return state_.callers.encodeError(routed.request, routed.decoded.requestId,
            { code, base::Step::Peer, result.delegate, result.detail, RunState::Unknown }, base::Duration::zero());
    }
    const base::TimePoint answeredAt = state_.now();
    routed.latency->delegations.observe(answeredAt - routed.receivedAt);
    exchange.onWritten = [this, answeredAt] { state_.writeTimes.observe(state_.now() - answeredAt); };
    delegation::removeMarks(result.reply->response);
    return forward(routed.request, *std::move(result.reply), exchange);
}

const char* RequestHandler::refusalOfDelegated(
    const routing::Route* route, std::uint64_t version, const http::Exchange& exchange) const
{
    if (state_.shutdown)
        return "stopping";
    // An answer of another version could take the caller's VM back to an older configuration.
    if (!state_.routes || state_.routes->configuration().version != version)
        return "another configuration is in force";
    if (!route)
        return "no route matches";
    if (!state_.directory.reaches(*route))
        return "upstreams not reached";
    if (state_.schedulingDelay > state_.settings.maxDelegateSchedulingDelay)
        return "overloaded";
    // A VM that was paused reads requests that were dropped long ago.
    return exchange.isPeerGone() ? "dropped" : nullptr;
}

http::Response RequestHandler::handleDelegated(const http::Request& request, http::Exchange& exchange)
{
    const base::TimePoint now = state_.now();
    http::Request callerRequest = request;
    const auto limits = delegation::takeLimits(callerRequest);
    const auto decoded = state_.callers.decode(callerRequest);
    if (!limits || !decoded)
        return delegation::refuseDelegated(request, toString(!limits ? limits.error() : decoded.error()));
    const std::shared_ptr<const routing::RouteTable> routes = state_.routes;
    const routing::Route* route = routes ? routes->find(decoded->host, decoded->path) : nullptr;
    if (const char* reason = refusalOfDelegated(route, limits->version, exchange)) {
        state_.metrics
            .counter("flamingousher_delegated_requests_refused_total", "Delegated requests that this VM refused.",
                { { "reason", reason } })
            .add();
        http::Response refusal = delegation::refuseDelegated(request, reason);
        delegation::markResponse(refusal, decoded->requestId);
        return refusal;
    }
    exchange.sendInterim();
    const base::Duration untilGoal = std::max(base::Duration::zero(), limits->remaining - limits->goalLead);
    const AnswerTimes times = computeAnswerTimes(
        now, { untilGoal, limits->remaining, state_.writeTimes.reserve() }, exchange.roundTrip, false);
    RunResult result = run({ callerRequest, *decoded, *route, state_.latencies.of(*route), now, times.goal,
                               times.deadline, route->maxAttempts, now + limits->confirmWithin },
        routes, exchange);
    if (result.isUnreached)
        result.response = delegation::refuseDelegated(request, "upstreams not reached");
    delegation::markResponse(result.response, decoded->requestId);
    return std::move(result.response);
}

std::vector<std::shared_ptr<ServiceState>> RequestHandler::servicesOf(const routing::Route& route)
{
    std::vector<std::shared_ptr<ServiceState>> services;
    if (!route.isFanout()) {
        services.push_back(state_.directory.service(state_.split.next(route)));
        return services;
    }
    for (const std::string& shard : route.shards)
        services.push_back(state_.directory.service(shard));
    return services;
}

balancing::AdmissionDecision RequestHandler::admit(
    const RoutedRequest& routed, const std::vector<std::shared_ptr<ServiceState>>& services)
{
    const base::Duration typical = routed.latency->subRequests.typical();
    std::vector<balancing::ShardLoad> loads;
    loads.reserve(services.size());
    for (const auto& service : services) {
        service->offered.onArrival(routed.route.priority, typical, routed.receivedAt);
        loads.push_back(state_.directory.load(routed.route, *service, routed.goal, typical));
    }
    ServiceState& first = *services.front();
    const bool isReturn = routed.latency->returns.isReturn(routed.deadline - routed.receivedAt, routed.receivedAt);
    const double excess = first.correction.factor(routed.route.priority, routed.receivedAt) - 1;
    const double correction = 1 + excess * (isReturn ? ReturnPreference : 1);
    balancing::AdmissionDecision decision
        = balancing::admit(loads, routed.route.minCoverage, routed.goal - routed.receivedAt, correction);
    if (decision.reason == balancing::AdmissionReason::TooLate) {
        const base::Duration patience = (routed.deadline - routed.receivedAt) / CallerPatienceDivisor;
        decision.retryAfter = first.returns.book(routed.route.priority, balancing::workInterval(loads), MinReturnDelay,
            std::max(patience, decision.retryAfter), routed.receivedAt);
    }
    return decision;
}

RequestHandler::RunResult RequestHandler::run(
    const RoutedRequest& routed, std::shared_ptr<const routing::RouteTable> routes, http::Exchange& exchange)
{
    const quarantine::Fingerprint fingerprint = routed.decoded.outbound->fingerprint;
    const bool isProbe = state_.quarantine.verdict(fingerprint, state_.now()) != quarantine::Verdict::Unsuspected;
    if (isProbe && !state_.quarantine.beginProbe(fingerprint, state_.now(), routed.deadline))
        return { refuseCrashing(routed) };
    RunResult result = runQuery(routed, std::move(routes), exchange, isProbe);
    if (isProbe)
        state_.quarantine.endProbe(fingerprint, state_.now());
    return result;
}

RequestHandler::RunResult RequestHandler::runQuery(const RoutedRequest& routed,
    std::shared_ptr<const routing::RouteTable> routes, http::Exchange& exchange, bool isProbe)
{
    auto services = servicesOf(routed.route);
    for (const auto& service : services)
        service->budget.onRequest(routed.receivedAt);
    const balancing::AdmissionDecision decision = admit(routed, services);
    if (!decision.isAdmitted()) {
        return { refuse(routed,
                     { ErrorCode::Overloaded, base::Step::Admission, {}, describe(decision), RunState::NotRun },
                     decision.retryAfter),
            !state_.directory.reaches(routed.route) };
    }
    const fanout::FanoutSpec spec { static_cast<std::uint32_t>(services.size()), routed.goal, routed.deadline,
        routed.route.minCoverage, routed.maxAttempts, routed.route.isIdempotent, routed.hedgeFrom,
        state_.writeTimes.spread(), isProbe };
    const std::shared_ptr<ServiceState> first = services.front();
    const auto active = std::make_shared<ActiveRequest>(
        state_, std::move(routes), routed.route, routed.latency, routed.decoded, std::move(services), spec);
    exchange.onPeerGone = [weak = std::weak_ptr(active)] {
        if (const auto request = weak.lock())
            request->abandon();
    };
    const FinishFanout result = active->run();
    exchange.onPeerGone = nullptr;
    exchange.onWritten
        = [this, outcomeDueAt = active->outcomeDueAt()] { state_.writeTimes.observe(state_.now() - outcomeDueAt); };
    const bool isLate = state_.now() > routed.goal + state_.writeTimes.reserve();
    // What fails at once, or is late since attempts were lost, says nothing of the time that others take.
    const bool isInTime = active->outcomeDueAt() <= routed.goal;
    const bool isLateByLoad = !isInTime && result.finishReason != FinishReason::Abandoned && !active->hasFault();
    if ((isInTime && result.finishReason == FinishReason::Answered) || isLateByLoad)
        first->correction.onFinished(routed.route.priority, isInTime, state_.now());
    recordOutcome(routed, outcomeOf(result, isLate), &result, active.get());
    const bool isUnreached = result.finishReason == FinishReason::Failed && result.runState == RunState::NotRun
        && !state_.directory.reaches(routed.route);
    return { makeResponse(routed, *active, result, exchange), isUnreached };
}

http::Response RequestHandler::makeResponse(
    const RoutedRequest& routed, ActiveRequest& active, const FinishFanout& result, http::Exchange& exchange)
{
    if (result.finishReason != FinishReason::Answered)
        return makeFailureResponse(routed, active, result, exchange);
    auto replies = active.takeReplies();
    if (!routed.route.isFanout())
        return forward(routed.request, std::move(replies.front()), exchange);
    return state_.callers.encodeGathered(routed.request,
        { std::move(replies), static_cast<std::uint32_t>(result.missing.size()), routed.route.recordLimit });
}

// Passes the failure response of a single upstream on unchanged, unless it would mislead the caller. Otherwise, if the
// request has provably not run, the error invites the caller to retry.
http::Response RequestHandler::makeFailureResponse(
    const RoutedRequest& routed, ActiveRequest& active, const FinishFanout& result, http::Exchange& exchange)
{
    // An attempt that goes on keeps the request, but not what the caller gets of it.
    auto failedReply = active.takeFailedReply();
    if (!routed.route.isFanout() && failedReply && failedReply->isForwardable)
        return forward(routed.request, *std::move(failedReply), exchange);
    const std::string reason = result.missing.empty() ? std::string() : result.missing.front().reason;
    if (result.runState == RunState::NotRun) {
        const base::Duration typical = routed.latency->subRequests.typical();
        return state_.callers.encodeError(routed.request, routed.decoded.requestId,
            { ErrorCode::Overloaded, base::Step::Queue, {}, reason, RunState::NotRun }, typical);
    }
    const bool hasMisleadingReply = failedReply && !failedReply->isForwardable;
    const ErrorCode code = result.finishReason == FinishReason::TimedOut ? ErrorCode::DeadlineExceeded
        : hasMisleadingReply                                             ? ErrorCode::ProtocolViolation
                                                                         : ErrorCode::ConnectionLost;
    return state_.callers.encodeError(routed.request, routed.decoded.requestId,
        { code, base::Step::Receive, {}, reason, result.runState }, base::Duration::zero());
}

// If the budget evicts a response that its caller has not read yet, the connection closes.
http::Response RequestHandler::forward(
    const http::Request& request, upstreamclient::UpstreamReply reply, http::Exchange& exchange)
{
    if (reply.memory) {
        reply.memory->setEvict(exchange.abort);
        exchange.responseOwner = reply.memory;
    }
    return state_.callers.encodeSingle(request, std::move(reply));
}

http::Response RequestHandler::refuseCrashing(const RoutedRequest& routed)
{
    return refuse(routed,
        { ErrorCode::Quarantined, base::Step::Admission, {}, "the request crashes upstreams", RunState::NotRun },
        state_.quarantine.retryAfter(routed.decoded.outbound->fingerprint, state_.now()));
}

http::Response RequestHandler::refuse(const RoutedRequest& routed, const Error& error, base::Duration retryAfter)
{
    if (state_.log.hasTokens()) {
        state_.log.writeDecision("refused",
            { { "request", routed.decoded.requestId }, { "route", routed.route.name },
                { "version", state_.routes->configuration().version }, { "step", toString(error.step) },
                { "reason", error.detail }, { "retry_after_ms", eventlog::milliseconds(retryAfter) },
                { "goal_ms", routed.route.goal.count() } });
    }
    recordOutcome(routed, "refused", nullptr, nullptr);
    return state_.callers.encodeError(routed.request, routed.decoded.requestId, error, retryAfter);
}

http::Response RequestHandler::refuseUnrouted(
    const http::Request& request, const DecodedRequest& decoded, const Error& error)
{
    state_.metrics
        .counter("flamingousher_unrouted_requests_total", "Requests rejected before a route was found.",
            { { "reason", std::string(toString(error.code)) } })
        .add();
    if (state_.log.hasTokens()) {
        state_.log.writeDecision("unrouted",
            { { "request", decoded.requestId }, { "host", decoded.host }, { "path", decoded.path },
                { "version", state_.routes ? state_.routes->configuration().version : 0 },
                { "reason", toString(error) } });
    }
    const base::Duration retryAfter = error.code == ErrorCode::NotReady ? RetryAfterNotReady : base::Duration::zero();
    return state_.callers.encodeError(request, decoded.requestId, error, retryAfter);
}

void RequestHandler::recordOutcome(
    const RoutedRequest& routed, const std::string& outcome, const FinishFanout* result, const ActiveRequest* active)
{
    const base::Duration elapsed = state_.now() - routed.receivedAt;
    const std::string rank(toString(rankOf(routed.route)));
    state_.metrics
        .counter("flamingousher_requests_total", "Requests of callers by outcome.",
            { { "rank", rank }, { "outcome", outcome } })
        .add();
    state_.metrics
        .histogram(
            "flamingousher_request_duration_seconds", "Time to respond to a caller's request.", { { "rank", rank } })
        .observe(std::chrono::duration<double>(elapsed).count());
    if (outcome == "complete" && ++completeCount_ % SuccessSampleInterval != 0)
        return;
    if (outcome != "complete")
        storeRecord(routed, outcome, active);
    if (!result || !state_.log.hasTokens())
        return;
    boost::json::array missing;
    for (const fanout::MissingShard& shard : result->missing)
        missing.push_back({ shard.shard, shard.reason });
    boost::json::array steps;
    for (const RequestEvent& event : active->events()) {
        if (outcome != "complete" && (steps.size() < 24 || event.kind == accounts::EventKind::Failed))
            steps.push_back({ eventlog::milliseconds(event.at - routed.receivedAt), toString(event.kind), event.shard,
                event.upstream, event.detail });
    }
    state_.log.writeDecision("answered",
        { { "request", routed.decoded.requestId }, { "route", routed.route.name }, { "rank", rank },
            { "version", state_.routes->configuration().version }, { "outcome", outcome },
            { "elapsed_ms", eventlog::milliseconds(elapsed) }, { "goal_ms", routed.route.goal.count() },
            { "deadline_ms", eventlog::milliseconds(routed.deadline - routed.receivedAt) },
            { "answered", result->answered }, { "asked", result->answered + result->missing.size() },
            { "retries", result->retries }, { "hedges", result->hedges }, { "missing", std::move(missing) },
            { "steps", std::move(steps) } });
}

void RequestHandler::recordDelegation(const RoutedRequest& routed, const DelegationResult& result)
{
    const base::Duration elapsed = state_.now() - routed.receivedAt;
    const std::string outcome(toString(result.outcome));
    state_.metrics
        .counter("flamingousher_delegations_total", "Requests delegated to other VMs by outcome.",
            { { "outcome", outcome } })
        .add();
    const bool isComplete = result.isAnswered() && result.reply->response.result() == http::Status::ok;
    const bool isSampled = ++delegatedCount_ % SuccessSampleInterval == 0;
    if ((isComplete && !isSampled) || !state_.log.hasTokens())
        return;
    state_.log.writeDecision("delegated",
        { { "request", routed.decoded.requestId }, { "route", routed.route.name }, { "outcome", outcome },
            { "delegate", result.delegate }, { "reason", result.detail },
            { "status", result.isAnswered() ? result.reply->response.result_int() : 0 },
            { "elapsed_ms", eventlog::milliseconds(elapsed) }, { "goal_ms", routed.route.goal.count() } });
}

void RequestHandler::storeRecord(const RoutedRequest& routed, const std::string& outcome, const ActiveRequest* active)
{
    accounts::RequestRecord record { routed.decoded.requestId, routed.route.name, {}, rankOf(routed.route),
        state_.now() - routed.receivedAt, outcome, {} };
    if (active) {
        for (const RequestEvent& event : active->events())
            record.events.push_back(
                { event.kind, event.at - routed.receivedAt, event.shard, event.upstream, event.detail });
    }
    state_.records.add(std::move(record));
}

} // namespace flamingousher::entry
