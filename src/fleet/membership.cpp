#include "fleet/membership.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace flamingousher::fleet {

namespace {

    // Each update is sent this many times the binary logarithm of the number of nodes. The few nodes that gossip misses
    // learn of it by comparisons. These take seconds, in which a request could crash more upstreams.
    constexpr std::uint32_t SendsPerLogNodes = 1;
    constexpr std::uint32_t CrashSendsPerLogNodes = 3;

    constexpr std::size_t LeaveFanOut = 5;
    constexpr std::size_t SeedContactsPerPeriod = 3;

    // Interval between seed contacts of a node without peers. When a whole fleet starts, the first seeds may not be up.
    constexpr base::Duration IsolatedSeedInterval = std::chrono::milliseconds(200);
    constexpr std::size_t MaxProbeResults = 8;
    constexpr std::size_t MaxSuspectsPinged = 2;

    // Short enough that on lossy links a suspected node receives a ping and refutes it before the suspicion times out.
    constexpr base::Duration SuspectPingInterval = std::chrono::milliseconds(400);

    // Min. time between two comparisons that a node starts. While a whole fleet starts, all views differ all the time.
    constexpr base::Duration ComparisonInterval = std::chrono::milliseconds(250);
    constexpr base::Duration RelayLifetime = std::chrono::seconds(2);

    // Returns true if the update takes precedence over the known state.
    bool overrides(const MemberUpdate& update, const Member& member)
    {
        // An incarnation that has left never returns: a restarted process has another boot number.
        if (member.state == MemberState::Left)
            return false;
        if (update.refutation != member.refutation)
            return update.refutation > member.refutation;
        return update.state > member.state;
    }

    bool isUp(MemberState state)
    {
        return state == MemberState::Alive || state == MemberState::Suspect;
    }

} // namespace

Membership::Membership(NodeInfo self, MembershipSettings settings, Hooks hooks)
    : self_(std::move(self))
    , settings_(settings)
    , hooks_(std::move(hooks))
{
    viewDigest_.toggle(self_.id);
}

void Membership::setSeeds(const std::vector<std::string>& endpoints)
{
    seeds_.clear();
    for (const std::string& endpoint : endpoints) {
        if (endpoint != self_.id.endpoint)
            seeds_.insert(endpoint);
    }
}

std::vector<Outgoing> Membership::tick(base::TimePoint now)
{
    std::vector<Outgoing> outgoing;
    if (isLeaving_)
        return outgoing;
    detectPause(now);
    lastTick_ = now;
    now_ = now;
    checkProbe(now, outgoing);
    expireSuspects(now);
    if (suspects_ > 0 && now >= nextSuspectPing_) {
        nextSuspectPing_ = now + SuspectPingInterval;
        pingSuspects(outgoing);
    }
    if (up_.empty() && now >= nextSeedContact_) {
        nextSeedContact_ = now + IsolatedSeedInterval;
        contactSeeds(outgoing);
    }
    if (now >= nextProbe_) {
        nextProbe_ = now + settings_.probePeriod;
        contactSeeds(outgoing);
        startProbe(now, outgoing);
        forgetDead(now);
        std::erase_if(relays_, [&](const auto& relay) { return now - relay.second.since > RelayLifetime; });
    }
    return outgoing;
}

void Membership::detectPause(base::TimePoint now)
{
    if (lastTick_ == base::TimePoint() || now - lastTick_ < settings_.pauseThreshold)
        return;
    // Missing messages are due to this process's own pause: restart the probe and all suspicion timeouts.
    ++pauseCount_;
    isViewStale_ = !members_.empty();
    probe_.reset();
    for (auto& [id, member] : members_) {
        if (member.state == MemberState::Suspect)
            member.stateSince = now;
    }
    hooks_.onChange();
}

void Membership::startProbe(base::TimePoint now, std::vector<Outgoing>& outgoing)
{
    if (probe_)
        return;
    while (!probeOrder_.empty()) {
        const auto found = members_.find(probeOrder_.back());
        if (found != members_.end() && isUp(found->second.state))
            break;
        probeOrder_.pop_back();
    }
    if (probeOrder_.empty()) {
        // Start a new round in random order. Every node is probed once a round.
        probeOrder_ = pickRandomUp(members_.size(), self_.id);
        if (probeOrder_.empty())
            return;
    }
    const NodeId target = probeOrder_.back();
    probeOrder_.pop_back();
    probe_ = Probe { ++lastSequence_, target, now, now };
    outgoing.push_back({ target.endpoint, makePing(probe_->sequence, target) });
}

