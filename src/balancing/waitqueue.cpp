#include "balancing/waitqueue.h"

#include <iterator>

namespace flamingousher::balancing {

void WaitQueue::add(Key key, base::TimePoint goal, base::Duration work)
{
    if (goals_.emplace(key, goal).second)
        order_.emplace(std::pair(goal, key), work);
}

void WaitQueue::remove(Key key)
{
    const auto found = goals_.find(key);
    if (found == goals_.end())
        return;
    order_.erase({ found->second, key });
    goals_.erase(found);
}

std::vector<WaitQueue::Key> WaitQueue::peek(std::size_t maxCount, base::TimePoint now) const
{
    std::vector<Key> keys;
    const auto firstOnTime = order_.lower_bound({ now, 0 });
    for (auto entry = firstOnTime; entry != order_.end() && keys.size() < maxCount; ++entry)
        keys.push_back(entry->first.second);
    for (auto entry = order_.begin(); entry != firstOnTime && keys.size() < maxCount; ++entry)
        keys.push_back(entry->first.second);
    return keys;
}

std::pair<WaitQueue::Order::const_iterator, WaitQueue::Order::const_iterator> WaitQueue::ahead(
    base::TimePoint goal, base::TimePoint now) const
{
    if (goal < now)
        return { order_.begin(), order_.end() };
    return { order_.lower_bound({ now, 0 }), order_.upper_bound({ goal, ~Key { 0 } }) };
}

std::size_t WaitQueue::countAhead(base::TimePoint goal, base::TimePoint now) const
{
    const auto [begin, end] = ahead(goal, now);
    return static_cast<std::size_t>(std::distance(begin, end));
}

base::Duration WaitQueue::workAhead(base::TimePoint goal, base::TimePoint now) const
{
    base::Duration work { 0 };
    const auto [begin, end] = ahead(goal, now);
    for (auto entry = begin; entry != end; ++entry)
        work += entry->second;
    return work;
}

} // namespace flamingousher::balancing
