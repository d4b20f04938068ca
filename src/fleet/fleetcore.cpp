#include "fleet/fleetcore.h"

#include "fleet/rendezvous.h"

#include <algorithm>

namespace flamingousher::fleet {

namespace {

    constexpr std::size_t WatchersPerZone = 2;
    constexpr std::size_t GossipFanOut = 3;

    // Number of peers that must report their configuration before a node serves while the service is down.
    constexpr std::size_t MinConfirmingPeers = 3;

    // Time after start for which a node waits for a message from a peer even if the service has answered.
    constexpr base::Duration PeerWaitTime = std::chrono::seconds(2);

    constexpr base::Duration RequestInterval = std::chrono::milliseconds(300);
    constexpr std::size_t MaxHolders = 8;

    // Delay before a share grows again: until then other nodes may still use the rest by their outdated view.
    constexpr base::Duration ShareGrowthDelay = std::chrono::seconds(3);

} // namespace

FleetCore::FleetCore(const NodeInfo& self, MembershipSettings membershipSettings, OwnershipSettings ownershipSettings,
    Hooks hooks, base::TimePoint now)
    : hooks_(std::move(hooks))
    , membership_(self, membershipSettings,
          Membership::Hooks {
              hooks_.random,
              [this] { isViewChanged_ = true; },
              [this](const NodeInfo& from, const ConfigurationId& id) { onConfigurationReported(from, id); },
              [this](const quarantine::CrashRecord& record, base::TimePoint changedAt) {
                  hasNewCrash_ = true;
                  hooks_.onCrash(record, changedAt);
              },
          })
    , ownership_(self.id, ownershipSettings)
    , startedAt_(now)
    , lastTick_(now)
{
}

std::vector<FleetOutgoing> FleetCore::toFleetOutgoing(std::vector<Outgoing>&& messages)
{
    std::vector<FleetOutgoing> converted;
    converted.reserve(messages.size());
    for (Outgoing& outgoing : messages)
        converted.push_back({ outgoing.endpoint,
            std::visit([](auto& message) { return FleetMessage(std::move(message)); }, outgoing.message) });
    return converted;
}

void FleetCore::append(std::vector<FleetOutgoing>& to, std::vector<FleetOutgoing>&& from)
{
    std::ranges::move(from, std::back_inserter(to));
}

std::vector<FleetOutgoing> FleetCore::tick(base::TimePoint now)
{
    lastTick_ = now;
    std::vector<FleetOutgoing> outgoing = toFleetOutgoing(membership_.tick(now));
    handlePauseOrDeath(now);
    refreshView(now);
    refreshShare(now);
    requestNewestConfiguration(now);
    for (Claim& claim : ownership_.tick(now))
        outgoing.push_back({ claim.to.id.endpoint, ClaimMessage { membership_.self(), std::move(claim.upstreams) } });
    append(outgoing, std::exchange(pendingRequests_, {}));
    return outgoing;
}

// After a pause of this process, or when other nodes have declared it dead, they may have taken over its upstreams.
void FleetCore::handlePauseOrDeath(base::TimePoint now)
{
    const bool wasPaused = membership_.pauseCount() != std::exchange(handledPauses_, membership_.pauseCount());
    const bool wasDead = membership_.ownDeathReports() != std::exchange(handledDeaths_, membership_.ownDeathReports());
    if (!wasPaused && !wasDead)
        return;
    // A majority keeps its share: the other nodes cannot use more than the rest.
    const bool isMajority = 2 * share_.visible > share_.listed;
    pendingShare_.reset();
    if (!wasPaused && isMajority)
        return;
    share_ = {};
    ownership_.suspend(now);
    hooks_.onOwnershipChange();
}

void FleetCore::refreshView(base::TimePoint now)
{
    if (!std::exchange(isViewChanged_, false))
        return;
    const std::vector<NodeInfo> alive = membership_.upNodes();
    listedCount_ = countListed();
    isWatcher_ = isChosenWatcher(alive);
    ownership_.setView(alive, listedCount_, now);
    hooks_.onOwnershipChange();
}

bool FleetCore::isLess(const VisibleFraction& left, const VisibleFraction& right)
{
    return left.visible * right.listed < right.visible * left.listed;
}

FleetCore::VisibleFraction FleetCore::visibleFraction() const
{
    const std::size_t listed = listedCount_;
    const std::size_t visible = membership_.unsuspectedCount();
    const double successRate = membership_.probeSuccessRate();
    // A single node is slow to detect that many nodes are lost. If most of its probes fail, it is in a minority.
    if (successRate < 0.5)
        return { std::min(visible, static_cast<std::size_t>(successRate * static_cast<double>(listed))), listed };
    return { std::min(visible, listed), listed };
}

// A share shrinks immediately and grows after a delay, in which the nodes that used the rest notice the change.
void FleetCore::refreshShare(base::TimePoint now)
{
    const VisibleFraction fraction = visibleFraction();
    if (listedCount_ <= 1) {
        share_ = fraction;
        return;
    }
    if (!isLess(share_, fraction)) {
        const bool didShrink = isLess(fraction, share_);
        share_ = fraction;
        pendingShare_.reset();
        if (didShrink)
            hooks_.onOwnershipChange();
        return;
    }
    if (!pendingShare_) {
        pendingShare_ = fraction;
        pendingShareSince_ = now;
    }
    if (isLess(fraction, *pendingShare_))
        pendingShare_ = fraction;
    if (now - pendingShareSince_ < ShareGrowthDelay)
        return;
    share_ = *pendingShare_;
    pendingShare_.reset();
    hooks_.onOwnershipChange();
}

void FleetCore::requestNewestConfiguration(base::TimePoint now)
{
    if (newestKnownRevision_ <= configuration_.id().revision || newestHolders_.empty()
        || now - requestedAt_ < RequestInterval)
        return;
    requestedAt_ = now;
    const std::string& holder = newestHolders_[hooks_.random() % newestHolders_.size()];
    pendingRequests_.push_back({ holder, TablesRequest { membership_.self(), configuration_.id() } });
}

std::size_t FleetCore::countListed() const
{
    std::size_t count = membership_.upCount();
    for (const std::string& endpoint : listed_) {
        if (endpoint != membership_.self().id.endpoint && !membership_.isUpAt(endpoint)
            && !membership_.hasLeft(endpoint))
            ++count;
    }
    return count;
}

std::uint32_t FleetCore::shareOf(std::uint32_t limit) const
{
    return shareOfLimit(limit, share_.visible, share_.listed);
}

std::vector<FleetOutgoing> FleetCore::receive(const FleetMessage& message, base::TimePoint now)
{
    std::vector<FleetOutgoing> outgoing;
    if (const auto* ping = std::get_if<Ping>(&message)) {
        outgoing = toFleetOutgoing(membership_.receive(*ping, now));
    } else if (const auto* ack = std::get_if<Ack>(&message)) {
        outgoing = toFleetOutgoing(membership_.receive(*ack, now));
    } else if (const auto* request = std::get_if<PingRequest>(&message)) {
        outgoing = toFleetOutgoing(membership_.receive(*request, now));
    } else if (const auto* claim = std::get_if<ClaimMessage>(&message)) {
        std::vector<std::string> released
            = ownership_.onClaim(claim->from, claim->upstreams, hooks_.hasWorkInFlight, now);
        if (!released.empty())
            outgoing.push_back({ claim->from.id.endpoint, ReleaseMessage { membership_.self(), std::move(released) } });
    } else if (const auto* release = std::get_if<ReleaseMessage>(&message)) {
        ownership_.onRelease(release->from.id, release->upstreams);
        hooks_.onOwnershipChange();
    } else if (const auto* tablesRequest = std::get_if<TablesRequest>(&message)) {
        if (std::optional<TablesDelta> delta = configuration_.deltaFrom(tablesRequest->current))
            outgoing.push_back(
                { tablesRequest->from.id.endpoint, TablesReply { membership_.self(), *std::move(delta) } });
    } else {
        const auto& reply = std::get<TablesReply>(message);
        if (configuration_.applyDelta(reply.delta) == ApplyResult::Applied)
            outgoing = onConfigurationApplied();
    }
    if (std::exchange(hasNewCrash_, false))
        append(outgoing, toFleetOutgoing(membership_.gossipNow(GossipFanOut)));
    refreshView(now);
    append(outgoing, std::exchange(pendingRequests_, {}));
    return outgoing;
}

void FleetCore::onConfigurationReported(const NodeInfo& from, const ConfigurationId& id)
{
    if (confirmingPeers_.size() < MinConfirmingPeers)
        confirmingPeers_.insert(from.id.endpoint);
    if (id.revision < newestKnownRevision_ || id.revision == 0)
        return;
    if (id.revision > newestKnownRevision_) {
        newestKnownRevision_ = id.revision;
        newestHolders_.clear();
    }
    if (newestHolders_.size() < MaxHolders)
        newestHolders_.push_back(from.id.endpoint);
    requestNewestConfiguration(lastTick_);
}

std::vector<FleetOutgoing> FleetCore::onPublished(
    std::uint64_t revision, const std::string& routes, const std::string& pools, base::TimePoint now)
{
    hasServiceAnswered_ = true;
    if (configuration_.applyPublished(revision, routes, pools) != ApplyResult::Applied)
        return {};
    std::vector<FleetOutgoing> outgoing = onConfigurationApplied();
    refreshView(now);
    return outgoing;
}

// Called after a different configuration has been applied.
std::vector<FleetOutgoing> FleetCore::onConfigurationApplied()
{
    membership_.setConfiguration(configuration_.id());
    std::vector<UpstreamKey> keys;
    for (const tables::Pool& pool : configuration_.tables()->pools) {
        for (const tables::Upstream& upstream : pool.upstreams)
            keys.push_back({ upstream.name, upstream.zone });
    }
    ownership_.setUpstreams(keys, lastTick_);
    hooks_.onConfigurationChange();
    return toFleetOutgoing(membership_.gossipNow(GossipFanOut));
}

void FleetCore::setListedEndpoints(const std::vector<std::string>& endpoints, base::TimePoint now)
{
    listed_ = { endpoints.begin(), endpoints.end() };
    membership_.setSeeds(endpoints);
    isViewChanged_ = true;
    refreshView(now);
}

std::vector<FleetOutgoing> FleetCore::leave(base::TimePoint now)
{
    isLeaving_ = true;
    ownership_.beginLeave(now);
    hooks_.onOwnershipChange();
    return toFleetOutgoing(membership_.leave(now));
}

std::vector<FleetOutgoing> FleetCore::reportCrash(const quarantine::CrashRecord& record, base::TimePoint now)
{
    membership_.reportCrash(record, now);
    hasNewCrash_ = false;
    return toFleetOutgoing(membership_.gossipNow(GossipFanOut));
}

bool FleetCore::isChosenWatcher(std::vector<NodeInfo> nodes) const
{
    std::erase_if(nodes, [&](const NodeInfo& node) { return node.zone != membership_.self().zone; });
    const auto watchers = rendezvousNodes(nodes, "configuration-watcher", WatchersPerZone);
    return std::ranges::any_of(watchers, [&](const NodeInfo* node) { return node->id == membership_.self().id; });
}

bool FleetCore::isReadyToServe(base::TimePoint now) const
{
    if (configuration_.id().revision == 0 || isLeaving_ || membership_.isViewStale())
        return false;
    const std::size_t others = listedCount_ - 1;
    const bool isNewest = newestKnownRevision_ <= configuration_.id().revision;
    const bool isConfirmedByPeers = confirmingPeers_.size() >= std::min(MinConfirmingPeers, others) && others > 0;
    const bool isConfirmedByService
        = hasServiceAnswered_ && (!confirmingPeers_.empty() || others == 0 || now - startedAt_ >= PeerWaitTime);
    return isNewest && (isConfirmedByPeers || isConfirmedByService);
}

} // namespace flamingousher::fleet
