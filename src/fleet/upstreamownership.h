#pragma once

#include "fleet/types.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace flamingousher::fleet {

// The properties of an upstream that determine its owner.
struct UpstreamKey {
    std::string upstream; // name
    std::string zone;

    auto operator<=>(const UpstreamKey&) const = default;
};

struct OwnershipSettings {
    // Delay before a new owner starts work without a release from the previous owner. It must exceed the time in
    // which views spread plus the maximum duration of a sub-request.
    base::Duration takeoverDelay { std::chrono::seconds(3) };

    // Interval between two claims of the same upstream.
    base::Duration claimInterval { std::chrono::milliseconds(300) };

    bool operator==(const OwnershipSettings&) const = default;
};

// Asks the previous owner to release upstreams.
struct Claim {
    NodeInfo to;
    std::vector<std::string> upstreams;

    bool operator==(const Claim&) const = default;
};

// Determines which upstreams this node owns. In any one view each upstream has one owner, chosen by rendezvous
// hashing among the nodes in the upstream's zone, or else in its region. Performs no I/O.
class UpstreamOwnership {
public:
    UpstreamOwnership(NodeId self, OwnershipSettings);

    // Replaces the upstreams, or the view of the fleet. Upstreams lost are no longer served at once.
    void setUpstreams(const std::vector<UpstreamKey>&, base::TimePoint now);
    // listed: number of nodes in the platform's list.
    void setView(const std::vector<NodeInfo>& alive, std::size_t listed, base::TimePoint now);

    // Gives up all upstreams. The owners are then chosen among the other nodes.
    void beginLeave(base::TimePoint now);

    // Stops serving and claims all owned upstreams again, as other nodes may have taken them over.
    void suspend(base::TimePoint now);

    // The claims to send now.
    std::vector<Claim> tick(base::TimePoint now);

    // Handles a claim by another node. Returns the upstreams released to it. Upstreams that this node still serves,
    // because its view differs or work is in flight, are released on a later claim.
    std::vector<std::string> onClaim(const NodeInfo& from, const std::vector<std::string>& upstreams,
        const std::function<bool(const std::string&)>& hasWorkInFlight, base::TimePoint now);

    // Handles a release by the previous owner.
    void onRelease(const NodeId& from, const std::vector<std::string>& upstreams);

    // True when this node may start work on the upstream.
    bool isServing(const std::string& upstream, base::TimePoint now) const;

    // Returns true if this node is the owner, even during the takeover delay.
    bool isOwner(const std::string& upstream) const;

    // Returns the owner in the current view, or null if there is none.
    const NodeInfo* ownerOf(const UpstreamKey&) const;

    // Returns the owner of each upstream in the current view.
    const std::map<std::string, NodeInfo>& owners() const { return owners_; }

    // The upstreams on which this node may start work.
    std::set<std::string> servingUpstreams(base::TimePoint now) const;

    std::size_t ownedCount() const { return duties_.size(); }

private:
    struct Duty {
        std::optional<NodeInfo> previous;
        bool isPreviousKnown { false }; // taken from this node's earlier view, not inferred
        bool isReleased { false };
        base::TimePoint createdAt;
        base::TimePoint servesFrom;
        base::TimePoint lastClaim;
    };

    void recompute(base::TimePoint now);
    Duty makeDuty(const UpstreamKey&, base::TimePoint now) const;
    void inferPrevious(const UpstreamKey&, Duty&) const;
    const NodeInfo* chooseOwner(const std::vector<NodeInfo>&, const UpstreamKey&) const;

    NodeId self_;
    OwnershipSettings settings_;
    std::vector<NodeInfo> view_;
    std::size_t listed_ { 0 };
    bool isLeaving_ { false };
    std::map<std::string, std::string> regionOfZone_; // also of zones whose nodes are all lost
    std::vector<UpstreamKey> upstreams_;
    std::map<std::string, NodeInfo> owners_;
    std::map<std::string, Duty> duties_;

    // Upstreams that this node served and then lost, with the node to which it has released them.
    std::map<std::string, std::optional<NodeId>> formerlyOwned_;
};

// Returns the share of an upstream's limit that one side of a partitioned fleet may use: visible / listed. A majority
// rounds up and a minority rounds down, so that the shares of all sides never exceed the limit in total.
std::uint32_t shareOfLimit(std::uint32_t limit, std::size_t visible, std::size_t listed);

} // namespace flamingousher::fleet
