#include "balancing/concurrencylimit.h"

#include <algorithm>
#include <utility>

namespace flamingousher::balancing {

namespace {

    // A sub-request that takes a larger part of its goal leaves too little time for the wait before it, for a hedge and
    // for the other shards.
    constexpr double MaxGoalFraction = 0.4;

    constexpr double DecreaseFactor = 0.6;

    // Equal parts of hundreds of VMs are hundredths: by then most of them send nothing, and an upstream that is fast
    // again must be noticed.
    constexpr base::Duration MaxPause = std::chrono::seconds(1);

    // Added for each response in time while the limit is below its initial value and keeps nothing waiting: a VM that
    // has little to send would not notice otherwise that the upstream is fast again.
    constexpr double Recovery = 0.1;

    // A VM of a large fleet sends to an upstream about once in this time.
    constexpr base::Duration CongestionMemory = std::chrono::milliseconds(1'000);

    // Added for each response in time that a limit in use has brought, divided by the limit: one request more after
    // about two rounds of responses.
    constexpr double Increase = 0.5;

} // namespace

void ConcurrencyLimit::setBounds(const ConcurrencyBounds& bounds)
{
    bounds_ = bounds;
    limit_ = std::clamp(std::exchange(isInitialized_, true) ? limit_ : bounds.initial, bounds.min, bounds.max);
}

bool ConcurrencyLimit::allows(std::size_t inFlight, base::TimePoint now) const
{
    if (inFlight == 0)
        return now >= pausedUntil_;
    return static_cast<double>(inFlight + 1) <= limit_;
}

bool ConcurrencyLimit::isCongested(base::TimePoint now) const
{
    return now < decreasedAt_ + CongestionMemory;
}

base::Duration ConcurrencyLimit::waitTime(base::TimePoint now) const
{
    return std::max(base::Duration::zero(), pausedUntil_ - now);
}

// With a limit of a quarter, a request is in flight for a quarter of the time.
void ConcurrencyLimit::pauseAfter(base::Duration latency, base::TimePoint now)
{
    if (limit_ < 1)
        pausedUntil_ = now + std::min(MaxPause, std::chrono::duration_cast<base::Duration>(latency * (1 / limit_ - 1)));
}

bool ConcurrencyLimit::isSlow(base::Duration latency, base::Duration latencyGoal)
{
    return latency > latencyGoal * MaxGoalFraction;
}

// An upstream that states that nothing waits there is slow, but not full: fewer requests would not make it faster. Its
// word does not count where its answers leave no time at all.
bool ConcurrencyLimit::isFull(
    base::Duration latency, base::Duration latencyGoal, const std::optional<UpstreamLoad>& load)
{
    const bool deniesFullness = load && load->slots > 0 && load->waiting == 0 && load->running < load->slots;
    return isSlow(latency, latencyGoal) && (!deniesFullness || latency > latencyGoal);
}

void ConcurrencyLimit::onAnswered(
    base::TimePoint sentAt, base::Duration latencyGoal, base::TimePoint now, const std::optional<UpstreamLoad>& load)
{
    const base::Duration latency = now - sentAt;
    if (isFull(latency, latencyGoal, load)) {
        onSlow(sentAt, now);
        pauseAfter(latency, now);
        return;
    }
    slowSince_.reset();
    if (std::exchange(isBinding_, false))
        limit_ = std::min(bounds_.max, limit_ + Increase / std::max(1.0, limit_));
    else if (limit_ < bounds_.initial)
        limit_ = std::min(bounds_.initial, limit_ + Recovery);
    pauseAfter(latency, now);
}

void ConcurrencyLimit::onDropped(base::TimePoint sentAt, base::Duration latencyGoal, base::TimePoint now)
{
    if (isSlow(now - sentAt, latencyGoal))
        onSlow(sentAt, now);
}

// One slow response, or several to requests that were in flight together, may come from a pause of the upstream. A full
// one is still slow for what is sent afterwards.
void ConcurrencyLimit::onSlow(base::TimePoint sentAt, base::TimePoint now)
{
    if (!slowSince_) {
        slowSince_ = now;
        return;
    }
    if (sentAt < *slowSince_)
        return;
    slowSince_ = now;
    limit_ = std::max(bounds_.min, limit_ * DecreaseFactor);
    decreasedAt_ = now;
    isBinding_ = false;
}

} // namespace flamingousher::balancing
