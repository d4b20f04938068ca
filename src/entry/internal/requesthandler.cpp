#include "entry/internal/requesthandler.h"

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

    // While no configuration is known: about the time of one read at the store.
    constexpr base::Duration RetryAfterStart = std::chrono::milliseconds(300);

    // Plain successes that are written to the log, one of so many.
    constexpr std::uint64_t SuccessSample = 200;

    base::Rank rankOf(const routing::Route& route)
    {
        return static_cast<base::Rank>(std::min<std::uint32_t>(route.priority, base::RankCount - 1));
    }

    std::string describe(const balancing::AdmissionDecision& decision)
    {
        if (decision.reason == balancing::AdmissionReason::TooFewUsable)
            return "too few shards have a usable upstream";
        return "expected to take " + std::to_string(base::toMilliseconds(decision.expectedLatency)) + " ms";
    }

    std::string outcomeOf(const FinishFanout& finish, bool isLate)
    {
        switch (finish.finishReason) {
        case FinishReason::Answered:
            return !finish.missing.empty() ? "partial" : isLate ? "late" : "complete";
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
    const auto call = state_.callers.decode(request);
    if (!call)
        return refuseUnrouted(request, {}, call.error());
    const std::shared_ptr<const routing::RouteTable> routes = state_.routes;
    if (!routes) {
        return refuseUnrouted(request, *call,
            { ErrorCode::NotReady, base::Step::Configuration, {}, "no configuration is known yet", RunState::NotRun });
    }
    const routing::Route* route = routes->find(call->host, call->path);
    if (!route) {
        return refuseUnrouted(request, *call,
            { ErrorCode::NoRoute, base::Step::Routing, {}, "no route takes this request", RunState::NotRun });
    }
    base::Duration allowed = route->timeout;
    if (call->timeAllowed)
        allowed = std::min<base::Duration>(allowed, *call->timeAllowed);
    const AnswerTimes times = computeAnswerTimes(
        now, { route->goal, allowed, state_.writeTimes.reserve() }, exchange.roundTrip, exchange.isFirst);
    return run({ request, *call, *route, now, times.goal, times.deadline }, routes, exchange);
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
    const Routed& routed, const std::vector<std::shared_ptr<ServiceState>>& services)
{
    const base::Duration typical = state_.partTimes(routed.route).typical();
    std::vector<balancing::ShardLoad> loads;
    loads.reserve(services.size());
    for (const auto& service : services)
        loads.push_back(state_.directory.load(*service, routed.goal, typical));
    return balancing::admit(loads, routed.route.minCoverage, routed.goal - routed.receivedAt);
}

http::Response RequestHandler::run(
    const Routed& routed, std::shared_ptr<const routing::RouteTable> routes, http::Exchange& exchange)
{
    auto services = servicesOf(routed.route);
    for (const auto& service : services)
        service->budget.onRequest(routed.receivedAt);
    const balancing::AdmissionDecision decision = admit(routed, services);
    if (!decision.isAdmitted()) {
        return refuse(routed,
            { ErrorCode::Overloaded, base::Step::Admission, {}, describe(decision), RunState::NotRun },
            decision.retryAfter);
    }
    const fanout::FanoutSpec spec { static_cast<std::uint32_t>(services.size()), routed.goal, routed.deadline,
        routed.route.minCoverage, routed.route.maxAttempts, routed.route.isIdempotent };
    const auto active = std::make_shared<ActiveRequest>(
        state_, std::move(routes), routed.route, routed.call, std::move(services), spec);
    exchange.onPeerGone = [weak = std::weak_ptr(active)] {
        if (const auto request = weak.lock())
            request->abandon();
    };
    const FinishFanout finished = active->run();
    exchange.onPeerGone = nullptr;
    exchange.onWritten
        = [this, decidedAt = active->decidedAt()] { state_.writeTimes.observe(state_.now() - decidedAt); };
    const bool isLate = state_.now() > routed.goal + state_.writeTimes.reserve();
    finish(routed, outcomeOf(finished, isLate), &finished, active.get());
    return answer(routed, *active, finished);
}

http::Response RequestHandler::answer(const Routed& routed, ActiveRequest& active, const FinishFanout& finished)
{
    if (finished.finishReason != FinishReason::Answered)
        return answerFailure(routed, active, finished);
    auto replies = active.takeReplies();
    if (!routed.route.isFanout())
        return state_.callers.encodeSingle(routed.request, std::move(replies.front()));
    return state_.callers.encodeGathered(routed.request,
        { std::move(replies), static_cast<std::uint32_t>(finished.missing.size()), routed.route.recordLimit });
}

// An upstream's own failure goes to the caller as it is. What is proved not to have run may be sent again.
http::Response RequestHandler::answerFailure(const Routed& routed, ActiveRequest& active, const FinishFanout& finished)
{
    const bool isSingle = !routed.route.isFanout();
    if (isSingle && active.failedReply())
        return state_.callers.encodeSingle(routed.request, *std::move(active.failedReply()));
    const std::string reason = finished.missing.empty() ? std::string() : finished.missing.front().reason;
    if (finished.runState == RunState::NotRun) {
        const base::Duration typical = state_.partTimes(routed.route).typical();
        return state_.callers.encodeError(routed.request, routed.call.requestId,
            { ErrorCode::Overloaded, base::Step::Queue, {}, reason, RunState::NotRun }, typical);
    }
    const ErrorCode code
        = finished.finishReason == FinishReason::TimedOut ? ErrorCode::DeadlineExceeded : ErrorCode::ConnectionLost;
    return state_.callers.encodeError(routed.request, routed.call.requestId,
        { code, base::Step::Receive, {}, reason, finished.runState }, base::Duration::zero());
}

http::Response RequestHandler::refuse(const Routed& routed, const Error& error, base::Duration retryAfter)
{
    if (state_.log.hasRoom()) {
        state_.log.decision("refused",
            { { "request", routed.call.requestId }, { "route", routed.route.name },
                { "version", state_.routes->configuration().version }, { "step", toString(error.step) },
                { "reason", error.detail }, { "retry_after_ms", eventlog::milliseconds(retryAfter) },
                { "goal_ms", routed.route.goal.count() } });
    }
    finish(routed, "refused", nullptr, nullptr);
    return state_.callers.encodeError(routed.request, routed.call.requestId, error, retryAfter);
}

http::Response RequestHandler::refuseUnrouted(const http::Request& request, const CallerCall& call, const Error& error)
{
    state_.metrics
        .counter("flamingousher_unrouted_requests_total", "Requests without a route.",
            { { "reason", std::string(toString(error.code)) } })
        .add();
    if (state_.log.hasRoom()) {
        state_.log.decision("unrouted",
            { { "request", call.requestId }, { "host", call.host }, { "path", call.path },
                { "version", state_.routes ? state_.routes->configuration().version : 0 },
                { "reason", toString(error) } });
    }
    const base::Duration retryAfter = error.code == ErrorCode::NotReady ? RetryAfterStart : base::Duration::zero();
    return state_.callers.encodeError(request, call.requestId, error, retryAfter);
}

void RequestHandler::finish(
    const Routed& routed, const std::string& outcome, const FinishFanout* finished, const ActiveRequest* active)
{
    const base::Duration elapsed = state_.now() - routed.receivedAt;
    const std::string rank(toString(rankOf(routed.route)));
    state_.metrics
        .counter("flamingousher_requests_total", "Callers' requests by outcome.",
            { { "rank", rank }, { "outcome", outcome } })
        .add();
    state_.metrics.histogram("flamingousher_request_duration_seconds", "Time to answer a caller.", { { "rank", rank } })
        .observe(std::chrono::duration<double>(elapsed).count());
    if (outcome == "complete" && ++successes_ % SuccessSample != 0)
        return;
    if (outcome != "complete")
        keepRecord(routed, outcome, active);
    if (!finished || !state_.log.hasRoom())
        return;
    boost::json::array missing;
    for (const fanout::MissingShard& shard : finished->missing)
        missing.push_back({ shard.shard, shard.reason });
    boost::json::array steps;
    for (const Step& step : active->steps()) {
        if (outcome != "complete" && (steps.size() < 24 || step.kind == accounts::EventKind::Failed))
            steps.push_back({ eventlog::milliseconds(step.at - routed.receivedAt), toString(step.kind), step.shard,
                step.upstream, step.detail });
    }
    state_.log.decision("answered",
        { { "request", routed.call.requestId }, { "route", routed.route.name }, { "rank", rank },
            { "version", state_.routes->configuration().version }, { "outcome", outcome },
            { "elapsed_ms", eventlog::milliseconds(elapsed) }, { "goal_ms", routed.route.goal.count() },
            { "deadline_ms", eventlog::milliseconds(routed.deadline - routed.receivedAt) },
            { "answered", finished->answered }, { "asked", finished->answered + finished->missing.size() },
            { "retries", finished->retries }, { "hedges", finished->hedges }, { "missing", std::move(missing) },
            { "steps", std::move(steps) } });
}

void RequestHandler::keepRecord(const Routed& routed, const std::string& outcome, const ActiveRequest* active)
{
    accounts::RequestRecord record { routed.call.requestId, routed.route.name, {}, rankOf(routed.route),
        state_.now() - routed.receivedAt, outcome, {} };
    if (active) {
        for (const Step& step : active->steps())
            record.events.push_back({ step.kind, step.at - routed.receivedAt, step.shard, step.upstream, step.detail });
    }
    state_.records.add(std::move(record));
}

} // namespace flamingousher::entry
