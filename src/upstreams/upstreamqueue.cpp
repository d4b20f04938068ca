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

    // Time constant of the decay of the slot time received by a rank.
    constexpr double ServedDecaySeconds = 1.0;

    // A rank counts as flooding when its mean wait for a slot exceeds this number of mean service times.
    constexpr double FloodWaitThreshold = 1.0;

    // Upper bound of a rank's credit, in mean service times. Prevents a burst after a blocked period.
    constexpr double MaxCredit = 4;

    // A flooding rank leaves one slot free if work of a more urgent rank has arrived within this period.
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

OfferResult UpstreamQueue::offer(const QueuedWork& work, base::TimePoint now)
{
    accrueCredit(now);
    lastArrival_[indexOf(work.rank)] = now;
    if (isDraining_)
        return OfferResult::Draining;
    if (waitingCount() >= settings_.capacity)
        return OfferResult::QueueFull;
    if (now + estimatedWait(work.rank) >= work.deadline)
        return OfferResult::CannotMeetDeadline;
    waiting_[indexOf(work.rank)].push(work);
    waitingWork_.emplace(work.id, Waiting { work.rank, now });
    return OfferResult::Queued;
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
        recordWait(*rank, now - waitingWork_.at(work.id).queuedAt);
        waitingWork_.erase(work.id);
        running_.emplace(work.id, Running { *rank, now });
        ++runningByRank_[indexOf(*rank)];
        spendCredit(*rank);
        started.push_back(std::move(work));
    }
    return started;
}

bool UpstreamQueue::canStart(Rank rank, base::TimePoint now) const
{
    if (waiting_[indexOf(rank)].isEmpty())
        return false;
    if (settings_.slots <= 1)
        return true;
    // Without a flood, a reserved slot would only delay this rank. Normal work may always use every slot: with
    // one slot fewer, its longer waits would count as a flood and the slot would stay reserved permanently.
    if (rank != Rank::Background || !isFlooding(rank))
        return true;
    const std::size_t otherSlots = settings_.slots - 1;
    for (Rank higher : base::AllRanks) {
        if (higher >= rank)
            break;
        const base::TimePoint arrival = lastArrival_[indexOf(higher)];
        const bool isRecent = arrival != base::TimePoint::min() && now - arrival < SlotReservePeriod;
        std::size_t runningLower = 0;
        for (std::size_t index = indexOf(higher) + 1; index < base::RankCount; ++index)
            runningLower += runningByRank_[index];
        if (isRecent && runningLower >= otherSlots)
            return false;
    }
    return true;
}

bool UpstreamQueue::isFlooding(Rank rank) const
{
    // A rank within its minimum share is never flooding, regardless of how long its work waits.
    const double minShareSeconds = settings_.minShares[indexOf(rank)] * settings_.slots * ServedDecaySeconds;
    return meanWait_[indexOf(rank)] > meanServiceTime_ * FloodWaitThreshold
        && servedSeconds_[indexOf(rank)] > minShareSeconds;
}

void UpstreamQueue::recordWait(Rank rank, base::Duration wait)
{
    base::Duration& mean = meanWait_[indexOf(rank)];
    mean += std::chrono::duration_cast<base::Duration>((wait - mean) * WaitWeight);
}

std::optional<Rank> UpstreamQueue::chooseRank(base::TimePoint now) const
{
    if (const std::optional<Rank> creditedRank = rankWithMostCredit(now))
        return creditedRank;
    for (Rank rank : base::AllRanks) {
        if (canStart(rank, now))
            return rank;
    }
    return std::nullopt;
}

std::optional<Rank> UpstreamQueue::rankWithMostCredit(base::TimePoint now) const
{
    std::optional<Rank> creditedRank;
    double largestCredit = toSeconds(meanServiceTime_);
    for (Rank rank : base::AllRanks) {
        const double credit = creditSeconds_[indexOf(rank)];
        if (credit >= largestCredit && canStart(rank, now)) {
            largestCredit = credit;
            creditedRank = rank;
        }
    }
    return creditedRank;
}

void UpstreamQueue::accrueCredit(base::TimePoint now)
{
    const double elapsed = now > creditAt_ ? toSeconds(now - creditAt_) : 0;
    creditAt_ = std::max(creditAt_, now);
    const double decay = std::exp(-elapsed / ServedDecaySeconds);
    for (double& served : servedSeconds_)
        served *= decay;
    const double maxCredit = MaxCredit * toSeconds(meanServiceTime_);
    for (Rank rank : base::AllRanks) {
        double& credit = creditSeconds_[indexOf(rank)];
        // Only a rank with waiting work accrues credit: unused share cannot be saved for later.
        if (waiting_[indexOf(rank)].isEmpty())
            credit = 0;
        else
            credit = std::min(maxCredit, credit + elapsed * settings_.minShares[indexOf(rank)] * settings_.slots);
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
    const base::Duration serviceTime = now - found->second.startedAt;
    --runningByRank_[indexOf(found->second.rank)];
    running_.erase(found);
    meanServiceTime_
        += std::chrono::duration_cast<base::Duration>((serviceTime - meanServiceTime_) * ServiceTimeWeight);
    return true;
}

CancelResult UpstreamQueue::cancel(SubRequestId id)
{
    if (running_.contains(id))
        return CancelResult::IsRunning;
    const auto found = waitingWork_.find(id);
    if (found == waitingWork_.end())
        return CancelResult::NotFound;
    waiting_[indexOf(found->second.rank)].remove(id);
    waitingWork_.erase(found);
    return CancelResult::RemovedBeforeStart;
}

std::vector<QueuedWork> UpstreamQueue::removeExpired(base::TimePoint now)
{
    std::vector<QueuedWork> expired;
    for (RankQueue& queue : waiting_) {
        for (QueuedWork& work : queue.removeExpired(now)) {
            waitingWork_.erase(work.id);
            expired.push_back(std::move(work));
        }
    }
    return expired;
}

std::vector<QueuedWork> UpstreamQueue::removeAllWaiting()
{
    return removeExpired(base::TimePoint::max());
}

base::Duration UpstreamQueue::estimatedWait(Rank rank) const
{
    if (settings_.slots == 0)
        return base::Duration::max() / 4;
    std::size_t queuedAhead = 0;
    for (std::size_t index = 0; index <= indexOf(rank); ++index)
        queuedAhead += waiting_[index].size();
    const std::size_t busy = running_.size();
    if (queuedAhead + busy < settings_.slots)
        return base::Duration::zero();
    const std::size_t completionsNeeded = queuedAhead + busy + 1 - settings_.slots;
    const base::Duration waitByRank = meanServiceTime_ * completionsNeeded / settings_.slots;
    const double minShare = settings_.minShares[indexOf(rank)];
    if (minShare <= 0)
        return waitByRank;
    const double completionsOfRank = static_cast<double>(waiting_[indexOf(rank)].size() + 1);
    const auto waitByMinShare = std::chrono::duration_cast<base::Duration>(
        meanServiceTime_ * (completionsOfRank / (settings_.slots * minShare)));
    return std::min(waitByRank, waitByMinShare);
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
