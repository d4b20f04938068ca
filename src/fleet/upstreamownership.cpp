#include "fleet/upstreamownership.h"

#include "fleet/rendezvous.h"

#include <algorithm>

namespace flamingousher::fleet {

namespace {

    // A hold-off that starts again with each change of the view ends after this many times its length.
    constexpr int LongestHoldOff = 5;

} // namespace

UpstreamOwnership::UpstreamOwnership(NodeId self, OwnershipSettings settings)
    : self_(std::move(self))
    , settings_(settings)
{
}

void UpstreamOwnership::setUpstreams(const std::vector<UpstreamKey>& upstreams, base::TimePoint now)
{
    upstreams_ = upstreams;
    recompute(now);
}

void UpstreamOwnership::setView(const std::vector<NodeInfo>& alive, std::size_t listed, base::TimePoint now)
{
    view_ = alive;
    listed_ = listed;
    for (const NodeInfo& node : view_)
        regionOfZone_.insert_or_assign(node.zone, node.region);
    if (isLeaving_)
        std::erase_if(view_, [&](const NodeInfo& node) { return node.id == self_; });
    recompute(now);
}

void UpstreamOwnership::beginLeave(base::TimePoint now)
{
    isLeaving_ = true;
    setView(view_, listed_, now);
}

void UpstreamOwnership::recompute(base::TimePoint now)
{
    std::map<std::string, NodeInfo> owners;
    std::map<std::string, Duty> duties;
    for (const UpstreamKey& key : upstreams_) {
        const NodeInfo* home = ownerOf(key);
        if (!home)
            continue;
        owners.emplace(key.upstream, *home);
        const auto current = duties_.find(key.upstream);
        if (home->id != self_) {
            if (current != duties_.end() && isServing(key.upstream, now))
                surrendered_[key.upstream] = std::nullopt;
            continue;
        }
        surrendered_.erase(key.upstream);
        if (current == duties_.end()) {
            duties.emplace(key.upstream, makeDuty(key, now));
            continue;
        }
        Duty duty = current->second;
        if (!duty.isPreviousKnown)
            guessPrevious(key, duty);
        // While the view still changes, another node may not have heard of this one yet.
        if (!duty.isReleased && now < duty.servesFrom)
            duty.servesFrom
                = std::min(now + settings_.takeoverDelay, duty.createdAt + LongestHoldOff * settings_.takeoverDelay);
        duties.emplace(key.upstream, std::move(duty));
    }
    owners_ = std::move(owners);
    duties_ = std::move(duties);
}

UpstreamOwnership::Duty UpstreamOwnership::makeDuty(const UpstreamKey& key, base::TimePoint now) const
{
    Duty duty;
    duty.createdAt = now;
    duty.servesFrom = listed_ <= 1 ? now : now + settings_.takeoverDelay;
    const auto earlier = owners_.find(key.upstream);
    if (earlier != owners_.end() && earlier->second.id != self_) {
        duty.previous = earlier->second;
        duty.isPreviousKnown = true;
    } else {
        guessPrevious(key, duty);
    }
    return duty;
}

// A node that joins did not see who was the home before: the choice without itself tells.
void UpstreamOwnership::guessPrevious(const UpstreamKey& key, Duty& duty) const
{
    std::vector<NodeInfo> others = view_;
    std::erase_if(others, [&](const NodeInfo& node) { return node.id == self_; });
    const NodeInfo* previous = chooseHome(others, key);
    duty.previous = previous ? std::optional(*previous) : std::nullopt;
}

const NodeInfo* UpstreamOwnership::ownerOf(const UpstreamKey& key) const
{
    return chooseHome(view_, key);
}

// A node in the upstream's zone; when that has none, a node of the same region. Another region would be far away, and
// when the regions have lost each other it cannot reach the upstream at all. The region of a zone in which this node
// has never seen a node is unknown: then any node will do.
const NodeInfo* UpstreamOwnership::chooseHome(const std::vector<NodeInfo>& nodes, const UpstreamKey& key) const
{
    const NodeInfo* inZone
        = rendezvousNode(nodes, key.upstream, [&](const NodeInfo& node) { return node.zone == key.zone; });
    if (inZone)
        return inZone;
    const auto region = regionOfZone_.find(key.zone);
    return rendezvousNode(nodes, key.upstream,
        [&](const NodeInfo& node) { return region == regionOfZone_.end() || node.region == region->second; });
}

void UpstreamOwnership::suspend(base::TimePoint now)
{
    surrendered_.clear();
    for (const UpstreamKey& key : upstreams_) {
        const auto duty = duties_.find(key.upstream);
        if (duty == duties_.end())
            continue;
        duty->second = {};
        duty->second.createdAt = now;
        duty->second.servesFrom = now + settings_.takeoverDelay;
        guessPrevious(key, duty->second);
    }
}

std::vector<Claim> UpstreamOwnership::tick(base::TimePoint now)
{
    std::map<NodeInfo, std::vector<std::string>> wanted;
    for (auto& [upstream, duty] : duties_) {
        if (duty.isReleased || now >= duty.servesFrom || !duty.previous)
            continue;
        if (duty.lastClaim != base::TimePoint() && now - duty.lastClaim < settings_.claimInterval)
            continue;
        duty.lastClaim = now;
        wanted[*duty.previous].push_back(upstream);
    }
    std::vector<Claim> claims;
    claims.reserve(wanted.size());
    for (auto& [node, upstreams] : wanted)
        claims.push_back({ node, std::move(upstreams) });
    return claims;
}

std::vector<std::string> UpstreamOwnership::onClaim(const NodeInfo& from, const std::vector<std::string>& upstreams,
    const std::function<bool(const std::string&)>& hasWorkInFlight, base::TimePoint)
{
    std::vector<std::string> released;
    for (const std::string& upstream : upstreams) {
        const auto home = owners_.find(upstream);
        // Releases only towards the node that it sees as the home itself: a claim alone proves nothing.
        const bool isAgreed = home != owners_.end() && home->second.id == from.id;
        // What this node did not serve itself is not its to release: another may still serve it.
        const auto surrendered = surrendered_.find(upstream);
        if (!isAgreed || surrendered == surrendered_.end() || hasWorkInFlight(upstream))
            continue;
        if (surrendered->second && *surrendered->second != from.id)
            continue;
        surrendered->second = from.id;
        released.push_back(upstream);
    }
    return released;
}

void UpstreamOwnership::onReleased(const NodeId& from, const std::vector<std::string>& upstreams)
{
    for (const std::string& upstream : upstreams) {
        const auto duty = duties_.find(upstream);
        if (duty != duties_.end() && duty->second.previous && duty->second.previous->id == from)
            duty->second.isReleased = true;
    }
}

bool UpstreamOwnership::isServing(const std::string& upstream, base::TimePoint now) const
{
    const auto duty = duties_.find(upstream);
    return duty != duties_.end() && (duty->second.isReleased || now >= duty->second.servesFrom);
}

std::set<std::string> UpstreamOwnership::servingUpstreams(base::TimePoint now) const
{
    std::set<std::string> serving;
    for (const auto& [upstream, duty] : duties_) {
        if (isServing(upstream, now))
            serving.insert(upstream);
    }
    return serving;
}

bool UpstreamOwnership::isOwner(const std::string& upstream) const
{
    return duties_.contains(upstream);
}

std::uint32_t shareOfLimit(std::uint32_t limit, std::size_t seen, std::size_t listed)
{
    if (seen >= listed)
        return limit;
    const std::uint64_t product = static_cast<std::uint64_t>(limit) * seen;
    const bool isMajority = 2 * seen > listed;
    return static_cast<std::uint32_t>(isMajority ? (product + listed - 1) / listed : product / listed);
}

} // namespace flamingousher::fleet
