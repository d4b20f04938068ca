#include "upstreams/internal/rankqueue.h"

#include <algorithm>

namespace flamingousher::upstreams {

void RankQueue::activate(const std::string& caller, CallerQueue& queue)
{
    // A caller that was idle must not be compensated for service that it did not request in the meantime.
    queue.virtualTime = std::max(queue.virtualTime, virtualTime_);
    callerOrder_.emplace(queue.virtualTime, caller);
}

void RankQueue::push(const QueuedWork& work)
{
    CallerQueue& queue = callers_[work.caller];
    if (queue.startOrder.empty())
        activate(work.caller, queue);
    queue.startOrder.emplace(work.deadline, work.id);
    deadlines_.emplace(work.deadline, work.id);
    work_.emplace(work.id, work);
}

std::optional<QueuedWork> RankQueue::pop()
{
    if (callerOrder_.empty())
        return std::nullopt;
    const auto first = callerOrder_.begin();
    CallerQueue& queue = callers_.at(first->second);
    const std::string caller = first->second;
    virtualTime_ = queue.virtualTime;
    callerOrder_.erase(first);
    callerOrder_.emplace(queue.virtualTime + 1, caller);
    queue.virtualTime += 1;
    return extract(queue.startOrder.begin()->second);
}

QueuedWork RankQueue::extract(SubRequestId id)
{
    const auto found = work_.find(id);
    QueuedWork work = std::move(found->second);
    work_.erase(found);
    deadlines_.erase({ work.deadline, id });
    const auto caller = callers_.find(work.caller);
    caller->second.startOrder.erase({ work.deadline, id });
    if (caller->second.startOrder.empty()) {
        callerOrder_.erase({ caller->second.virtualTime, work.caller });
        callers_.erase(caller);
    }
    return work;
}

bool RankQueue::remove(SubRequestId id)
{
    if (!work_.contains(id))
        return false;
    extract(id);
    return true;
}

std::vector<QueuedWork> RankQueue::removeExpired(base::TimePoint now)
{
    std::vector<QueuedWork> expired;
    while (!deadlines_.empty() && deadlines_.begin()->first <= now)
        expired.push_back(extract(deadlines_.begin()->second));
    return expired;
}

std::vector<QueuedWork> RankQueue::removeAll()
{
    return removeExpired(base::TimePoint::max());
}

} // namespace flamingousher::upstreams
