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

void Evacuations::report(const EvacuationOrder& order, EvacuationChange change)
{
    if (onChange_)
        onChange_(order, change);
}

void Evacuations::begin(const EvacuationOrder& order, base::TimePoint now)
{
    const auto [position, isNew] = active_.try_emplace(order.zone, Tracked { { order, now }, false });
    position->second.evacuation.order = order;
    position->second.isMissing = false;
    if (!isNew)
        return;
    ++changes_;
    report(order, EvacuationChange::Began);
}

void Evacuations::drop(std::map<std::string, Tracked>::iterator position)
{
    const EvacuationOrder order = position->second.evacuation.order;
    active_.erase(position);
    takenBack_[order.zone] = order.revision;
    ++changes_;
    report(order, EvacuationChange::Ended);
}

void Evacuations::end(const std::string& zone, base::TimePoint now)
{
    const auto found = active_.find(zone);
    if (found == active_.end())
        return;
    if (isRewriting(now))
        found->second.isMissing = true;
    else
        drop(found);
}

// True as well for a new order that has got the revision of the old one between the restoration and the first read.
bool Evacuations::mayHaveBeenTakenBack(const EvacuationOrder& order) const
{
    const auto found = takenBackBefore_.find(order.zone);
    return found != takenBackBefore_.end() && found->second == order.revision && !active_.contains(order.zone);
}

void Evacuations::replaceAll(const std::vector<EvacuationOrder>& orders, base::TimePoint now)
{
    const std::map<std::string, EvacuationOrder> deferredBefore = std::exchange(deferred_, {});
    std::set<std::string> listed;
    for (const EvacuationOrder& order : orders) {
        if (isRewriting(now) && mayHaveBeenTakenBack(order)) {
            deferred_[order.zone] = order;
            if (!deferredBefore.contains(order.zone))
                report(order, EvacuationChange::Deferred);
            continue;
        }
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

void Evacuations::onStoreRestored(std::uint64_t revision, base::TimePoint now)
{
    rewritingUntil_ = now + RewriteWindow;
    for (const auto& [zone, orderRevision] : std::exchange(takenBack_, {}))
        takenBackBefore_[zone] = orderRevision;
    // The copy does not contain what was written after it was made; an order with such a revision is a new one.
    std::erase_if(takenBackBefore_, [&](const auto& order) { return order.second > revision; });
}

void Evacuations::onStoreUnavailable(base::TimePoint now)
{
    if (isRewriting(now))
        rewritingUntil_ = base::TimePoint::max();
}

void Evacuations::onStoreAvailable(base::TimePoint now)
{
    if (rewritingUntil_ == base::TimePoint::max())
        rewritingUntil_ = now + RewriteWindow;
}

void Evacuations::tick(base::TimePoint now)
{
    if (isRewriting(now))
        return;
    for (auto position = active_.begin(); position != active_.end();) {
        const auto current = position++;
        if (current->second.isMissing)
            drop(current);
    }
    // By now the operator has taken the old orders back once more, so what is still listed is meant to hold.
    takenBackBefore_.clear();
    for (const auto& [zone, order] : std::exchange(deferred_, {}))
        begin(order, now);
}

std::vector<Evacuations::ActiveEvacuation> Evacuations::active() const
{
    std::vector<ActiveEvacuation> result;
    for (const auto& [zone, tracked] : active_)
        result.push_back(tracked.evacuation);
    return result;
}

} // namespace flamingousher::discovery
