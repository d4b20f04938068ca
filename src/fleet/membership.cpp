#include "fleet/membership.h"

#include <algorithm>
#include <bit>

namespace flamingousher::fleet {

namespace {

    // Each rumour is sent this many times the logarithm of the number of nodes.
    constexpr std::uint32_t SendsPerLogNodes = 3;

    constexpr std::size_t LeaveNotices = 5;
    constexpr std::size_t SeedContactsPerPeriod = 3;

    // A node that knows nobody asks the seeds this often: when a whole fleet starts, the first asked are not there yet.
    constexpr base::Duration LoneSeedInterval = std::chrono::milliseconds(200);
    constexpr std::size_t CrashesPerMessage = 4;
    constexpr std::size_t KnownCrashes = 1'024;
    constexpr std::size_t RememberedProbes = 8;
    constexpr std::size_t SuspectsToldAtOnce = 2;

    // Often enough that a node on lossy links hears of its suspicion, and is heard, before it ends.
    constexpr base::Duration NoticeInterval = std::chrono::milliseconds(400);
    constexpr base::Duration RelayLifetime = std::chrono::seconds(2);

    // Whether the first update replaces the second.
    bool overrides(const MemberUpdate& update, const Member& member)
    {
        // An incarnation that has ended does not come back: another one has another boot number.
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
    noticePause(now);
    lastTick_ = now;
    checkProbe(now, outgoing);
    expireSuspects(now);
    if (suspects_ > 0 && now >= nextNotice_) {
        nextNotice_ = now + NoticeInterval;
        tellSuspects(outgoing);
    }
    if (up_.empty() && now >= nextSeedContact_) {
        nextSeedContact_ = now + LoneSeedInterval;
        contactSeeds(outgoing);
    }
    if (now >= nextProbe_) {
        nextProbe_ = now + settings_.period;
        contactSeeds(outgoing);
        startProbe(now, outgoing);
        forgetDead(now);
        std::erase_if(relays_, [&](const auto& relay) { return now - relay.second.since > RelayLifetime; });
    }
    return outgoing;
}

void Membership::noticePause(base::TimePoint now)
{
    if (lastTick_ == base::TimePoint() || now - lastTick_ < settings_.pauseBound)
        return;
    // The silence was this process's own: nothing can be held against the others.
    ++pauses_;
    isStale_ = !members_.empty();
    probe_.reset();
    for (auto& [id, member] : members_) {
        if (member.state == MemberState::Suspect)
            member.since = now;
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
        // A new round in random order: every node is probed once in a round, whatever the order.
        probeOrder_ = randomUp(members_.size(), self_.id);
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
            for (const NodeId& helper : randomUp(settings_.indirectProbes, probe_->target))
                outgoing.push_back({ helper.endpoint, PingRequest { probe_->sequence, self_, probe_->target } });
        }
        probe_->sentAt = now;
        outgoing.push_back({ probe_->target.endpoint, makePing(probe_->sequence, probe_->target) });
    }
    if (now - probe_->startedAt < settings_.period)
        return;
    const auto found = members_.find(probe_->target);
    probe_.reset();
    noteProbe(false);
    if (found == members_.end() || found->second.state != MemberState::Alive)
        return;
    setState(found->second, MemberState::Suspect, found->second.refutation, now);
    spread({ found->second.node, MemberState::Suspect, found->second.refutation });
}

// A suspected node must hear of the suspicion to refute it, and rumours may miss it.
void Membership::tellSuspects(std::vector<Outgoing>& outgoing)
{
    std::size_t told = 0;
    for (const NodeId& id : randomUp(up_.size(), self_.id)) {
        if (members_.at(id).state != MemberState::Suspect)
            continue;
        outgoing.push_back({ id.endpoint, makePing(++lastSequence_, id) });
        if (++told >= SuspectsToldAtOnce)
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
    // Most of the time there are none, and the cost of a tick must not grow with the fleet.
    if (isStale_ || suspects_ == 0)
        return;
    for (auto& [id, member] : members_) {
        // Whoever has heard the node itself since the suspicion began knows better.
        const base::TimePoint silentSince = std::max(member.since, member.heardAt);
        if (member.state != MemberState::Suspect || now - silentSince < settings_.suspicion)
            continue;
        setState(member, MemberState::Dead, member.refutation, now);
        spread({ member.node, MemberState::Dead, member.refutation });
    }
}

void Membership::forgetDead(base::TimePoint now)
{
    if (members_.size() == up_.size())
        return;
    std::erase_if(members_, [&](const auto& entry) {
        return !isUp(entry.second.state) && now - entry.second.since > settings_.deadRetention
            && !seeds_.contains(entry.first.endpoint);
    });
}

std::vector<Outgoing> Membership::receive(const Message& message, base::TimePoint now)
{
    std::vector<Outgoing> outgoing;
    if (isLeaving_)
        return outgoing;
    if (const auto* ping = std::get_if<Ping>(&message)) {
        if (ping->target.boot != 0 && ping->target != self_.id) {
            // Meant for an earlier incarnation at this endpoint: the answer shows that it has ended.
            outgoing.push_back({ ping->from.id.endpoint, Ack { 0, self_, makeGossip() } });
            return outgoing;
        }
        hearFrom(ping->from, now, outgoing);
        applyGossip(ping->from, ping->gossip, now);
        outgoing.push_back({ ping->from.id.endpoint, Ack { ping->sequence, self_, makeGossip() } });
    } else if (const auto* ack = std::get_if<Ack>(&message)) {
        hearFrom(ack->from, now, outgoing);
        applyGossip(ack->from, ack->gossip, now);
        if (probe_ && probe_->sequence == ack->sequence && probe_->target == ack->from.id) {
            probe_.reset();
            noteProbe(true);
        }
        const auto relay = relays_.find(ack->sequence);
        if (relay != relays_.end()) {
            outgoing.push_back({ relay->second.requester, Ack { relay->second.originalSequence, ack->from, {} } });
            relays_.erase(relay);
        }
    } else {
        const auto& request = std::get<PingRequest>(message);
        hearFrom(request.from, now, outgoing);
        const std::uint64_t sequence = ++lastSequence_;
        relays_[sequence] = { request.sequence, request.from.id.endpoint, now };
        outgoing.push_back({ request.target.endpoint, makePing(sequence, request.target) });
    }
    return outgoing;
}

void Membership::hearFrom(const NodeInfo& node, base::TimePoint now, std::vector<Outgoing>& outgoing)
{
    if (node.id == self_.id)
        return;
    isStale_ = false;
    const auto other = upByEndpoint_.find(node.id.endpoint);
    if (other != upByEndpoint_.end() && other->second.boot != node.id.boot) {
        // Two incarnations cannot share an endpoint: the other one has ended.
        Member& ended = members_.at(other->second);
        setState(ended, MemberState::Dead, ended.refutation, now);
        spread({ ended.node, MemberState::Dead, ended.refutation });
    }
    const auto found = members_.find(node.id);
    if (found == members_.end()) {
        applyUpdate({ node, MemberState::Alive, 0 }, now);
        return;
    }
    found->second.heardAt = now;
    // A node held for suspected or dead still has to refute, so that all nodes learn it: it is told at once.
    if (found->second.state == MemberState::Suspect || found->second.state == MemberState::Dead)
        outgoing.push_back({ node.id.endpoint, makePing(++lastSequence_, node.id) });
}

void Membership::applyGossip(const NodeInfo& from, const Gossip& gossip, base::TimePoint now)
{
    for (const MemberUpdate& update : gossip.members)
        applyUpdate(update, now);
    for (const CrashEvidence& evidence : gossip.crashes)
        reportCrash(evidence);
    hooks_.onConfiguration(from, gossip.configuration);
}

void Membership::applyUpdate(const MemberUpdate& update, base::TimePoint now)
{
    if (update.node.id == self_.id) {
        refute(update);
        return;
    }
    const auto found = members_.find(update.node.id);
    if (found == members_.end()) {
        // What is known only as ended need not be remembered, but an endpoint's earlier incarnation may be.
        if (!isUp(update.state))
            return;
        members_.emplace(update.node.id, Member { update.node, update.state, update.refutation, now, {} });
        suspects_ += update.state == MemberState::Suspect ? 1 : 0;
        addUp(update.node.id);
        spread(update);
        hooks_.onChange();
        return;
    }
    if (!overrides(update, found->second))
        return;
    setState(found->second, update.state, update.refutation, now);
    spread(update);
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
    member.since = now;
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
    up_.push_back(id);
    left_.erase(id.endpoint);
    upByEndpoint_.insert_or_assign(id.endpoint, id);
}

void Membership::removeUp(const NodeId& id)
{
    std::erase(up_, id);
    const auto found = upByEndpoint_.find(id.endpoint);
    if (found != upByEndpoint_.end() && found->second == id)
        upByEndpoint_.erase(found);
}

void Membership::noteProbe(bool wasAnswered)
{
    probeResults_.push_back(wasAnswered);
    if (probeResults_.size() > RememberedProbes)
        probeResults_.pop_front();
}

double Membership::probeSuccessRate() const
{
    if (probeResults_.size() < RememberedProbes / 2)
        return 1;
    return static_cast<double>(std::ranges::count(probeResults_, true)) / static_cast<double>(probeResults_.size());
}

void Membership::refute(const MemberUpdate& update)
{
    if (update.state == MemberState::Alive)
        return;
    if (update.refutation < refutation_) {
        // Somebody has missed the refutation.
        spread({ self_, MemberState::Alive, refutation_ });
        return;
    }
    ownDeaths_ += update.state == MemberState::Dead ? 1 : 0;
    refutation_ = update.refutation + 1;
    spread({ self_, MemberState::Alive, refutation_ });
}

void Membership::spread(const MemberUpdate& update)
{
    const auto older = rumourOf_.find(update.node.id);
    if (older != rumourOf_.end())
        rumours_.erase(older->second);
    // The newest goes first: it may be the refutation of an older one.
    rumourOf_[update.node.id] = rumours_.emplace_hint(rumours_.begin(), 0, update);
}

void Membership::reportCrash(const CrashEvidence& evidence)
{
    if (!knownCrashes_.insert(evidence).second)
        return;
    if (knownCrashes_.size() > KnownCrashes)
        knownCrashes_.erase(knownCrashes_.begin());
    crashRumours_.push_front({ evidence, 0 });
    hooks_.onCrash(evidence);
}

std::uint32_t Membership::sendsPerRumour() const
{
    return SendsPerLogNodes * static_cast<std::uint32_t>(std::bit_width(members_.size() + 1));
}

// A rumour reaches nearly every node, but not every one: news of a node that has ended are repeated while it is
// remembered.
void Membership::addRandomEnded(Gossip& gossip)
{
    if (members_.size() == up_.size())
        return;
    std::vector<const Member*> ended;
    for (const auto& [id, member] : members_) {
        if (!isUp(member.state))
            ended.push_back(&member);
    }
    const Member& chosen = *ended[hooks_.random() % ended.size()];
    gossip.members.push_back({ chosen.node, chosen.state, chosen.refutation });
}

// Takes the rumours that have been sent least often.
void Membership::takeRumours(Gossip& gossip)
{
    std::vector<Rumours::node_type> taken;
    while (!rumours_.empty() && gossip.members.size() < settings_.maxUpdatesPerMessage) {
        taken.push_back(rumours_.extract(rumours_.begin()));
        gossip.members.push_back(taken.back().mapped());
    }
    for (Rumours::node_type& rumour : taken) {
        const NodeId about = rumour.mapped().node.id;
        if (++rumour.key() >= sendsPerRumour())
            rumourOf_.erase(about);
        else
            rumourOf_[about] = rumours_.insert(std::move(rumour));
    }
}

Gossip Membership::makeGossip()
{
    Gossip gossip;
    gossip.configuration = configuration_;
    takeRumours(gossip);
    addRandomEnded(gossip);
    // One known node at random, so that a node that missed a rumour learns of it in the end.
    if (gossip.members.size() < settings_.maxUpdatesPerMessage) {
        for (const NodeId& id : randomUp(1, self_.id)) {
            const Member& member = members_.at(id);
            gossip.members.push_back({ member.node, member.state, member.refutation });
        }
    }
    for (CrashRumour& rumour : crashRumours_) {
        if (gossip.crashes.size() >= CrashesPerMessage)
            break;
        gossip.crashes.push_back(rumour.evidence);
        ++rumour.sends;
    }
    std::erase_if(crashRumours_, [&](const CrashRumour& rumour) { return rumour.sends >= sendsPerRumour(); });
    return gossip;
}

Ping Membership::makePing(std::uint64_t sequence, const NodeId& target)
{
    Ping ping { sequence, self_, target, makeGossip() };
    // A suspected or dead target must hear of it, or it cannot refute.
    const auto found = members_.find(target);
    if (found != members_.end() && found->second.state != MemberState::Alive)
        ping.gossip.members.push_back({ found->second.node, found->second.state, found->second.refutation });
    return ping;
}

std::vector<NodeId> Membership::randomUp(std::size_t count, const NodeId& except)
{
    // A partial shuffle in place: the order of the list means nothing.
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
    for (const NodeId& id : randomUp(fanOut, self_.id))
        outgoing.push_back({ id.endpoint, makePing(++lastSequence_, id) });
    return outgoing;
}

std::vector<Outgoing> Membership::leave(base::TimePoint)
{
    ++refutation_;
    spread({ self_, MemberState::Left, refutation_ });
    std::vector<Outgoing> outgoing = gossipNow(LeaveNotices);
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