void Membership::checkProbe(base::TimePoint now, std::vector<Outgoing>& outgoing)
{
    if (!probe_)
        return;
    if (now - probe_->sentAt >= settings_.ackTimeout) {
        if (probe_->sentAt == probe_->startedAt) {
            for (const NodeId& helper : pickRandomUp(settings_.indirectProbes, probe_->target))
                outgoing.push_back({ helper.endpoint, PingRequest { probe_->sequence, self_, probe_->target } });
        }
        probe_->sentAt = now;
        outgoing.push_back({ probe_->target.endpoint, makePing(probe_->sequence, probe_->target) });
    }
    if (now - probe_->startedAt < settings_.probePeriod)
        return;
    const auto found = members_.find(probe_->target);
    probe_.reset();
    recordProbe(false);
    if (found == members_.end() || found->second.state != MemberState::Alive)
        return;
    setState(found->second, MemberState::Suspect, found->second.refutation, now);
    queueUpdate({ found->second.node, MemberState::Suspect, found->second.refutation, found->second.isUnlinked });
}

// Pings suspected nodes: they must know of the suspicion to refute it, and gossip may miss them.
void Membership::pingSuspects(std::vector<Outgoing>& outgoing)
{
    std::size_t pinged = 0;
    for (const NodeId& id : pickRandomUp(up_.size(), self_.id)) {
        if (members_.at(id).state != MemberState::Suspect)
            continue;
        outgoing.push_back({ id.endpoint, makePing(++lastSequence_, id) });
        if (++pinged >= MaxSuspectsPinged)
            return;
    }
}

void Membership::contactSeeds(std::vector<Outgoing>& outgoing)
{
    if (up_.size() >= seeds_.size())
        return;
    std::vector<std::string> unknown;
    for (const std::string& endpoint : seeds_) {
        const bool isKnown = std::ranges::any_of(
            members_, [&](const auto& entry) { return entry.first.endpoint == endpoint && isUp(entry.second.state); });
        if (!isKnown)
            unknown.push_back(endpoint);
    }
    for (std::size_t count = 0; count < SeedContactsPerPeriod && !unknown.empty(); ++count) {
        const std::size_t index = hooks_.random() % unknown.size();
        outgoing.push_back({ unknown[index], makePing(++lastSequence_, { unknown[index], 0 }) });
        unknown.erase(unknown.begin() + static_cast<std::ptrdiff_t>(index));
    }
}

void Membership::expireSuspects(base::TimePoint now)
{
    // Usually there are no suspects, and the cost of a tick must not grow with the fleet.
    if (isViewStale_ || suspects_ == 0)
        return;
    for (auto& [id, member] : members_) {
        // A message directly from the node restarts the timeout.
        const base::TimePoint silentSince = std::max(member.stateSince, member.lastMessageAt);
        if (member.state != MemberState::Suspect || now - silentSince < settings_.suspicionTimeout)
            continue;
        setState(member, MemberState::Dead, member.refutation, now);
        queueUpdate({ member.node, MemberState::Dead, member.refutation });
    }
}

void Membership::forgetDead(base::TimePoint now)
{
    if (members_.size() == up_.size())
        return;
    std::erase_if(members_, [&](const auto& entry) {
        return !isUp(entry.second.state) && now - entry.second.stateSince > settings_.deadRetention
            && !seeds_.contains(entry.first.endpoint);
    });
}

