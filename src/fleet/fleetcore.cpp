#include "fleet/fleetcore.h"

#include "fleet/rendezvous.h"

#include <algorithm>

namespace flamingousher::fleet {

namespace {

    constexpr std::size_t WatchersPerZone = 2;
    constexpr std::size_t AnnouncementFanOut = 3;

    // Peers whose configuration must be heard before a node serves while the service is down.
    constexpr std::size_t EnoughPeers = 3;

    // Time after the start for which a node that the service has answered still waits to hear a peer.
    constexpr base::Duration PeerGrace = std::chrono::seconds(2);

    constexpr base::Duration RequestInterval = std::chrono::milliseconds(300);
    constexpr std::size_t RememberedHolders = 8;

    // Time for which a share stays small after it had to shrink: others may use the rest until they know better.
    constexpr base::Duration ShareHoldOff = std::chrono::seconds(3);

} // namespace

FleetCore::FleetCore(const NodeInfo& self, MembershipSettings membershipSettings, OwnershipSettings homeSettings,
    Hooks hooks, base::TimePoint now)
    : hooks_(std::move(hooks))
    , membership_(self, membershipSettings,
          Membership::Hooks {
              hooks_.random,
              [this] { isViewChanged_ = true; },
              [this](const NodeInfo& from, const ConfigurationId& id) { onConfigurationHeard(from, id); },
              [this](const CrashEvidence& evidence) {
                  isCrashNew_ = true;
                  hooks_.onCrash(evidence);
              },
          })
    , ownership_(self.id, homeSettings)
    , startedAt_(now)
    , lastTick_(now)
{
}

std::vector<FleetOutgoing> FleetCore::widen(std::vector<Outgoing>&& messages)
{
    std::vector<FleetOutgoing> wide;
    wide.reserve(messages.size());
    for (Outgoing& outgoing : messages)
        wide.push_back({ outgoing.endpoint,
            std::visit([](auto& message) { return FleetMessage(std::move(message)); }, outgoing.message) });
    return wide;
}

void FleetCore::append(std::vector<FleetOutgoing>& to, std::vector<FleetOutgoing>&& from)
{
    std::ranges::move(from, std::back_inserter(to));
}

std::vector<FleetOutgoing> FleetCore::tick(base::TimePoint now)
{
    lastTick_ = now;
    std::vector<FleetOutgoing> outgoing = widen(membership_.tick(now));
    checkOwnStanding(now);
    refreshView(now);
    refreshShare(now);
    requestNewest(now);
    for (Claim& claim : ownership_.tick(now))
        outgoing.push_back({ claim.to.id.endpoint, ClaimMessage { membership_.self(), std::move(claim.upstreams) } });
    append(outgoing, std::exchange(pendingRequests_, {}));
    return outgoing;
}

// After a pause, or when others have declared this node dead, its homes may have been taken over.
void FleetCore::checkOwnStanding(base::TimePoint now)
{
    const bool wasPaused = membership_.pauseCount() != std::exchange(handledPauses_, membership_.pauseCount());
    const bool wasDead = membership_.ownDeathReports() != std::exchange(handledDeaths_, membership_.ownDeathReports());
    if (!wasPaused && !wasDead)
        return;
    // The side that holds the majority keeps its part: the others cannot hold more than the rest.
    const bool isMajority = 2 * share_.seen > share_.listed;
    growth_.reset();
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
    isWatcher_ = chooseWatcher(alive);
    ownership_.setView(alive, listedCount_, now);
    hooks_.onOwnershipChange();
}

bool FleetCore::isLess(const Part& left, const Part& right)
{
    return left.seen * right.listed < right.seen * left.listed;
}

FleetCore::Part FleetCore::seenPart() const
{
    const std::size_t listed = listedCount_;
    const std::size_t seen = membership_.unsuspectedCount();
    const double answered = membership_.probeSuccessRate();
    // One node alone cannot count quickly who is gone. When most of its probes fail, it is on the small side.
    if (answered < 0.5)
        return { std::min(seen, static_cast<std::size_t>(answered * static_cast<double>(listed))), listed };
    return { std::min(seen, listed), listed };
}

// A share shrinks at once and grows late: whoever used the rest must have learnt of it before.
void FleetCore::refreshShare(base::TimePoint now)
{
    const Part part = seenPart();
    if (listedCount_ <= 1) {
        share_ = part;
        return;
    }
    if (!isLess(share_, part)) {
        const bool didShrink = isLess(part, share_);
        share_ = part;
        growth_.reset();
        if (didShrink)
            hooks_.onOwnershipChange();
        return;
    }
    if (!growth_) {
        growth_ = part;
        growthSince_ = now;
    }
    if (isLess(part, *growth_))
        growth_ = part;
    if (now - growthSince_ < ShareHoldOff)
        return;
    share_ = *growth_;
    growth_.reset();
    hooks_.onOwnershipChange();
}

void FleetCore::requestNewest(base::TimePoint now)
{
    if (newestHeard_ <= configuration_.id().revision || holders_.empty() || now - requestedAt_ < RequestInterval)
        return;
    requestedAt_ = now;
    const std::string& holder = holders_[hooks_.random() % holders_.size()];
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
    return shareOfLimit(limit, share_.seen, share_.listed);
}

std::vector<FleetOutgoing> FleetCore::receive(const FleetMessage& message, base::TimePoint now)
{
    std::vector<FleetOutgoing> outgoing;
    if (const auto* ping = std::get_if<Ping>(&message)) {
        outgoing = widen(membership_.receive(*ping, now));
    } else if (const auto* ack = std::get_if<Ack>(&message)) {
        outgoing = widen(membership_.receive(*ack, now));
    } else if (const auto* request = std::get_if<PingRequest>(&message)) {
        outgoing = widen(membership_.receive(*request, now));
    } else if (const auto* claim = std::get_if<ClaimMessage>(&message)) {
        std::vector<std::string> released
            = ownership_.onClaim(claim->from, claim->upstreams, hooks_.hasWorkInFlight, now);
        if (!released.empty())
            outgoing.push_back({ claim->from.id.endpoint, ReleaseMessage { membership_.self(), std::move(released) } });
    } else if (const auto* release = std::get_if<ReleaseMessage>(&message)) {
        ownership_.onReleased(release->from.id, release->upstreams);
        hooks_.onOwnershipChange();
    } else if (const auto* wanted = std::get_if<TablesRequest>(&message)) {
        if (std::optional<TablesDelta> delta = configuration_.deltaFrom(wanted->current))
            outgoing.push_back({ wanted->from.id.endpoint, TablesReply { membership_.self(), *std::move(delta) } });
    } else {
        const auto& reply = std::get<TablesReply>(message);
        if (configuration_.applyDelta(reply.delta) == ApplyResult::Applied)
            outgoing = announce();
    }
    if (std::exchange(isCrashNew_, false))
        append(outgoing, widen(membership_.gossipNow(AnnouncementFanOut)));
    refreshView(now);
    append(outgoing, std::exchange(pendingRequests_, {}));
    return outgoing;
}

void FleetCore::onConfigurationHeard(const NodeInfo& from, const ConfigurationId& id)
{
    if (heardFrom_.size() < EnoughPeers)
        heardFrom_.insert(from.id.endpoint);
    if (id.revision < newestHeard_ || id.revision == 0)
        return;
    if (id.revision > newestHeard_) {
        newestHeard_ = id.revision;
        holders_.clear();
    }
    if (holders_.size() < RememberedHolders)
        holders_.push_back(from.id.endpoint);
    requestNewest(lastTick_);
}

std::vector<FleetOutgoing> FleetCore::onPublished(
    std::uint64_t revision, const std::string& routes, const std::string& pools, base::TimePoint now)
{
    didServiceAnswer_ = true;
    if (configuration_.applyPublished(revision, routes, pools) != ApplyResult::Applied)
        return {};
    std::vector<FleetOutgoing> outgoing = announce();
    refreshView(now);
    return outgoing;
}

// Called whenever another configuration has come into force.
std::vector<FleetOutgoing> FleetCore::announce()
{
    membership_.setConfiguration(configuration_.id());
    std::vector<UpstreamKey> keys;
    for (const tables::Pool& pool : configuration_.tables()->pools) {
        for (const tables::Upstream& upstream : pool.upstreams)
            keys.push_back({ upstream.name, upstream.zone });
    }
    ownership_.setUpstreams(keys, lastTick_);
    hooks_.onConfigurationChange();
    return widen(membership_.gossipNow(AnnouncementFanOut));
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
    return widen(membership_.leave(now));
}

std::vector<FleetOutgoing> FleetCore::reportCrash(const CrashEvidence& evidence)
{
    membership_.reportCrash(evidence);
    isCrashNew_ = false;
    return widen(membership_.gossipNow(AnnouncementFanOut));
}

bool FleetCore::chooseWatcher(std::vector<NodeInfo> nodes) const
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
    const bool isNewest = newestHeard_ <= configuration_.id().revision;
    const bool didHearEnough = heardFrom_.size() >= std::min(EnoughPeers, others) && others > 0;
    const bool isShownByService
        = didServiceAnswer_ && (!heardFrom_.empty() || others == 0 || now - startedAt_ >= PeerGrace);
    return isNewest && (didHearEnough || isShownByService);
}

} // namespace flamingousher::fleet
