#pragma once

#include "upstreams/internal/rankqueue.h"
#include "upstreams/types.h"

#include <array>
#include <optional>
#include <unordered_map>
#include <vector>

namespace flamingousher::upstreams {

// Decides which sub-request takes the next free slot of one upstream: by rank, with a floor of slot
// time for each rank, then fairly between callers, then by deadline. Performs no I/O.
class UpstreamQueue {
public:
    explicit UpstreamQueue(QueueSettings);

    // Queues work, or refuses it at once when it could not start before its deadline.
    OfferVerdict offer(const QueuedWork&, base::TimePoint now);

    // Takes the work that may start now, in order, and marks its slots as used.
    std::vector<QueuedWork> startReady(base::TimePoint now);

    // Frees the slot of running work. Returns false when the work is not running.
    bool finish(SubRequestId, base::TimePoint now);

    CancelVerdict cancel(SubRequestId);

    // Removes and returns waiting work whose deadline has passed. None of it was run.
    std::vector<QueuedWork> takeExpired(base::TimePoint now);

    // Removes and returns all waiting work. None of it was run.
    std::vector<QueuedWork> takeAllWaiting();

    // Time that newly offered work of this rank would wait for a slot.
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
    bool mayStart(base::Rank, base::TimePoint now) const;
    bool isFlooding(base::Rank) const;
    void noteWait(base::Rank, base::Duration wait);
    std::optional<base::Rank> mostOwedRank(base::TimePoint now) const;
    void accrueCredit(base::TimePoint now);
    void spendCredit(base::Rank);

    QueueSettings settings_;
    bool isDraining_ { false };
    std::array<RankQueue, base::RankCount> waiting_;
    std::array<std::size_t, base::RankCount> runningByRank_ {};
    std::array<base::TimePoint, base::RankCount> lastArrival_ {};
    std::array<base::Duration, base::RankCount> meanWait_ {}; // for a slot
    std::array<double, base::RankCount> servedSeconds_ {}; // slot time, older time decayed
    std::array<double, base::RankCount> creditSeconds_ {}; // slot time owed to each rank by its floor
    base::TimePoint creditAt_;
    base::Duration meanServiceTime_;
    std::unordered_map<SubRequestId, Running> running_;
    struct Waiting {
        base::Rank rank { base::Rank::Normal };
        base::TimePoint since;
    };

    std::unordered_map<SubRequestId, Waiting> waitingWork_;
};

} // namespace flamingousher::upstreams
