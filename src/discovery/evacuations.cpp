#include "discovery/evacuations.h"

#include <utility>

namespace flamingousher::discovery {

namespace {

    // By the protocol of the store, the operator has written all orders again by then.
    constexpr base::Duration RewriteWindow = std::chrono::milliseconds(2'500);

} // namespace

Evacuations::Evacuations(ChangeListener onChange)
    : onChange_(std::move(onChange))
{
}

void Evacuations::begin(const EvacuationOrder& order, base::TimePoint now)
{
    const auto [position, isNew] = active_.try_emplace(order.zone, Tracked { { order, now }, std::nullopt });
    position->second.evacuation.order = order;
    position->second.expiresAt.reset();
    if (!isNew)
        return;
    ++changes_;
    if (onChange_)
        onChange_(order, true);
}

void Evacuations::drop(std::map<std::string, Tracked>::iterator position)
{
    const EvacuationOrder order = position->second.evacuation.order;
    active_.erase(position);
    takenBack_[order.zone] = order.revision;
    ++changes_;
    if (onChange_)
        onChange_(order, false);
}

void Evacuations::end(const std::string& zone, base::TimePoint now)
{
    const auto found = active_.find(zone);
    if (found == active_.end())
        return;
    if (now >= rewritingUntil_)
        drop(found);
    else if (!found->second.expiresAt)
        found->second.expiresAt = rewritingUntil_;
}

void Evacuations::replaceAll(const std::vector<EvacuationOrder>& orders, base::TimePoint now)
{
    std::set<std::string> listed;
    for (const EvacuationOrder& order : orders) {
        // A new order has a revision of its own, so this one was taken back after the store's copy had been made.
        const auto takenBack = takenBack_.find(order.zone);
        if (takenBack != takenBack_.end() && takenBack->second == order.revision)
            continue;
        listed.insert(order.zone);
        begin(order, now);
    }
    std::vector<std::string> missing;
    for (const auto& [zone, tracked] : active_) {
        if (!listed.contains(zone))
            missing.push_back(zone);
    }
    for (const std::string& zone : missing)
        end(zone, now);
}

void Evacuations::onStoreRestored(base::TimePoint now)
{
    rewritingUntil_ = now + RewriteWindow;
}

void Evacuations::tick(base::TimePoint now)
{
    for (auto position = active_.begin(); position != active_.end();) {
        const auto current = position++;
        if (current->second.expiresAt && now >= *current->second.expiresAt)
            drop(current);
    }
}

std::vector<Evacuations::ActiveEvacuation> Evacuations::active() const
{
    std::vector<ActiveEvacuation> result;
    for (const auto& [zone, tracked] : active_)
        result.push_back(tracked.evacuation);
    return result;
}

} // namespace flamingousher::discovery
