#include "entry/internal/activerequest.h"

namespace flamingousher::entry {

using accounts::EventKind;
using base::Error;
using base::ErrorCode;
using base::RunState;
using upstreamclient::ReplyKind;
using upstreamclient::UpstreamReply;

namespace {

    // A request over many shards receives as many parts at the same time, and small VMs have 160 MB of memory.
    constexpr std::size_t MaxPartBytes = 256 * 1024;
    constexpr std::size_t MaxResponseBytes = 8 * 1024 * 1024;

} // namespace

ActiveRequest::ActiveRequest(EntryState& state, std::shared_ptr<const routing::RouteTable> routes,
    const routing::Route& route, std::shared_ptr<RouteLatency> latency, const DecodedRequest& request,
    std::vector<std::shared_ptr<ServiceState>> services, const fanout::FanoutSpec& spec)
    : state_(state)
    , routes_(std::move(routes))
    , route_(route)
    , outboundRequest_(request.outbound)
    , services_(std::move(services))
    , spec_(spec)
    , latency_(std::move(latency))
    , query_(spec, makeHooks())
    , timer_(state.io)
    , replies_(services_.size())
    , queueKeys_(services_.size())
{
}

fanout::FanoutHooks ActiveRequest::makeHooks()
{
    return {
        [this](std::uint32_t shard, const std::vector<UpstreamId>& tried) {
            return state_.directory.selector().choose(state_.directory.upstreamsFor(route_, *services_[shard]), tried,
                latency_->subRequests.typical(), state_.now());
        },
        [this](std::uint32_t, UpstreamId) { return latency_->subRequests.hedgeDelay(); },
        [this](std::uint32_t shard, balancing::ExtraAttempt kind) {
            return services_[shard]->budget.tryAcquire(kind, state_.now());
        },
        [this] { return state_.nextId(); },
        [this](std::uint32_t shard) { return state_.directory.isUnreached(route_, *services_[shard]); },
    };
}

fanout::FinishFanout ActiveRequest::run()
{
    apply(query_.start(state_.now()));
    if (!outcome_) {
        armTimer();
        isFiberWaiting_ = true;
        state_.activeRequests.insert(this);
        finished_.wait();
        state_.activeRequests.erase(this);
    }
    timer_.cancel();
    return *std::move(outcome_);
}

void ActiveRequest::abandon()
{
    if (!outcome_)
        apply(query_.abandon(state_.now()));
}

void ActiveRequest::expire()
{
    if (!outcome_)
        apply(query_.onTimer(spec_.deadline));
}

std::vector<UpstreamReply> ActiveRequest::takeReplies()
{
    std::vector<UpstreamReply> result;
    for (auto& reply : replies_) {
        if (reply)
            result.push_back(*std::exchange(reply, std::nullopt));
    }
    return result;
}

void ActiveRequest::recordEvent(EventKind kind, std::uint32_t shard, UpstreamId upstream, std::string detail)
{
    events_.push_back({ kind, state_.now(), shard, state_.directory.entry(upstream).id, std::move(detail) });
}

void ActiveRequest::armTimer()
{
    const base::TimePoint next = query_.nextTimer();
    if (outcome_ || next == timerExpiry_)
        return;
    timerExpiry_ = next;
    timer_.expires_at(next);
    timer_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
        if (error || self->outcome_)
            return;
        const base::TimePoint due = std::exchange(self->timerExpiry_, {});
        self->applyAt(due, self->query_.onTimer(self->state_.now()));
        self->armTimer();
    });
}

void ActiveRequest::apply(std::vector<fanout::Action> actions)
{
    applyAt(state_.now(), std::move(actions));
}

void ActiveRequest::applyAt(base::TimePoint due, std::vector<fanout::Action> actions)
{
    for (fanout::Action& action : actions) {
        if (const auto* toSend = std::get_if<fanout::SendAttempt>(&action))
            send(*toSend);
        else if (const auto* toDrop = std::get_if<fanout::DropAttempt>(&action))
            drop(*toDrop);
        else if (const auto* toAwait = std::get_if<fanout::AwaitCapacity>(&action))
            awaitCapacity(toAwait->shard);
        else
            outcome_ = std::get<fanout::FinishFanout>(std::move(action));
    }
    if (!outcome_)
        return;
    outcomeDueAt_ = due;
    removeAllWaiting();
    reportCrash();
    if (isFiberWaiting_)
        finished_.notify();
}

void ActiveRequest::drop(const fanout::DropAttempt& action)
{
    const auto found = inFlight_.find(action.attempt);
    if (found != inFlight_.end())
        state_.directory.concurrency(action.upstream).onDropped(found->second.at, route_.goal, state_.now());
    state_.directory.pool(action.upstream).drop(action.attempt);
}

void ActiveRequest::removeAllWaiting()
{
    for (std::uint32_t shard = 0; shard < queueKeys_.size(); ++shard) {
        if (queueKeys_[shard])
            Directory::removeWaiting(*services_[shard], *std::exchange(queueKeys_[shard], std::nullopt));
    }
}

