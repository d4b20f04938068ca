#include "entry/internal/delegates.h"

#include "delegation/delegationprotocol.h"

#include <algorithm>

namespace flamingousher::entry {

using upstreamclient::Attempt;
using upstreamclient::ConnectionPool;
using upstreamclient::DroppedOutcome;

namespace {

    constexpr std::size_t MaxConnections = 32; // concurrent requests at one delegate
    constexpr std::size_t WarmConnections = 1;

    // A delegate in another zone is chosen only if it is faster by more than the round trip.
    constexpr base::Duration CrossZonePenalty = std::chrono::milliseconds(2);

    constexpr std::size_t ChoicesPerRequest = 2; // comparing two avoids that all VMs choose the same fastest one

} // namespace

Delegates::Delegates(boost::asio::io_context& io, const EntrySettings& settings, balancing::MemoryBudget& memory,
    eventlog::EventLog& log, std::function<base::TimePoint()> now)
    : io_(io)
    , settings_(settings)
    , memory_(memory)
    , log_(log)
    , now_(std::move(now))
    , protocol_(delegation::makeDelegationProtocol())
    , selector_({ [this](DelegateId id) { return delegates_[id].pool->hasCapacity(); },
          [this](DelegateId id) { return delegates_[id].pool->isReachable(); } })
{
}

bool Delegates::set(const std::vector<fleet::NodeInfo>& vms, bool isFrequent)
{
    std::map<fleet::NodeId, DelegateId> listed;
    order_.clear();
    for (const fleet::NodeInfo& vm : vms) {
        const auto endpoint = http::parseEndpoint(vm.fanouts);
        if (!endpoint) {
            log_.writeChange("delegate_ignored", { { "vm", vm.id.endpoint }, { "reason", endpoint.error() } });
            continue;
        }
        const auto found = active_.find(vm.id);
        const DelegateId id = found == active_.end() ? add(vm, *endpoint) : found->second;
        delegates_[id].pool->setSettings(poolSettings(vm, *endpoint, isFrequent));
        delegates_[id].pool->keepWarm();
        listed.emplace(vm.id, id);
        order_.push_back(id);
    }
    for (const auto& [vm, id] : active_) {
        if (listed.contains(vm))
            continue;
        delegates_[id].isRetired = true;
        delegates_[id].pool->retire();
    }
    const bool isChanged = listed != active_;
    if (isChanged)
        log_.writeChange("delegates", { { "count", listed.size() }, { "before", active_.size() } });
    active_ = std::move(listed);
    return isChanged;
}

upstreamclient::PoolSettings Delegates::poolSettings(
    const fleet::NodeInfo& vm, const http::Endpoint& endpoint, bool isFrequent)
{
    return { vm.id.endpoint, endpoint, MaxConnections, isFrequent ? WarmConnections : 0, base::Duration::zero() };
}

Delegates::DelegateId Delegates::add(const fleet::NodeInfo& vm, const http::Endpoint& endpoint)
{
    const auto id = static_cast<DelegateId>(delegates_.size());
    ConnectionPool::Hooks hooks;
    hooks.now = now_;
    hooks.onCapacity = [] {};
    hooks.onDroppedFinished = [this](balancing::AttemptId attempt, DroppedOutcome outcome) {
        if (outcome == DroppedOutcome::NeverSent)
            lastNeverSent_ = attempt;
    };
    hooks.openCharge = [this, name = vm.id.endpoint](
                           std::function<void()> evict) { return memory_.open("delegate " + name, std::move(evict)); };
    hooks.onUnexpectedError = [this, name = vm.id.endpoint](const std::string& reason) {
        log_.writeDecision("unexpected_error", { { "delegate", name }, { "reason", reason } });
    };
    delegates_.push_back(
        { vm.fanouts, std::make_shared<ConnectionPool>(io_, poolSettings(vm, endpoint, false), protocol_, hooks) });
    selector_.setUpstream(id, { vm.zone == settings_.zone ? base::Duration::zero() : CrossZonePenalty, 1 }, {});
    return id;
}

std::optional<Delegates::DelegateId> Delegates::choose(const std::vector<DelegateId>& tried, base::Duration typical)
{
    if (order_.empty())
        return std::nullopt;
    const std::size_t first = next_++;
    std::vector<DelegateId> candidates;
    for (std::size_t offset = 0; offset < std::min(ChoicesPerRequest, order_.size()); ++offset)
        candidates.push_back(order_[(first + offset) % order_.size()]);
    auto choice = selector_.choose(candidates, tried, typical, now_());
    if (choice.outcome != balancing::ReplicaSelector::Outcome::Chosen)
        choice = selector_.choose(order_, tried, typical, now_());
    if (choice.outcome != balancing::ReplicaSelector::Outcome::Chosen)
        return std::nullopt;
    return choice.upstream;
}

void Delegates::send(
    DelegateId id, const Attempt& attempt, base::Duration typical, upstreamclient::AttemptCallback callback)
{
    selector_.onSent(id, attempt.id, typical, now_());
    delegates_[id].pool->send(attempt, std::move(callback));
}

bool Delegates::drop(DelegateId id, balancing::AttemptId attempt, bool isFault)
{
    if (isFault)
        selector_.onFailed(id, attempt, now_());
    else
        selector_.onInconclusive(id, attempt);
    delegates_[id].pool->drop(attempt);
    return lastNeverSent_ != attempt;
}

void Delegates::onAnswered(DelegateId id, balancing::AttemptId attempt)
{
    selector_.onAnswered(id, attempt, now_());
}

void Delegates::onFailed(DelegateId id, balancing::AttemptId attempt)
{
    selector_.onFailed(id, attempt, now_());
}

void Delegates::sweep()
{
    for (Delegate& delegate : delegates_) {
        if (!delegate.isRetired || delegate.pool->connectionCount() > 0)
            delegate.pool->sweep();
    }
}

} // namespace flamingousher::entry
