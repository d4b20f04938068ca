#include "balancing/waitqueue.h"

#include <iterator>

namespace flamingousher::balancing {

void WaitQueue::add(Key key, base::TimePoint goal)
{
    if (goals_.emplace(key, goal).second)
        order_.emplace(std::pair(goal, key), key);
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
        keys.push_back(entry->second);
    for (auto entry = order_.begin(); entry != firstOnTime && keys.size() < maxCount; ++entry)
        keys.push_back(entry->second);
    return keys;
}

std::size_t WaitQueue::countAhead(base::TimePoint goal, base::TimePoint now) const
{
    if (goal < now)
        return order_.size();
    return static_cast<std::size_t>(
        std::distance(order_.lower_bound({ now, 0 }), order_.upper_bound({ goal, ~Key { 0 } })));
}

} // namespace flamingousher::balancing