void ActiveRequest::send(const fanout::SendAttempt& action)
{
    const base::TimePoint now = state_.now();
    inFlight_.emplace(action.attempt, InFlightAttempt { action.upstream, action.shard, now });
    state_.directory.onSent(action.upstream, action.attempt, latency_->subRequests.typical());
    recordEvent(action.isExtra ? EventKind::Hedged : EventKind::Sent, action.shard, action.upstream);
    state_.directory.pool(action.upstream)
        .send({ action.attempt, outboundRequest_, spec_.deadline, spec_.isIdempotent,
                  route_.isFanout() ? MaxPartBytes : MaxResponseBytes, {},
                  [self = shared_from_this(),
                      crash = Crash { action.upstream, state_.quarantine.crashes(outboundRequest_->fingerprint) }] {
                      self->onUpstreamCrashed(crash);
                  } },
            [self = shared_from_this(), id = action.attempt](
                upstreamclient::AttemptResult result) { self->onResult(id, std::move(result)); });
}

void ActiveRequest::awaitCapacity(std::uint32_t shard)
{
    const auto onCapacity = [weak = weak_from_this(), shard] {
        const auto self = weak.lock();
        if (!self || self->outcome_)
            return true;
        self->apply(self->query_.onCapacity(shard, self->state_.now()));
        if (self->outcome_ || !self->query_.isAwaitingCapacity(shard)) {
            self->queueKeys_[shard].reset();
            self->armTimer();
            return true;
        }
        return false;
    };
    queueKeys_[shard]
        = state_.directory.enqueue(*services_[shard], spec_.answerBy, latency_->subRequests.typical(), onCapacity);
}

void ActiveRequest::onResult(AttemptId id, upstreamclient::AttemptResult result)
{
    const auto found = inFlight_.find(id);
    if (found == inFlight_.end())
        return;
    const InFlightAttempt attempt = found->second;
    inFlight_.erase(found);
    if (result)
        onReply(id, attempt, *std::move(result));
    else
        onError(id, attempt, result.error());
    reportCrash();
    if (!outcome_)
        armTimer();
}

void ActiveRequest::onReply(AttemptId id, const InFlightAttempt& attempt, UpstreamReply reply)
{
    const base::TimePoint now = state_.now();
    switch (reply.kind) {
    case ReplyKind::Success:
        onResponse();
        state_.directory.selector().onAnswered(attempt.upstream, id, now);
        state_.directory.concurrency(attempt.upstream).onAnswered(attempt.at, route_.goal, now, reply.notice.load);
        latency_->subRequests.observe(now - attempt.at);
        replies_[attempt.shard] = std::move(reply);
        apply(query_.onAnswered(id, now));
        return;
    case ReplyKind::NotRun:
        failAttempt(id, attempt,
            { RunState::NotRun, true, "refused with status " + std::to_string(reply.response.result_int()) });
        return;
    case ReplyKind::WrongUpstream:
        failAttempt(id, attempt, { RunState::NotRun, false, "a different process responds at the address" });
        return;
    case ReplyKind::Failure: {
        onResponse();
        const std::string reason = "failed with status " + std::to_string(reply.response.result_int());
        failedReply_ = std::move(reply);
        failAttempt(id, attempt, { RunState::Run, true, reason });
        return;
    }
    }
}

void ActiveRequest::onError(AttemptId id, const InFlightAttempt& attempt, const Error& error)
{
    // If the connection could not be opened, the attempt put no load on the upstream.
    const bool reachedUpstream = error.runState != RunState::NotRun;
    const bool isConnectionLost = error.code == ErrorCode::ConnectionLost && reachedUpstream;
    failAttempt(id, attempt, { error.runState, reachedUpstream, toString(error), isConnectionLost });
}

void ActiveRequest::onUpstreamCrashed(const Crash& crash)
{
    if (state_.log.hasTokens()) {
        const discovery::UpstreamEntry& entry = state_.directory.entry(crash.upstream);
        state_.log.writeDecision("crashed_during_request",
            { { "request", outboundRequest_->requestId }, { "fingerprint", outboundRequest_->fingerprint },
                { "route", route_.name }, { "upstream", entry.id }, { "service", entry.service },
                { "crashes_when_sent", crash.crashesWhenSent } });
    }
    if (!crash_ || crash.crashesWhenSent > crash_->crashesWhenSent)
        crash_ = crash;
    reportCrash();
}

// Most requests that lose an upstream are innocent, and answered by the next one. Only those that no upstream has
// survived are worth telling the other VMs.
void ActiveRequest::reportCrash()
{
    if (!crash_ || hasResponse_ || (!outcome_ && !inFlight_.empty()))
        return;
    const Crash crash = *std::exchange(crash_, std::nullopt);
    state_.onCrash(outboundRequest_->fingerprint, crash.crashesWhenSent, state_.directory.entry(crash.upstream).id);
}

void ActiveRequest::onResponse()
{
    hasResponse_ = true;
    state_.onAnswered(outboundRequest_->fingerprint);
}

void ActiveRequest::failAttempt(AttemptId id, const InFlightAttempt& attempt, const fanout::AttemptFailure& failure)
{
    state_.directory.selector().onFailed(attempt.upstream, id, state_.now());
    hasFault_ = hasFault_ || failure.runState != RunState::NotRun;
    recordEvent(EventKind::Failed, attempt.shard, attempt.upstream, failure.reason);
    apply(query_.onFailed(id, failure, state_.now()));
}

} // namespace flamingousher::entry
