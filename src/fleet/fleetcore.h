#pragma once

#include "fleet/configurationstore.h"
#include "fleet/membership.h"
#include "fleet/upstreamownership.h"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace flamingousher::fleet {

struct ClaimMessage {
    NodeInfo from;
    std::vector<std::string> upstreams;

    bool operator==(const ClaimMessage&) const = default;
};

struct ReleaseMessage {
    NodeInfo from;
    std::vector<std::string> upstreams;

    bool operator==(const ReleaseMessage&) const = default;
};

// Requests the delta from the sender's configuration to the receiver's.
struct TablesRequest {
    NodeInfo from;
    ConfigurationId current;

    bool operator==(const TablesRequest&) const = default;
};

struct TablesReply {
    NodeInfo from;
    TablesDelta delta;

    bool operator==(const TablesReply&) const = default;
};

using FleetMessage = std::variant<Ping, Ack, PingRequest, ClaimMessage, ReleaseMessage, TablesRequest, TablesReply>;

struct FleetOutgoing {
    std::string endpoint;
    FleetMessage message;

    bool operator==(const FleetOutgoing&) const = default;
};

// State and decisions of one node about the fleet: members, configuration, ownership of upstreams. Performs no I/O.
class FleetCore {
public:
    struct Hooks {
        std::function<std::uint64_t()> random;
        std::function<void()> onConfigurationChange; // a different configuration has been applied
        std::function<void()> onOwnershipChange; // owners or shares may have changed
        std::function<void(const quarantine::CrashRecord&, base::TimePoint changedAt)> onCrash;
        std::function<bool(const std::string& upstream)> hasWorkInFlight;
    };

    FleetCore(const NodeInfo& self, MembershipSettings, OwnershipSettings, Hooks, base::TimePoint now);

    std::vector<FleetOutgoing> tick(base::TimePoint now);
    std::vector<FleetOutgoing> receive(const FleetMessage&, base::TimePoint now);

    // Handle a response of the configuration service, with or without a new revision.
    std::vector<FleetOutgoing> onPublished(
        std::uint64_t revision, const std::string& routes, const std::string& pools, base::TimePoint now);
    void onServiceAnswered() { hasServiceAnswered_ = true; }

    // Sets the platform's list of live VMs, by their endpoints for peers.
    void setListedEndpoints(const std::vector<std::string>& endpoints, base::TimePoint now);

    // Gives up all owned upstreams and notifies other nodes.
    std::vector<FleetOutgoing> leave(base::TimePoint now);

    // Reports a crash to the fleet. News are sent immediately, as the request may be retried on another node.
    std::vector<FleetOutgoing> reportCrash(const quarantine::CrashRecord&, base::TimePoint now);

    // Returns true if this node is one of the few in its zone that watch the configuration service.
    bool isWatcher() const { return isWatcher_; }

    // Returns true if this node holds the newest configuration, confirmed by the service or by enough peers, and its
    // view is not stale after a pause.
    bool isReadyToServe(base::TimePoint now) const;

    // Returns the share of an upstream's limit that this node may use as its owner.
    std::uint32_t shareOf(std::uint32_t limit) const;

    // Number of visible and of listed nodes that determine the share in force.
    std::size_t visibleNodes() const { return share_.visible; }
    std::size_t listedNodes() const { return share_.listed; }

    const Membership& membership() const { return membership_; }
    const ConfigurationStore& configuration() const { return configuration_; }
    const UpstreamOwnership& ownership() const { return ownership_; }

private:
    void onConfigurationReported(const NodeInfo& from, const ConfigurationId&);
    std::vector<FleetOutgoing> onConfigurationApplied();
    void refreshView(base::TimePoint now);
    std::size_t countListed() const;
    bool isChosenWatcher(std::vector<NodeInfo> nodes) const;
    void handlePauseOrDeath(base::TimePoint now);
    void refreshShare(base::TimePoint now);
    void requestNewestConfiguration(base::TimePoint now);
    static std::vector<FleetOutgoing> toFleetOutgoing(std::vector<Outgoing>&&);
    static void append(std::vector<FleetOutgoing>& to, std::vector<FleetOutgoing>&& from);

    Hooks hooks_;
    Membership membership_;
    ConfigurationStore configuration_;
    UpstreamOwnership ownership_;
    std::set<std::string> listed_;
    // Fraction of the listed nodes that are visible to this node.
    struct VisibleFraction {
        std::size_t visible { 0 };
        std::size_t listed { 1 };
    };

    static bool isLess(const VisibleFraction&, const VisibleFraction&);
    VisibleFraction visibleFraction() const;

    VisibleFraction share_; // in force
    std::optional<VisibleFraction> pendingShare_; // min. fraction since it exceeded the share
    base::TimePoint pendingShareSince_;
    std::uint64_t handledPauses_ { 0 };
    std::uint64_t handledDeaths_ { 0 };
    std::set<std::string> confirmingPeers_; // endpoints that have reported a configuration, up to MinConfirmingPeers
    std::vector<std::string> newestHolders_; // endpoints that have reported the newest revision, up to MaxHolders
    std::uint64_t newestKnownRevision_ { 0 };
    std::vector<FleetOutgoing> pendingRequests_;
    base::TimePoint requestedAt_;
    base::TimePoint startedAt_;
    base::TimePoint lastTick_;
    std::size_t listedCount_ { 1 };
    bool isWatcher_ { false };
    bool hasNewCrash_ { false };
    bool isViewChanged_ { true };
    bool hasServiceAnswered_ { false };
    bool isLeaving_ { false };
};

} // namespace flamingousher::fleet
