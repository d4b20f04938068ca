#include "admission/gate.h"

#include <algorithm>

namespace flamingousher::admission {

namespace {

    constexpr double DecreaseFactor = 0.9;
    constexpr base::Duration DecreaseInterval = std::chrono::milliseconds(50);
    constexpr double LatencyEwmaWeight = 0.1;

    // A query is queued only if its expected start leaves this many mean latencies before its deadline.
    constexpr int RequiredMeanLatencies = 2;

    // The slot wait that shrinks the limit is the time left divided by this, clamped.
    constexpr int WaitThresholdDivisor = 10;
    constexpr base::Duration MaxWaitThreshold = std::chrono::milliseconds(30);

    // Minimum fraction of the limit in use for it to grow.
    constexpr double MinUsedFractionToGrow = 0.5;

} // namespace

Gate::Gate(GateSettings settings)
    : settings_(settings)
    , limit_(settings.initialLimit)
{
}

Decision Gate::request(TicketId id, const std::string& caller, base::TimePoint deadline, base::TimePoint now)
{
    if (now + meanLatency_ >= deadline)
        return { Result::Refused, {} };
    if (waitingByCaller_.find(caller) == waitingByCaller_.end() && canAdmit(caller)) {
        admit(id, caller, deadline - now);
        return { Result::Admitted, {} };
    }
    const base::Duration wait = estimatedWait();
    if (waiting_.size() >= settings_.waitingCapacity || now + wait + RequiredMeanLatencies * meanLatency_ >= deadline)
        return { Result::Refused, wait + meanLatency_ };
    waiting_.emplace(id, Waiting { caller, deadline });
    waitingByCaller_[caller].emplace(deadline, id);
    return { Result::Waiting, {} };
}

double Gate::fairShare(const std::string& caller) const
{
    std::size_t callers = inProgressByCaller_.size();
    if (!inProgressByCaller_.contains(caller))
        ++callers;
    for (const auto& [waitingCaller, queue] : waitingByCaller_) {
        if (waitingCaller != caller && !inProgressByCaller_.contains(waitingCaller))
            ++callers;
    }
    return std::max(1.0, limit_ / static_cast<double>(callers));
}

bool Gate::canAdmit(const std::string& caller) const
{
    if (static_cast<double>(inProgress_.size()) < limit_)
        return true;
    const auto entry = inProgressByCaller_.find(caller);
    const double callerInProgress = entry == inProgressByCaller_.end() ? 0 : static_cast<double>(entry->second);
    // A caller below its share is admitted above the limit, or other callers could starve it. The total stays
    // below twice the limit.
    return callerInProgress + 1 <= fairShare(caller) && static_cast<double>(inProgress_.size()) < 2 * limit_;
}

void Gate::admit(TicketId id, const std::string& caller, base::Duration timeLeft)
{
    // A query with a later deadline can wait longer for slots. Shrinking the limit too early would leave the
    // rank's minimum share of slots unused.
    const base::Duration threshold = std::clamp(
        timeLeft / WaitThresholdDivisor, settings_.waitThreshold, std::max(settings_.waitThreshold, MaxWaitThreshold));
    inProgress_.emplace(id, InProgress { caller, threshold });
    ++inProgressByCaller_[caller];
}

base::Duration Gate::estimatedWait() const
{
    const double batches = static_cast<double>(waiting_.size() + 1) / std::max(1.0, limit_);
    return std::chrono::duration_cast<base::Duration>(meanLatency_ * batches);
}

void Gate::release(TicketId id, base::Duration slotWait, base::Duration latency, base::TimePoint now)
{
    const auto found = inProgress_.find(id);
    if (found == inProgress_.end())
        return;
    const bool isLimitUsed = static_cast<double>(inProgress_.size()) >= MinUsedFractionToGrow * limit_;
    const auto caller = inProgressByCaller_.find(found->second.caller);
    if (--caller->second == 0)
        inProgressByCaller_.erase(caller);
    const base::Duration threshold = found->second.waitThreshold;
    inProgress_.erase(found);
    meanLatency_ += std::chrono::duration_cast<base::Duration>((latency - meanLatency_) * LatencyEwmaWeight);
    if (slotWait > threshold) {
        if (now - lastDecrease_ >= DecreaseInterval) {
            limit_ = std::max(settings_.minLimit, limit_ * DecreaseFactor);
            lastDecrease_ = now;
        }
    } else if (isLimitUsed) {
        limit_ = std::min(settings_.maxLimit, limit_ + 1 / limit_);
    }
}

void Gate::cancelWaiting(TicketId id)
{
    if (waiting_.contains(id))
        removeWaiting(id);
}

void Gate::removeWaiting(TicketId id)
{
    const auto found = waiting_.find(id);
    const auto queue = waitingByCaller_.find(found->second.caller);
    queue->second.erase({ found->second.deadline, id });
    if (queue->second.empty())
        waitingByCaller_.erase(queue);
    waiting_.erase(found);
}

Gate::Dequeued Gate::dequeue(base::TimePoint now)
{
    Dequeued dequeued;
    std::vector<TicketId> expiredIds;
    for (const auto& [caller, queue] : waitingByCaller_) {
        for (const auto& [deadline, id] : queue) {
            if (now + meanLatency_ < deadline)
                break;
            expiredIds.push_back(id);
        }
    }
    for (TicketId id : expiredIds) {
        removeWaiting(id);
        dequeued.expired.push_back(id);
    }
    bool hasAdmitted = true;
    while (hasAdmitted && !waiting_.empty()) {
        hasAdmitted = false;
        // Round robin over the callers, earliest deadline first within a caller.
        std::vector<std::pair<std::string, TicketId>> nextByCaller;
        for (const auto& [caller, queue] : waitingByCaller_)
            nextByCaller.emplace_back(caller, queue.begin()->second);
        for (const auto& [caller, id] : nextByCaller) {
            if (!canAdmit(caller))
                continue;
            const base::Duration timeLeft = waiting_.at(id).deadline - now;
            removeWaiting(id);
            admit(id, caller, timeLeft);
            dequeued.admitted.push_back(id);
            hasAdmitted = true;
        }
    }
    return dequeued;
}

} // namespace flamingousher::admission
