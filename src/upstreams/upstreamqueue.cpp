#include "upstreams/upstreamqueue.h"

#include <algorithm>
#include <cmath>

namespace flamingousher::upstreams {

using base::indexOf;
using base::Rank;

namespace {

    constexpr base::Duration InitialServiceTime = std::chrono::milliseconds(5);
    constexpr double ServiceTimeWeight = 0.05;
    constexpr double WaitWeight = 0.05;

    // Period over which the slot time that a rank has received counts.
    constexpr double ServedDecaySeconds = 1.0;

    // A rank floods when its work waits longer for a slot than this many service times, on average.
    constexpr double FloodWait = 1.0;

    // Bounds the credit of a rank, in mean service times, so that no burst follows a blocked period.
    constexpr double MaximumCredit = 4;

    // While a more urgent rank has arrived within this period, a rank that floods leaves one slot free for it.
    constexpr base::Duration SlotReservePeriod = std::chrono::seconds(5);

    double toSeconds(base::Duration duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

} // namespace

UpstreamQueue::UpstreamQueue(QueueSettings settings)
    : settings_(settings)
    , meanServiceTime_(InitialServiceTime)
{
    lastArrival_.fill(base::TimePoint::min());
}

OfferVerdict UpstreamQueue::offer(const QueuedWork& work, base::TimePoint now)
{
    accrueCredit(now);
    lastArrival_[indexOf(work.rank)] = now;
    if (isDraining_)
        return OfferVerdict::Draining;
    if (waitingCount() >= settings_.capacity)
        return OfferVerdict::QueueFull;
    if (now + estimatedWait(work.rank) >= work.deadline)
        return OfferVerdict::CannotMeetDeadline;
    waiting_[indexOf(work.rank)].push(work);
    waitingWork_.emplace(work.id, Waiting { work.rank, now });
    return OfferVerdict::Queued;
}

std::vector<QueuedWork> UpstreamQueue::startReady(base::TimePoint now)
{
    accrueCredit(now);
    std::vector<QueuedWork> started;
    while (running_.size() < settings_.slots) {
        const std::optional<Rank> rank = chooseRank(now);
        if (!rank)
            break;
        QueuedWork work = *waiting_[indexOf(*rank)].pop();
        noteWait(*rank, now - waitingWork_.at(work.id).since);
        waitingWork_.erase(work.id);
        running_.emplace(work.id, Running { *rank, now });
        ++runningByRank_[indexOf(*rank)];
        spendCredit(*rank);
        started.push_back(std::move(work));
    }
    return started;
}

bool UpstreamQueue::mayStart(Rank rank, base::TimePoint now) const
{
    if (waiting_[indexOf(rank)].isEmpty())
        return false;
    if (settings_.slots <= 1)
        return true;
    // Without a flood, a slot kept free would only make this rank wait. Normal work always has every slot: with
    // one slot fewer its waits would look like a flood and keep the slot from it for good.
    if (rank != Rank::Background || !isFlooding(rank))
        return true;
    const std::size_t others = settings_.slots - 1;
    for (Rank higher : base::AllRanks) {
        if (higher >= rank)
            break;
        const base::TimePoint arrival = lastArrival_[indexOf(higher)];
        const bool isRecent = arrival != base::TimePoint::min() && now - arrival < SlotReservePeriod;
        std::size_t runningLower = 0;
        for (std::size_t index = indexOf(higher) + 1; index < base::RankCount; ++index)
            runningLower += runningByRank_[index];
        if (isRecent && runningLower >= others)
            return false;
    }
    return true;
}

bool UpstreamQueue::isFlooding(Rank rank) const
{
    // What a rank receives within its floor is its due, however long its work waits.
    const double floorSeconds = settings_.floors[indexOf(rank)] * settings_.slots * ServedDecaySeconds;
    return meanWait_[indexOf(rank)] > meanServiceTime_ * FloodWait && servedSeconds_[indexOf(rank)] > floorSeconds;
}

void UpstreamQueue::noteWait(Rank rank, base::Duration wait)
{
    base::Duration& mean = meanWait_[indexOf(rank)];
    mean += std::chrono::duration_cast<base::Duration>((wait - mean) * WaitWeight);
}

std::optional<Rank> UpstreamQueue::chooseRank(base::TimePoint now) const
{
    if (const std::optional<Rank> owed = mostOwedRank(now))
        return owed;
    for (Rank rank : base::AllRanks) {
        if (mayStart(rank, now))
            return rank;
    }
    return std::nullopt;
}

std::optional<Rank> UpstreamQueue::mostOwedRank(base::TimePoint now) const
{
    std::optional<Rank> owed;
    double largestCredit = toSeconds(meanServiceTime_);
    for (Rank rank : base::AllRanks) {
        const double credit = creditSeconds_[indexOf(rank)];
        if (credit >= largestCredit && mayStart(rank, now)) {
            largestCredit = credit;
            owed = rank;
        }
    }
    return owed;
}

void UpstreamQueue::accrueCredit(base::TimePoint now)
{
    const double elapsed = now > creditAt_ ? toSeconds(now - creditAt_) : 0;
    creditAt_ = std::max(creditAt_, now);
    const double kept = std::exp(-elapsed / ServedDecaySeconds);
    for (double& served : servedSeconds_)
        served *= kept;
    const double most = MaximumCredit * toSeconds(meanServiceTime_);
    for (Rank rank : base::AllRanks) {
        double& credit = creditSeconds_[indexOf(rank)];
        // Only a rank with waiting work earns credit: a floor is for demand, not for savings.
        if (waiting_[indexOf(rank)].isEmpty())
            credit = 0;
        else
            credit = std::min(most, credit + elapsed * settings_.floors[indexOf(rank)] * settings_.slots);
    }
}

void UpstreamQueue::spendCredit(Rank rank)
{
    servedSeconds_[indexOf(rank)] += toSeconds(meanServiceTime_);
    double& credit = creditSeconds_[indexOf(rank)];
    credit = std::max(0.0, credit - toSeconds(meanServiceTime_));
}

bool UpstreamQueue::finish(SubRequestId id, base::TimePoint now)
{
    const auto found = running_.find(id);
    if (found == running_.end())
        return false;
    const base::Duration took = now - found->second.startedAt;
    --runningByRank_[indexOf(found->second.rank)];
    running_.erase(found);
    meanServiceTime_ += std::chrono::duration_cast<base::Duration>((took - meanServiceTime_) * ServiceTimeWeight);
    return true;
}

CancelVerdict UpstreamQueue::cancel(SubRequestId id)
{
    if (running_.contains(id))
        return CancelVerdict::IsRunning;
    const auto found = waitingWork_.find(id);
    if (found == waitingWork_.end())
        return CancelVerdict::NotFound;
    waiting_[indexOf(found->second.rank)].remove(id);
    waitingWork_.erase(found);
    return CancelVerdict::RemovedBeforeStart;
}

std::vector<QueuedWork> UpstreamQueue::takeExpired(base::TimePoint now)
{
    std::vector<QueuedWork> expired;
    for (RankQueue& queue : waiting_) {
        for (QueuedWork& work : queue.takeExpired(now)) {
            waitingWork_.erase(work.id);
            expired.push_back(std::move(work));
        }
    }
    return expired;
}

std::vector<QueuedWork> UpstreamQueue::takeAllWaiting()
{
    return takeExpired(base::TimePoint::max());
}

base::Duration UpstreamQueue::estimatedWait(Rank rank) const
{
    if (settings_.slots == 0)
        return base::Duration::max() / 4;
    std::size_t ahead = 0;
    for (std::size_t index = 0; index <= indexOf(rank); ++index)
        ahead += waiting_[index].size();
    const std::size_t busy = running_.size();
    if (ahead + busy < settings_.slots)
        return base::Duration::zero();
    const std::size_t turns = ahead + busy + 1 - settings_.slots;
    const base::Duration byRank = meanServiceTime_ * turns / settings_.slots;
    const double floor = settings_.floors[indexOf(rank)];
    if (floor <= 0)
        return byRank;
    const double ownTurns = static_cast<double>(waiting_[indexOf(rank)].size() + 1);
    const auto byFloor
        = std::chrono::duration_cast<base::Duration>(meanServiceTime_ * (ownTurns / (settings_.slots * floor)));
    return std::min(byRank, byFloor);
}

void UpstreamQueue::setSettings(const QueueSettings& settings)
{
    settings_ = settings;
}

void UpstreamQueue::setDraining(bool isDraining)
{
    isDraining_ = isDraining;
}

std::size_t UpstreamQueue::waitingCount() const
{
    return waitingWork_.size();
}

std::size_t UpstreamQueue::waitingCount(Rank rank) const
{
    return waiting_[indexOf(rank)].size();
}

} // namespace flamingousher::upstreams
