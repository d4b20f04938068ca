#include "entry/internal/delegatedrequest.h"

#include <algorithm>

namespace flamingousher::entry {

using base::RunState;
using upstreamclient::ReplyKind;

namespace {

    // A delegate confirms within the round trip and its scheduling delay. The rest of the goal must suffice for running
    // the request here, if this VM can; callers that get an error try again elsewhere.
    constexpr double ConfirmationFraction = 0.25; // of the time until the goal
    constexpr double SoleConfirmationFraction = 0.5;
    constexpr base::Duration UnreadDataDelay = std::chrono::milliseconds(1); // until what has arrived is read

    constexpr std::size_t MaxResponseBytes = 8 * 1024 * 1024; // as of an upstream

    constexpr base::Duration MinConfirmationTime = std::chrono::milliseconds(8);

} // namespace

DelegatedRequest::DelegatedRequest(
    EntryState& state, std::shared_ptr<const upstreamclient::OutboundRequest> request, const Limits& limits)
    : state_(state)
    , request_(std::move(request))
    , limits_(limits)
    , timer_(state.io)
{
}

base::Duration DelegatedRequest::confirmationTime(base::Duration untilGoal, bool canRunHere)
{
    const double fraction = canRunHere ? ConfirmationFraction : SoleConfirmationFraction;
    return std::max(MinConfirmationTime, std::chrono::duration_cast<base::Duration>(fraction * untilGoal));
}

DelegationResult DelegatedRequest::run()
{
    std::vector<Delegates::DelegateId> tried;
    DelegationResult result;
    while (result.outcome == DelegationOutcome::NotRun && !isAbandoned_ && tried.size() < limits_.maxDelegates) {
        const auto delegate = state_.delegates.choose(tried, limits_.typical);
        if (!delegate)
            break;
        tried.push_back(*delegate);
        result = runAt(*delegate);
    }
    if (isAbandoned_)
        result.outcome = DelegationOutcome::Abandoned;
    return result;
}

DelegationResult DelegatedRequest::runAt(Delegates::DelegateId delegate)
{
    result_ = {};
    delegate_ = delegate;
    isAcknowledged_ = false;
    attempt_ = state_.nextId();
    const base::TimePoint now = state_.now();
    armTimer(std::min(now + limits_.confirmWithin, limits_.deadline));
    const auto self = shared_from_this();
    upstreamclient::Attempt attempt { attempt_, request_, limits_.deadline, true, MaxResponseBytes,
        [weak = weak_from_this(), id = attempt_] {
            const auto request = weak.lock();
            if (!request || request->attempt_ != id || request->isAcknowledged_)
                return;
            request->isAcknowledged_ = true;
            request->armTimer(request->limits_.deadline);
        } };
    state_.delegates.send(delegate, attempt, limits_.typical,
        [self, id = attempt_](upstreamclient::AttemptResult result) { self->onResult(id, std::move(result)); });
    if (attempt_ != 0) {
        isWaiting_ = true;
        finished_.wait();
        isWaiting_ = false;
    }
    timer_.cancel();
    result_.delegate = state_.delegates.endpoint(delegate);
    return std::move(result_);
}

void DelegatedRequest::onResult(AttemptId id, upstreamclient::AttemptResult result)
{
    if (attempt_ != id)
        return;
    if (!result) {
        state_.delegates.onFailed(delegate_, id);
        // The confirmation is sent before the first attempt, so without it the request has hardly begun.
        const auto outcome = result.error().runState == RunState::NotRun ? DelegationOutcome::NotRun
            : isAcknowledged_                                            ? DelegationOutcome::Lost
                                                                         : DelegationOutcome::Unacknowledged;
        finish(outcome, toString(result.error()));
        return;
    }
    if (result->kind == ReplyKind::Success) {
        state_.delegates.onAnswered(delegate_, id);
        result_.reply = *std::move(result);
        finish(DelegationOutcome::Answered, {});
        return;
    }
    state_.delegates.onFailed(delegate_, id);
    const std::string detail = "refused with status " + std::to_string(result->response.result_int());
    finish(result->kind == ReplyKind::NotRun ? DelegationOutcome::NotRun : DelegationOutcome::Lost, detail);
}

void DelegatedRequest::armTimer(base::TimePoint at)
{
    timer_.expires_at(at);
    timer_.async_wait([self = shared_from_this(), id = attempt_](const boost::system::error_code& error) {
        if (!error && self->attempt_ == id)
            self->onTimer();
    });
}

void DelegatedRequest::onTimer()
{
    // The wait may already have ended when the confirmation extended it.
    if (state_.now() < timer_.expiry())
        return;
    // A small VM may be late itself: the confirmation has arrived but is not read yet.
    if (state_.delegates.hasUnreadData(delegate_, attempt_) && state_.now() < limits_.deadline) {
        armTimer(std::min(state_.now() + UnreadDataDelay, limits_.deadline));
        return;
    }
    const bool mayHaveRun = state_.delegates.drop(delegate_, attempt_, true);
    if (!mayHaveRun)
        finish(DelegationOutcome::NotRun, "the connection did not open in time");
    else if (!isAcknowledged_)
        finish(DelegationOutcome::Unacknowledged, "not confirmed in time");
    else
        finish(DelegationOutcome::Lost, "no answer in time");
}

void DelegatedRequest::abandon()
{
    isAbandoned_ = true;
    if (attempt_ == 0)
        return;
    state_.delegates.drop(delegate_, attempt_, false);
    finish(DelegationOutcome::Abandoned, "the caller disconnected");
}

void DelegatedRequest::finish(DelegationOutcome outcome, const std::string& detail)
{
    attempt_ = 0;
    result_.outcome = outcome;
    result_.detail = detail;
    if (isWaiting_)
        finished_.notify();
}

} // namespace flamingousher::entry
