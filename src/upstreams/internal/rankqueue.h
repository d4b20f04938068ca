#pragma once

#include "upstreams/types.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace flamingousher::upstreams {

// Waiting work of one rank. Dequeues from the caller that has received the least service, then by deadline
// (start-time fair queueing with equal weights).
class RankQueue {
public:
    void push(const QueuedWork&);
    std::optional<QueuedWork> pop();
    bool remove(SubRequestId);
    std::vector<QueuedWork> removeExpired(base::TimePoint now);
    std::vector<QueuedWork> removeAll();
    std::size_t size() const { return work_.size(); }
    bool isEmpty() const { return work_.empty(); }

private:
    using DeadlineOrder = std::set<std::pair<base::TimePoint, SubRequestId>>;

    struct CallerQueue {
        double virtualTime { 0 };
        DeadlineOrder startOrder;
    };

    void activate(const std::string& caller, CallerQueue&);
    QueuedWork extract(SubRequestId);

    std::map<std::string, CallerQueue> callers_; // callers with waiting work
    std::set<std::pair<double, std::string>> callerOrder_;
    std::unordered_map<SubRequestId, QueuedWork> work_;
    DeadlineOrder deadlines_;
    double virtualTime_ { 0 };
};

} // namespace flamingousher::upstreams