std::vector<Outgoing> Membership::receive(const Message& message, base::TimePoint now)
{
    std::vector<Outgoing> outgoing;
    if (isLeaving_)
        return outgoing;
    now_ = now;
    if (const auto* ping = std::get_if<Ping>(&message)) {
        if (ping->target.boot != 0 && ping->target != self_.id) {
            // The ping is for an earlier incarnation at this endpoint: the ack shows that it has ended.
            outgoing.push_back({ ping->from.id.endpoint, Ack { 0, self_, makeGossip() } });
            return outgoing;
        }
        onMessageFrom(ping->from, now, outgoing);
        applyGossip(ping->from, ping->gossip, now);
        outgoing.push_back({ ping->from.id.endpoint, Ack { ping->sequence, self_, makeReply(ping->gossip, now) } });
    } else if (const auto* ack = std::get_if<Ack>(&message)) {
        onMessageFrom(ack->from, now, outgoing);
        applyGossip(ack->from, ack->gossip, now);
        if (probe_ && probe_->sequence == ack->sequence && probe_->target == ack->from.id) {
            probe_.reset();
            recordProbe(true);
        }
        const auto relay = relays_.find(ack->sequence);
        if (relay != relays_.end()) {
            outgoing.push_back({ relay->second.requester, Ack { relay->second.originalSequence, ack->from, {} } });
            relays_.erase(relay);
        }
        if (isComparisonDue(ack->gossip, now)) {
            Ping reply { ++lastSequence_, self_, ack->from.id, makeReply(ack->gossip, now) };
            outgoing.push_back({ ack->from.id.endpoint, std::move(reply) });
        }
    } else {
        const auto& request = std::get<PingRequest>(message);
        onMessageFrom(request.from, now, outgoing);
        const std::uint64_t sequence = ++lastSequence_;
        relays_[sequence] = { request.sequence, request.from.id.endpoint, now };
        outgoing.push_back({ request.target.endpoint, makePing(sequence, request.target) });
    }
    return outgoing;
}

void Membership::onMessageFrom(const NodeInfo& node, base::TimePoint now, std::vector<Outgoing>& outgoing)
{
    if (node.id == self_.id)
        return;
    isViewStale_ = false;
    const auto other = upByEndpoint_.find(node.id.endpoint);
    if (other != upByEndpoint_.end() && other->second.boot != node.id.boot) {
        // Two incarnations cannot share an endpoint, so the earlier one has ended.
        Member& down = members_.at(other->second);
        setState(down, MemberState::Dead, down.refutation, now);
        queueUpdate({ down.node, MemberState::Dead, down.refutation });
    }
    const auto found = members_.find(node.id);
    if (found == members_.end()) {
        applyUpdate({ node, MemberState::Alive, 0 }, now);
        return;
    }
    found->second.lastMessageAt = now;
    // A node known as suspected or dead must refute it to correct the views of all nodes. Ping it immediately.
    if (found->second.state == MemberState::Suspect || found->second.state == MemberState::Dead)
        outgoing.push_back({ node.id.endpoint, makePing(++lastSequence_, node.id) });
}

void Membership::applyGossip(const NodeInfo& from, const Gossip& gossip, base::TimePoint now)
{
    for (const MemberUpdate& update : gossip.members)
        applyUpdate(update, now);
    for (const CrashReport& report : gossip.crashes)
        applyCrash(report.record, now - report.age, now);
    crashes_.onDigest(gossip.crashDigest, now);
    hooks_.onConfiguration(from, gossip.configuration);
}

bool Membership::isComparisonDue(const Gossip& received, base::TimePoint now) const
{
    if (received.viewDigest == 0 || received.viewDigest == viewDigest_.total())
        return false;
    return !received.viewBuckets.empty() || now >= nextComparison_;
}

// Answers a comparison, and starts one if the views differ. The node that has started one less than ComparisonInterval
// ago does not start another, so an exchange ends after two messages from each side.
Gossip Membership::makeReply(const Gossip& received, base::TimePoint now)
{
    if (!isComparisonDue(received, now))
        return makeGossip();
    Gossip gossip;
    std::size_t maxMembers = settings_.maxUpdatesPerMessage;
    if (now >= nextComparison_) {
        nextComparison_ = now + ComparisonInterval;
        gossip.viewBuckets = viewDigest_.buckets();
        maxMembers -= std::min(maxMembers, ViewDigest::MembersPerDigest);
    }
    // These are news to the sender, unlike most pending updates.
    addDifferingMembers(received.viewBuckets, maxMembers, gossip);
    fill(maxMembers, gossip);
    return gossip;
}

// Down members are sent too: the sender may have missed that they ended.
void Membership::addDifferingMembers(
    const std::vector<std::uint32_t>& viewBuckets, std::size_t maxMembers, Gossip& gossip)
{
    const auto isDiffering = viewDigest_.differingBuckets(viewBuckets);
    std::vector<const Member*> candidates;
    for (const auto& [id, member] : members_) {
        if (isDiffering[ViewDigest::bucketOf(id)])
            candidates.push_back(&member);
    }
    for (std::size_t index = 0; index < candidates.size() && gossip.members.size() < maxMembers; ++index) {
        std::swap(candidates[index], candidates[index + hooks_.random() % (candidates.size() - index)]);
        const Member& chosen = *candidates[index];
        gossip.members.push_back({ chosen.node, chosen.state, chosen.refutation, chosen.isUnlinked });
    }
}

