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

// Asks for what leads from the sender's configuration to the receiver's.
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

// Everything that one node knows and decides about the fleet: members, configuration, homes. Performs no I/O.
class FleetCore {
public:
    struct Hooks {
        std::function<std::uint64_t()> random;
        std::function<void()> onConfigurationChange; // another configuration is in force
        std::function<void()> onOwnershipChange; // the homes or their shares may have changed
        std::function<void(const CrashEvidence&)> onCrash;
        std::function<bool(const std::string& upstream)> hasWorkInFlight;
    };

    FleetCore(const NodeInfo& self, MembershipSettings, OwnershipSettings, Hooks, base::TimePoint now);

    std::vector<FleetOutgoing> tick(base::TimePoint now);
    std::vector<FleetOutgoing> receive(const FleetMessage&, base::TimePoint now);

    // The configuration service has answered, with an edit or without a new one.
    std::vector<FleetOutgoing> onPublished(
        std::uint64_t revision, const std::string& routes, const std::string& pools, base::TimePoint now);
    void onServiceAnswered() { didServiceAnswer_ = true; }

    // The platform's list of live VMs, by the endpoint for peers.
    void setListedEndpoints(const std::vector<std::string>& endpoints, base::TimePoint now);

    // Gives up all duties and tells the others.
    std::vector<FleetOutgoing> leave(base::TimePoint now);

    // Tells the fleet of a crash. New evidence is passed on at once: the request may come again by another node.
    std::vector<FleetOutgoing> reportCrash(const CrashEvidence&);

    // True when this node is one of the few in its zone that watch the configuration service.
    bool isWatcher() const { return isWatcher_; }

    // True once this node holds the newest configuration that the service or enough peers can show, and its view
    // is not stale after a pause.
    bool isReadyToServe(base::TimePoint now) const;

    // The part of an upstream's limit that this node may use as its home now.
    std::uint32_t shareOf(std::uint32_t limit) const;

    // Nodes seen of nodes listed, as it counts for shares.
    std::size_t visibleNodes() const { return share_.seen; }
    std::size_t listedNodes() const { return share_.listed; }

    const Membership& membership() const { return membership_; }
    const ConfigurationStore& configuration() const { return configuration_; }
    const UpstreamOwnership& ownership() const { return ownership_; }

private:
    void onConfigurationHeard(const NodeInfo& from, const ConfigurationId&);
    std::vector<FleetOutgoing> announce();
    void refreshView(base::TimePoint now);
    std::size_t countListed() const;
    bool chooseWatcher(std::vector<NodeInfo> nodes) const;
    void checkOwnStanding(base::TimePoint now);
    void refreshShare(base::TimePoint now);
    void requestNewest(base::TimePoint now);
    static std::vector<FleetOutgoing> widen(std::vector<Outgoing>&&);
    static void append(std::vector<FleetOutgoing>& to, std::vector<FleetOutgoing>&& from);

    Hooks hooks_;
    Membership membership_;
    ConfigurationStore configuration_;
    UpstreamOwnership ownership_;
    std::set<std::string> listed_;
    // A part of the fleet: nodes seen of nodes listed.
    struct Part {
        std::size_t seen { 0 };
        std::size_t listed { 1 };
    };

    static bool isLess(const Part&, const Part&);
    Part seenPart() const;

    Part share_; // in force
    std::optional<Part> growth_; // the smallest part seen since it exceeded the share
    base::TimePoint growthSince_;
    std::uint64_t handledPauses_ { 0 };
    std::uint64_t handledDeaths_ { 0 };
    std::set<std::string> heardFrom_; // endpoints whose configuration is known, up to a few
    std::vector<std::string> holders_; // endpoints that have shown the newest revision, up to a few
    std::uint64_t newestHeard_ { 0 };
    std::vector<FleetOutgoing> pendingRequests_;
    base::TimePoint requestedAt_;
    base::TimePoint startedAt_;
    base::TimePoint lastTick_;
    std::size_t listedCount_ { 1 };
    bool isWatcher_ { false };
    bool isCrashNew_ { false };
    bool isViewChanged_ { true };
    bool didServiceAnswer_ { false };
    bool isLeaving_ { false };
};

} // namespace flamingousher::fleet
