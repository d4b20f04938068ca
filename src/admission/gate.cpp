#include "admission/gate.h"

#include <algorithm>

namespace flamingousher::admission {

namespace {

    constexpr double DecreaseFactor = 0.9;
    constexpr base::Duration DecreaseInterval = std::chrono::milliseconds(50);
    constexpr double LatencyWeight = 0.1;

    // A query that waits must have this many mean latencies left when it starts.
    constexpr int LatencyMargin = 2;

    // The slot wait above which the limit shrinks is this part of the time left, within bounds.
    constexpr int WaitFraction = 10;
    constexpr base::Duration LongestWaitThreshold = std::chrono::milliseconds(30);

    // The limit grows only while at least this fraction of it is in use.
    constexpr double UsedFractionToGrow = 0.5;

} // namespace

Gate::Gate(GateSettings settings)
    : settings_(settings)
    , limit_(settings.initialLimit)
{
}

Decision Gate::request(TicketId id, const std::string& caller, base::TimePoint deadline, base::TimePoint now)
{
    if (now + meanLatency_ >= deadline)
        return { Verdict::Refused, {} };
    if (waitingByCaller_.find(caller) == waitingByCaller_.end() && mayAdmit(caller)) {
        admit(id, caller, deadline - now);
        return { Verdict::Admitted, {} };
    }
    const base::Duration wait = estimatedWait();
    if (waiting_.size() >= settings_.waitingCapacity || now + wait + LatencyMargin * meanLatency_ >= deadline)
        return { Verdict::Refused, wait + meanLatency_ };
    waiting_.emplace(id, Waiting { caller, deadline });
    waitingByCaller_[caller].emplace(deadline, id);
    return { Verdict::Waiting, {} };
}

double Gate::shareOf(const std::string& caller) const
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

bool Gate::mayAdmit(const std::string& caller) const
{
    if (static_cast<double>(inProgress_.size()) < limit_)
        return true;
    const auto own = inProgressByCaller_.find(caller);
    const double ownInProgress = own == inProgressByCaller_.end() ? 0 : static_cast<double>(own->second);
    // Above the limit a caller below its share is still let in, so that no other caller keeps it out.
    // Twice the limit bounds what this adds.
    return ownInProgress + 1 <= shareOf(caller) && static_cast<double>(inProgress_.size()) < 2 * limit_;
}

void Gate::admit(TicketId id, const std::string& caller, base::Duration timeLeft)
{
    // A query with more time may wait longer for its slots: a limit that shrinks too early leaves its floor unused.
    const base::Duration threshold = std::clamp(
        timeLeft / WaitFraction, settings_.waitThreshold, std::max(settings_.waitThreshold, LongestWaitThreshold));
    inProgress_.emplace(id, InProgress { caller, threshold });
    ++inProgressByCaller_[caller];
}

base::Duration Gate::estimatedWait() const
{
    const double turns = static_cast<double>(waiting_.size() + 1) / std::max(1.0, limit_);
    return std::chrono::duration_cast<base::Duration>(meanLatency_ * turns);
}

void Gate::release(TicketId id, base::Duration slotWait, base::Duration latency, base::TimePoint now)
{
    const auto found = inProgress_.find(id);
    if (found == inProgress_.end())
        return;
    const bool isUsed = static_cast<double>(inProgress_.size()) >= UsedFractionToGrow * limit_;
    const auto caller = inProgressByCaller_.find(found->second.caller);
    if (--caller->second == 0)
        inProgressByCaller_.erase(caller);
    const base::Duration threshold = found->second.waitThreshold;
    inProgress_.erase(found);
    meanLatency_ += std::chrono::duration_cast<base::Duration>((latency - meanLatency_) * LatencyWeight);
    if (slotWait > threshold) {
        if (now - lastDecrease_ >= DecreaseInterval) {
            limit_ = std::max(settings_.leastLimit, limit_ * DecreaseFactor);
            lastDecrease_ = now;
        }
    } else if (isUsed) {
        limit_ = std::min(settings_.mostLimit, limit_ + 1 / limit_);
    }
}

void Gate::withdraw(TicketId id)
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

Gate::Moved Gate::takeMoved(base::TimePoint now)
{
    Moved moved;
    std::vector<TicketId> late;
    for (const auto& [caller, queue] : waitingByCaller_) {
        for (const auto& [deadline, id] : queue) {
            if (now + meanLatency_ < deadline)
                break;
            late.push_back(id);
        }
    }
    for (TicketId id : late) {
        removeWaiting(id);
        moved.expired.push_back(id);
    }
    bool didAdmit = true;
    while (didAdmit && !waiting_.empty()) {
        didAdmit = false;
        // One of each caller in turn; each caller's earliest deadline first.
        std::vector<std::pair<std::string, TicketId>> heads;
        for (const auto& [caller, queue] : waitingByCaller_)
            heads.emplace_back(caller, queue.begin()->second);
        for (const auto& [caller, id] : heads) {
            if (!mayAdmit(caller))
                continue;
            const base::Duration timeLeft = waiting_.at(id).deadline - now;
            removeWaiting(id);
            admit(id, caller, timeLeft);
            moved.admitted.push_back(id);
            didAdmit = true;
        }
    }
    return moved;
}

} // namespace flamingousher::admission
