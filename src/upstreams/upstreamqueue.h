#pragma once

#include "upstreams/internal/rankqueue.h"
#include "upstreams/types.h"

#include <array>
#include <optional>
#include <unordered_map>
#include <vector>

namespace flamingousher::upstreams {

// Schedules sub-requests on the slots of one upstream: by rank, with a minimum share of slot time for each
// rank, then fairly between callers, then by deadline. Performs no I/O.
class UpstreamQueue {
public:
    explicit UpstreamQueue(QueueSettings);

    // Queues the work, or rejects it immediately if it cannot start before its deadline.
    OfferResult offer(const QueuedWork&, base::TimePoint now);

    // Dequeues the work that can start now, in starting order, and occupies a slot for each.
    std::vector<QueuedWork> startReady(base::TimePoint now);

    // Releases the slot of running work. Returns false if the work is not running.
    bool finish(SubRequestId, base::TimePoint now);

    CancelResult cancel(SubRequestId);

    // Removes and returns the waiting work whose deadline has passed. None of it has run.
    std::vector<QueuedWork> removeExpired(base::TimePoint now);

    // Removes and returns all waiting work. None of it has run.
    std::vector<QueuedWork> removeAllWaiting();

    // Returns the estimated time that new work of this rank would wait for a slot.
    base::Duration estimatedWait(base::Rank) const;

    void setSettings(const QueueSettings&);
    void setDraining(bool isDraining);

    bool isDraining() const { return isDraining_; }
    std::uint32_t slots() const { return settings_.slots; }
    std::size_t runningCount() const { return running_.size(); }
    std::size_t waitingCount() const;
    std::size_t waitingCount(base::Rank) const;
    base::Duration meanServiceTime() const { return meanServiceTime_; }

private:
    struct Running {
        base::Rank rank { base::Rank::Normal };
        base::TimePoint startedAt;
    };

    std::optional<base::Rank> chooseRank(base::TimePoint now) const;
    bool canStart(base::Rank, base::TimePoint now) const;
    bool isFlooding(base::Rank) const;
    void recordWait(base::Rank, base::Duration wait);
    std::optional<base::Rank> rankWithMostCredit(base::TimePoint now) const;
    void accrueCredit(base::TimePoint now);
    void spendCredit(base::Rank);

    QueueSettings settings_;
    bool isDraining_ { false };
    std::array<RankQueue, base::RankCount> waiting_;
    std::array<std::size_t, base::RankCount> runningByRank_ {};
    std::array<base::TimePoint, base::RankCount> lastArrival_ {};
    std::array<base::Duration, base::RankCount> meanWait_ {};
    std::array<double, base::RankCount> servedSeconds_ {}; // slot time received by each rank, exponentially decayed
    std::array<double, base::RankCount> creditSeconds_ {}; // slot time by which each rank is below its minimum share
    base::TimePoint creditAt_;
    base::Duration meanServiceTime_;
    std::unordered_map<SubRequestId, Running> running_;
    struct Waiting {
        base::Rank rank { base::Rank::Normal };
        base::TimePoint queuedAt;
    };

    std::unordered_map<SubRequestId, Waiting> waitingWork_;
};

} // namespace flamingousher::upstreams
