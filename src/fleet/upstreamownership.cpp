#include "fleet/upstreamownership.h"

#include "fleet/rendezvous.h"

#include <algorithm>

namespace flamingousher::fleet {

namespace {

    // Each change of the view restarts the takeover delay; the total wait is capped at this multiple of the delay.
    constexpr int MaxTakeoverDelayFactor = 5;

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
        const NodeInfo* owner = ownerOf(key);
        if (!owner)
            continue;
        owners.emplace(key.upstream, *owner);
        const auto existing = duties_.find(key.upstream);
        if (owner->id != self_) {
            if (existing != duties_.end() && isServing(key.upstream, now))
                formerlyOwned_[key.upstream] = std::nullopt;
            continue;
        }
        formerlyOwned_.erase(key.upstream);
        if (existing == duties_.end()) {
            duties.emplace(key.upstream, makeDuty(key, now));
            continue;
        }
        Duty duty = existing->second;
        if (!duty.isPreviousKnown)
            inferPrevious(key, duty);
        // While the view is changing, the previous owner may not know this node yet.
        if (!duty.isReleased && now < duty.servesFrom)
            duty.servesFrom = std::min(
                now + settings_.takeoverDelay, duty.createdAt + MaxTakeoverDelayFactor * settings_.takeoverDelay);
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
        inferPrevious(key, duty);
    }
    return duty;
}

// A joining node has not observed the previous owner. It infers it by choosing among all nodes but itself.
void UpstreamOwnership::inferPrevious(const UpstreamKey& key, Duty& duty) const
{
    std::vector<NodeInfo> others = view_;
    std::erase_if(others, [&](const NodeInfo& node) { return node.id == self_; });
    const NodeInfo* previous = chooseOwner(others, key);
    duty.previous = previous ? std::optional(*previous) : std::nullopt;
}

const NodeInfo* UpstreamOwnership::ownerOf(const UpstreamKey& key) const
{
    return chooseOwner(view_, key);
}

// Prefers a node in the upstream's zone, then one in its region. A node in another region has a high latency to the
// upstream and cannot reach it at all when the regions are partitioned. If this node has never seen a node of the zone,
// the zone's region is unknown and any node is accepted.
const NodeInfo* UpstreamOwnership::chooseOwner(const std::vector<NodeInfo>& nodes, const UpstreamKey& key) const
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
    formerlyOwned_.clear();
    for (const UpstreamKey& key : upstreams_) {
        const auto duty = duties_.find(key.upstream);
        if (duty == duties_.end())
            continue;
        duty->second = {};
        duty->second.createdAt = now;
        duty->second.servesFrom = now + settings_.takeoverDelay;
        inferPrevious(key, duty->second);
    }
}

std::vector<Claim> UpstreamOwnership::tick(base::TimePoint now)
{
    std::map<NodeInfo, std::vector<std::string>> upstreamsByOwner;
    for (auto& [upstream, duty] : duties_) {
        if (duty.isReleased || now >= duty.servesFrom || !duty.previous)
            continue;
        if (duty.lastClaim != base::TimePoint() && now - duty.lastClaim < settings_.claimInterval)
            continue;
        duty.lastClaim = now;
        upstreamsByOwner[*duty.previous].push_back(upstream);
    }
    std::vector<Claim> claims;
    claims.reserve(upstreamsByOwner.size());
    for (auto& [node, upstreams] : upstreamsByOwner)
        claims.push_back({ node, std::move(upstreams) });
    return claims;
}

std::vector<std::string> UpstreamOwnership::onClaim(const NodeInfo& from, const std::vector<std::string>& upstreams,
    const std::function<bool(const std::string&)>& hasWorkInFlight, base::TimePoint)
{
    std::vector<std::string> released;
    for (const std::string& upstream : upstreams) {
        const auto owner = owners_.find(upstream);
        // Release only to the node that is the owner in this view: a claim alone does not prove ownership.
        const bool isClaimantOwner = owner != owners_.end() && owner->second.id == from.id;
        // An upstream that this node did not serve may still be served by another node, so do not release it.
        const auto former = formerlyOwned_.find(upstream);
        if (!isClaimantOwner || former == formerlyOwned_.end() || hasWorkInFlight(upstream))
            continue;
        if (former->second && *former->second != from.id)
            continue;
        former->second = from.id;
        released.push_back(upstream);
    }
    return released;
}

void UpstreamOwnership::onRelease(const NodeId& from, const std::vector<std::string>& upstreams)
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

std::uint32_t shareOfLimit(std::uint32_t limit, std::size_t visible, std::size_t listed)
{
    if (visible >= listed)
        return limit;
    const std::uint64_t product = static_cast<std::uint64_t>(limit) * visible;
    const bool isMajority = 2 * visible > listed;
    return static_cast<std::uint32_t>(isMajority ? (product + listed - 1) / listed : product / listed);
}

} // namespace flamingousher::fleet
