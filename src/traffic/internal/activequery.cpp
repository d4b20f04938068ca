#include "traffic/internal/activequery.h"

namespace flamingousher::traffic {

using accounts::EventKind;
using base::Error;
using base::ErrorCode;

ActiveQuery::ActiveQuery(TrafficContext& context, PoolState& pool, CallerRequest& request, const query::QuerySpec& spec,
    const std::string& text, std::uint64_t fingerprint)
    : context_(context)
    , pool_(pool)
    , extraAttemptPolicy_(pool.extraAttemptPolicy(request.route().rank))
    , request_(&request)
    , spec_(spec)
    , text_(text)
    , fingerprint_(fingerprint)
    , query_(spec, makeHooks())
    , timer_(context.io)
{
}

query::QueryHooks ActiveQuery::makeHooks()
{
    return {
        [this] { return pool_.catalog.bestPlan(); },
        [this](const std::vector<query::UpstreamId>& candidates) {
            return context_.chooser.choose(candidates, request_->route().rank, context_.now());
        },
        [this] { return extraAttemptPolicy_.hedgeDelay(); },
        [this] { return extraAttemptPolicy_.acquireHedge(context_.now()); },
        [this] { return extraAttemptPolicy_.acquireRetry(context_.now()); },
        [this] { return context_.quarantine.isQuarantined(fingerprint_, context_.now()); },
        [this] { return context_.nextId(); },
    };
}

query::QueryOutcome ActiveQuery::run()
{
    apply(query_.start(context_.now()));
    armTimer();
    if (!outcome_)
        finished_.wait();
    timer_.cancel();
    request_ = nullptr;
    return *std::move(outcome_);
}

void ActiveQuery::abandon()
{
    if (!outcome_)
        apply(query_.abandon(context_.now()));
}

void ActiveQuery::armTimer()
{
    if (outcome_)
        return;
    timer_.expires_at(query_.nextTimer());
    timer_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
        if (error || self->outcome_)
            return;
        self->apply(self->query_.onTimer(self->context_.now()));
        self->armTimer();
    });
}

void ActiveQuery::apply(const std::vector<query::Action>& actions)
{
    // A sub-request may be rejected synchronously. Its result is deferred until all actions have been executed.
    const bool isOutermost = !std::exchange(isApplying_, true);
    for (const query::Action& action : actions) {
        if (const auto* toSend = std::get_if<query::SendSubRequest>(&action))
            send(*toSend);
        else if (const auto* toCancel = std::get_if<query::CancelSubRequest>(&action))
            cancel(*toCancel);
        else
            outcome_ = std::get<query::FinishQuery>(action).outcome;
    }
    if (!isOutermost)
        return;
    isApplying_ = false;
    while (!deferred_.empty()) {
        auto results = std::exchange(deferred_, {});
        for (auto& [id, result] : results)
            onResult(id, std::move(result));
    }
    if (outcome_)
        finished_.notify();
}

void ActiveQuery::send(const query::SendSubRequest& action)
{
    const base::TimePoint now = context_.now();
    sent_.emplace(action.id, Sent { action.upstream, action.target, now, context_.quarantine.crashes(fingerprint_) });
    context_.chooser.onSent(action.upstream, request_->route().rank);
    if (!action.isHedge)
        extraAttemptPolicy_.onFirstAttempt();
    request_->recordEvent(action.isHedge ? EventKind::Hedged : EventKind::Sent, action.target.shard, action.upstream);
    transport::SubRequest subRequest { action.id, action.upstream, request_->route().rank, request_->caller(),
        std::min(spec_.deadline, now + transport::MaxSubRequestDuration), fingerprint_,
        transport::SearchCall { action.target, text_, static_cast<std::uint32_t>(spec_.resultLimit) },
        sent_.at(action.id).knownCrashes };
    context_.dispatcher.submit(
        std::move(subRequest), [self = shared_from_this(), id = action.id](transport::SubResult result) {
            self->onResult(id, std::move(result));
        });
}

void ActiveQuery::cancel(const query::CancelSubRequest& action)
{
    const auto found = sent_.find(action.id);
    if (found == sent_.end())
        return;
    context_.chooser.onCancelled(
        action.upstream, request_->route().rank, context_.now() - found->second.at, context_.now());
    request_->recordEvent(EventKind::Cancelled, found->second.target.shard, action.upstream);
    sent_.erase(found);
    context_.dispatcher.cancel(action.id, action.upstream);
}

void ActiveQuery::onResult(query::SubRequestId id, transport::SubResult result)
{
    if (isApplying_) {
        deferred_.emplace_back(id, std::move(result));
        return;
    }
    handleResult(id, std::move(result));
}

void ActiveQuery::handleResult(query::SubRequestId id, transport::SubResult result)
{
    const auto found = sent_.find(id);
    if (found == sent_.end() || outcome_)
        return;
    const Sent sent = found->second;
    sent_.erase(found);
    maxQueueTime_ = std::max(maxQueueTime_, result.queued);
    const base::TimePoint now = context_.now();
    if (!result.value) {
        handleError(sent, result.value.error());
        request_->recordEvent(EventKind::Failed, sent.target.shard, sent.upstream, result.value.error());
        apply(query_.onFailure(id, result.value.error(), now));
        return;
    }
    context_.chooser.onAnswered(sent.upstream, request_->route().rank, result.queued, now - sent.at);
    extraAttemptPolicy_.onAnswered(now - sent.at);
    request_->recordEvent(EventKind::Answered, sent.target.shard, sent.upstream);
    context_.onAnswered(fingerprint_);
    apply(query_.onAnswer(id, std::get<query::SubAnswer>(std::move(*result.value)), now));
}

void ActiveQuery::handleError(const Sent& sent, const Error& error)
{
    context_.chooser.onError(sent.upstream, request_->route().rank, error, context_.now());
    if (error.code == ErrorCode::Shed || error.code == ErrorCode::Overloaded) {
        maxQueueTime_ = std::max(maxQueueTime_, spec_.deadline - request_->receivedAt());
        extraAttemptPolicy_.onShed(context_.now());
    }
    if (error.code == ErrorCode::UpstreamCrashed)
        context_.onCrash(fingerprint_, sent.knownCrashes, sent.upstream);
    if (error.code == ErrorCode::VersionNotServed)
        pool_.catalog.removeVersion(sent.upstream, sent.target.version);
    if (error.code == ErrorCode::Draining)
        pool_.catalog.setUsable(sent.upstream, false);
}

} // namespace flamingousher::traffic
