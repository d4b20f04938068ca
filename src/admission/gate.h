#pragma once

#include "admission/types.h"

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace flamingousher::admission {

// Adaptive concurrency limit for the queries of one rank to one pool. The limit grows while sub-requests find
// free slots and shrinks while they queue for them (additive increase, multiplicative decrease). Above the limit
// a query is queued if it can still meet its deadline, and refused otherwise. A caller below its equal share is
// not refused because of other callers.
class Gate {
public:
    explicit Gate(GateSettings = {});

    Decision request(TicketId, const std::string& caller, base::TimePoint deadline, base::TimePoint now);

    // Ends a query. slotWait: the maximum time one of its sub-requests waited for a slot.
    void release(TicketId, base::Duration slotWait, base::Duration latency, base::TimePoint now);

    // Removes a waiting query whose caller has disconnected. Does nothing if the query is not waiting.
    void cancelWaiting(TicketId);

    // Removes from the queue the queries that can start now and those that can no longer meet their deadline.
    struct Dequeued {
        std::vector<TicketId> admitted;
        std::vector<TicketId> expired;
    };
    Dequeued dequeue(base::TimePoint now);

    double limit() const { return limit_; }
    std::size_t inProgress() const { return inProgress_.size(); }
    std::size_t waiting() const { return waiting_.size(); }

private:
    struct Waiting {
        std::string caller;
        base::TimePoint deadline;
    };

    bool canAdmit(const std::string& caller) const;
    double fairShare(const std::string& caller) const;
    void admit(TicketId, const std::string& caller, base::Duration timeLeft);
    base::Duration estimatedWait() const;
    void removeWaiting(TicketId);

    GateSettings settings_;
    double limit_;
    base::Duration meanLatency_ { std::chrono::milliseconds(20) };
    base::TimePoint lastDecrease_;
    struct InProgress {
        std::string caller;
        base::Duration waitThreshold { 0 };
    };

    std::unordered_map<TicketId, InProgress> inProgress_;
    std::map<std::string, std::size_t> inProgressByCaller_;
    std::unordered_map<TicketId, Waiting> waiting_;
    std::map<std::string, std::set<std::pair<base::TimePoint, TicketId>>> waitingByCaller_;
};

} // namespace flamingousher::admission