void Membership::applyUpdate(const MemberUpdate& update, base::TimePoint now)
{
    if (update.node.id == self_.id) {
        refute(update);
        return;
    }
    const auto found = members_.find(update.node.id);
    if (found == members_.end()) {
        // Ignore nodes that are first reported after they left or died.
        if (!isUp(update.state))
            return;
        members_.emplace(
            update.node.id, Member { update.node, update.state, update.refutation, now, {}, update.isUnlinked });
        linkChangeCount_ += update.isUnlinked ? 1 : 0;
        suspects_ += update.state == MemberState::Suspect ? 1 : 0;
        addUp(update.node.id);
        queueUpdate(update);
        hooks_.onChange();
        return;
    }
    if (!overrides(update, found->second))
        return;
    if (update.refutation > found->second.refutation && found->second.isUnlinked != update.isUnlinked) {
        found->second.isUnlinked = update.isUnlinked;
        ++linkChangeCount_;
        if (isUp(found->second.state))
            toggleUnlinked(update.node.id);
    }
    setState(found->second, update.state, update.refutation, now);
    queueUpdate(update);
}

void Membership::setState(Member& member, MemberState state, std::uint32_t refutation, base::TimePoint now)
{
    member.refutation = refutation;
    if (member.state == state)
        return;
    const bool wasUp = isUp(member.state);
    suspects_ -= member.state == MemberState::Suspect ? 1 : 0;
    suspects_ += state == MemberState::Suspect ? 1 : 0;
    member.state = state;
    member.stateSince = now;
    if (wasUp && !isUp(state))
        removeUp(member.node.id);
    if (state == MemberState::Left)
        left_.insert(member.node.id.endpoint);
    if (!wasUp && isUp(state))
        addUp(member.node.id);
    hooks_.onChange();
}

void Membership::addUp(const NodeId& id)
{
    ++upChangeCount_;
    up_.push_back(id);
    viewDigest_.toggle(id);
    if (members_.at(id).isUnlinked)
        toggleUnlinked(id);
    left_.erase(id.endpoint);
    upByEndpoint_.insert_or_assign(id.endpoint, id);
}

void Membership::removeUp(const NodeId& id)
{
    ++upChangeCount_;
    std::erase(up_, id);
    viewDigest_.toggle(id);
    if (members_.at(id).isUnlinked)
        toggleUnlinked(id);
    const auto found = upByEndpoint_.find(id.endpoint);
    if (found != upByEndpoint_.end() && found->second == id)
        upByEndpoint_.erase(found);
}

void Membership::recordProbe(bool wasAnswered)
{
    probeResults_.push_back(wasAnswered);
    if (probeResults_.size() > MaxProbeResults)
        probeResults_.pop_front();
}

double Membership::probeSuccessRate() const
{
    if (probeResults_.size() < MaxProbeResults / 2)
        return 1;
    return static_cast<double>(std::ranges::count(probeResults_, true)) / static_cast<double>(probeResults_.size());
}

void Membership::refute(const MemberUpdate& update)
{
    if (update.state == MemberState::Alive)
        return;
    if (update.refutation < refutation_) {
        // The sender has missed the refutation, so send it again.
        queueUpdate(ownUpdate());
        return;
    }
    ownDeathReports_ += update.state == MemberState::Dead ? 1 : 0;
    refutation_ = update.refutation + 1;
    queueUpdate(ownUpdate());
}

MemberUpdate Membership::ownUpdate() const
{
    return { self_, MemberState::Alive, refutation_, isUnlinked_ };
}

// Like a refutation, the statement overrides what the others know of this node.
void Membership::setUnlinked(bool isUnlinked)
{
    if (std::exchange(isUnlinked_, isUnlinked) == isUnlinked)
        return;
    ++refutation_;
    toggleUnlinked(self_.id);
    queueUpdate(ownUpdate());
}

// Counts the statement as a member of its own, so that nodes that have missed it find out when they compare views.
void Membership::toggleUnlinked(const NodeId& id)
{
    viewDigest_.toggle({ id.endpoint, ~id.boot });
}

