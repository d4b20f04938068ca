#pragma once

#include "fleet/types.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace flamingousher::fleet {

// What a node must know of an upstream to decide who is its home.
struct UpstreamKey {
    std::string upstream; // name
    std::string zone;

    auto operator<=>(const UpstreamKey&) const = default;
};

struct OwnershipSettings {
    // Time for which a node that becomes the home without a release from the previous one waits. It must be
    // longer than views take to spread plus the longest sub-request.
    base::Duration takeoverDelay { std::chrono::seconds(3) };

    // Interval between two claims of the same upstream.
    base::Duration claimInterval { std::chrono::milliseconds(300) };

    bool operator==(const OwnershipSettings&) const = default;
};

// Asks the previous home to hand an upstream over.
struct Claim {
    NodeInfo to;
    std::vector<std::string> upstreams;

    bool operator==(const Claim&) const = default;
};

// Decides of which upstreams this node is the home. One node is the home of each upstream in any one view;
// the rendezvous hash of the nodes in the upstream's zone, or else its region, chooses it. Performs no I/O.
class UpstreamOwnership {
public:
    UpstreamOwnership(NodeId self, OwnershipSettings);

    // Replaces the upstreams, or the view of the fleet. Upstreams lost are no longer served at once.
    void setUpstreams(const std::vector<UpstreamKey>&, base::TimePoint now);
    // listed: nodes that should be there, by the platform's list.
    void setView(const std::vector<NodeInfo>& alive, std::size_t listed, base::TimePoint now);

    // Gives all duties up, to the homes that the fleet chooses without this node.
    void beginLeave(base::TimePoint now);

    // What this node serves may have been taken over meanwhile: claims everything anew.
    void suspend(base::TimePoint now);

    // The claims to send now.
    std::vector<Claim> tick(base::TimePoint now);

    // Another node claims upstreams. Returns those that this node does not serve any more; those that it still
    // serves, because its view differs or work is in flight, are answered to a later claim.
    std::vector<std::string> onClaim(const NodeInfo& from, const std::vector<std::string>& upstreams,
        const std::function<bool(const std::string&)>& hasWorkInFlight, base::TimePoint now);

    // The previous home has released upstreams.
    void onReleased(const NodeId& from, const std::vector<std::string>& upstreams);

    // True when this node may start work on the upstream.
    bool isServing(const std::string& upstream, base::TimePoint now) const;

    // True when this node is the home, although it may still wait.
    bool isOwner(const std::string& upstream) const;

    // The home in the present view, null when there is none.
    const NodeInfo* ownerOf(const UpstreamKey&) const;

    // The home of each upstream in the present view.
    const std::map<std::string, NodeInfo>& owners() const { return owners_; }

    // The upstreams on which this node may start work.
    std::set<std::string> servingUpstreams(base::TimePoint now) const;

    std::size_t ownedCount() const { return duties_.size(); }

private:
    struct Duty {
        std::optional<NodeInfo> previous;
        bool isPreviousKnown { false }; // it was the home in this node's own earlier view
        bool isReleased { false };
        base::TimePoint createdAt;
        base::TimePoint servesFrom;
        base::TimePoint lastClaim;
    };

    void recompute(base::TimePoint now);
    Duty makeDuty(const UpstreamKey&, base::TimePoint now) const;
    void guessPrevious(const UpstreamKey&, Duty&) const;
    const NodeInfo* chooseHome(const std::vector<NodeInfo>&, const UpstreamKey&) const;

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
    std::map<std::string, std::optional<NodeId>> surrendered_;
};

// The part of an upstream's limit that one side of a divided fleet may use: seen nodes of listed ones. A
// majority rounds up and a minority rounds down, so that the parts of all sides never exceed the limit.
std::uint32_t shareOfLimit(std::uint32_t limit, std::size_t seen, std::size_t listed);

} // namespace flamingousher::fleet