std::vector<NodeId> Membership::unlinkedNodes() const
{
    std::vector<NodeId> nodes;
    for (const NodeId& id : up_) {
        if (members_.at(id).isUnlinked)
            nodes.push_back(id);
    }
    return nodes;
}

void Membership::queueUpdate(const MemberUpdate& update)
{
    const auto older = pendingUpdateOf_.find(update.node.id);
    if (older != pendingUpdateOf_.end())
        pendingUpdates_.erase(older->second);
    // Send the newest update first: it may refute an older one.
    pendingUpdateOf_[update.node.id] = pendingUpdates_.emplace_hint(pendingUpdates_.begin(), 0, update);
}

void Membership::reportCrash(const quarantine::CrashRecord& record, base::TimePoint now)
{
    now_ = now;
    applyCrash(record, now, now);
}

void Membership::applyCrash(const quarantine::CrashRecord& record, base::TimePoint changedAt, base::TimePoint now)
{
    if (crashes_.put(record, changedAt, now))
        hooks_.onCrash(record, changedAt);
}

std::uint32_t Membership::logNodes() const
{
    return static_cast<std::uint32_t>(std::bit_width(members_.size() + 1));
}

// Adds the pending updates that have been sent the fewest times.
void Membership::addPendingUpdates(std::size_t maxMembers, Gossip& gossip)
{
    std::vector<PendingUpdates::node_type> extracted;
    while (!pendingUpdates_.empty() && gossip.members.size() < maxMembers) {
        extracted.push_back(pendingUpdates_.extract(pendingUpdates_.begin()));
        gossip.members.push_back(extracted.back().mapped());
    }
    for (PendingUpdates::node_type& pending : extracted) {
        const NodeId subject = pending.mapped().node.id;
        if (++pending.key() >= SendsPerLogNodes * logNodes())
            pendingUpdateOf_.erase(subject);
        else
            pendingUpdateOf_[subject] = pendingUpdates_.insert(std::move(pending));
    }
}

Gossip Membership::makeGossip()
{
    Gossip gossip;
    fill(settings_.maxUpdatesPerMessage, gossip);
    return gossip;
}

void Membership::fill(std::size_t maxMembers, Gossip& gossip)
{
    gossip.configuration = configuration_;
    gossip.viewDigest = viewDigest_.total();
    addPendingUpdates(maxMembers, gossip);
    crashes_.addTo(gossip, CrashSendsPerLogNodes * logNodes(), now_);
}

Ping Membership::makePing(std::uint64_t sequence, const NodeId& target)
{
    Ping ping { sequence, self_, target, makeGossip() };
    // A target that is suspected or dead must know its state to refute it.
    const auto found = members_.find(target);
    if (found != members_.end() && found->second.state != MemberState::Alive)
        ping.gossip.members.push_back({ found->second.node, found->second.state, found->second.refutation });
    return ping;
}

std::vector<NodeId> Membership::pickRandomUp(std::size_t count, const NodeId& except)
{
    // Partial shuffle in place: the order of up_ is not significant.
    std::vector<NodeId> chosen;
    for (std::size_t index = 0; index < up_.size() && chosen.size() < count; ++index) {
        std::swap(up_[index], up_[index + hooks_.random() % (up_.size() - index)]);
        if (up_[index] != except)
            chosen.push_back(up_[index]);
    }
    return chosen;
}

std::vector<Outgoing> Membership::gossipNow(std::size_t fanOut)
{
    std::vector<Outgoing> outgoing;
    for (const NodeId& id : pickRandomUp(fanOut, self_.id))
        outgoing.push_back({ id.endpoint, makePing(++lastSequence_, id) });
    return outgoing;
}

std::vector<Outgoing> Membership::leave(base::TimePoint)
{
    ++refutation_;
    queueUpdate({ self_, MemberState::Left, refutation_ });
    std::vector<Outgoing> outgoing = gossipNow(LeaveFanOut);
    isLeaving_ = true;
    return outgoing;
}

std::vector<NodeInfo> Membership::upNodes() const
{
    std::vector<NodeInfo> nodes { self_ };
    nodes.reserve(up_.size() + 1);
    for (const NodeId& id : up_)
        nodes.push_back(members_.at(id).node);
    return nodes;
}

} // namespace flamingousher::fleet
