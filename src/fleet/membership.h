#pragma once

#include "fleet/crashgossip.h"
#include "fleet/types.h"
#include "fleet/viewdigest.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace flamingousher::fleet {

struct MembershipSettings {
    base::Duration probePeriod { std::chrono::seconds(1) }; // interval between two probes by a node
    base::Duration ackTimeout { std::chrono::milliseconds(
        250) }; // until the probe is repeated, directly and indirectly
    base::Duration suspicionTimeout { std::chrono::seconds(5) }; // until a suspected node is declared dead
    base::Duration deadRetention { std::chrono::seconds(60) }; // until a dead node is forgotten
    std::size_t indirectProbes { 3 };
    std::size_t maxUpdatesPerMessage { 10 };

    // Min. time between two ticks that counts as a pause of this process.
    base::Duration pauseThreshold { std::chrono::seconds(2) };

    bool operator==(const MembershipSettings&) const = default;
};

// Failure detection and dissemination by the SWIM protocol (Das, Gupta, Motivala, DSN 2002) with suspicion and
// refutation. Nodes that exchange a message also compare digests of their views, and send each other the members on
// which they differ. The cost per node does not depend on the number of nodes. Performs no I/O.
class Membership {
public:
    struct Hooks {
        std::function<std::uint64_t()> random;

        // The state of a node has changed.
        std::function<void()> onChange;
        std::function<void(const NodeInfo& from, const ConfigurationId&)> onConfiguration;

        // A record of a request that crashes upstreams is new, or has changed.
        std::function<void(const quarantine::CrashRecord&, base::TimePoint changedAt)> onCrash;
    };

    Membership(NodeInfo self, MembershipSettings, Hooks);

    // Sets the endpoints that the platform lists as live. They are contacted until they answer.
    void setSeeds(const std::vector<std::string>& endpoints);

    std::vector<Outgoing> tick(base::TimePoint now);
    std::vector<Outgoing> receive(const Message&, base::TimePoint now);

    // Notifies some nodes that this one leaves. All upstreams must have been handed over before.
    std::vector<Outgoing> leave(base::TimePoint now);

    void setConfiguration(const ConfigurationId& id) { configuration_ = id; }

    // Sends the current gossip to random nodes immediately instead of with the next probe.
    std::vector<Outgoing> gossipNow(std::size_t fanOut);

    // Disseminates a record of a request that crashes upstreams to all nodes.
    void reportCrash(const quarantine::CrashRecord&, base::TimePoint now);

    // Returns this node first, then the other nodes that are alive or suspected.
    std::vector<NodeInfo> upNodes() const;

    // Number of alive nodes, including this one, excluding suspected nodes.
    std::size_t unsuspectedCount() const { return up_.size() + 1 - suspects_; }

    // Number of alive or suspected nodes, including this one.
    std::size_t upCount() const { return up_.size() + 1; }

    // States to all nodes that this one reaches almost no upstream, or does again.
    void setUnlinked(bool);

    // Nodes that are up and have stated so, and the number of times that one changed its statement.
    std::vector<NodeId> unlinkedNodes() const;
    std::uint64_t linkChangeCount() const { return linkChangeCount_; }

    // Number of times that a node came up or went down. Suspicions do not count.
    std::uint64_t upChangeCount() const { return upChangeCount_; }

    bool isUpAt(const std::string& endpoint) const { return upByEndpoint_.contains(endpoint); }

    // Returns true if the last known node at the endpoint has left as planned.
    bool hasLeft(const std::string& endpoint) const { return left_.contains(endpoint); }

    // Fraction of this node's recent probes that were answered; 1 until there are enough probes.
    double probeSuccessRate() const;

    const std::map<NodeId, Member>& members() const { return members_; }
    const NodeInfo& self() const { return self_; }

    // Number of updates received that declared this node dead.
    std::uint64_t ownDeathReports() const { return ownDeathReports_; }

    // Returns true after a pause of this process until a message from another node arrives. Always false without
    // others.
    bool isViewStale() const { return isViewStale_; }
    std::uint64_t pauseCount() const { return pauseCount_; }

private:
    struct Probe {
        std::uint64_t sequence { 0 };
        NodeId target;
        base::TimePoint startedAt;
        base::TimePoint sentAt; // last
    };

    struct Relay {
        std::uint64_t originalSequence { 0 };
        std::string requester;
        base::TimePoint since;
    };

    // Updates still to be disseminated, by the number of times each has been sent.
    using PendingUpdates = std::multimap<std::uint32_t, MemberUpdate>;

    void detectPause(base::TimePoint now);
    void startProbe(base::TimePoint now, std::vector<Outgoing>&);
    void checkProbe(base::TimePoint now, std::vector<Outgoing>&);
    void contactSeeds(std::vector<Outgoing>&);
    void pingSuspects(std::vector<Outgoing>&);
    void expireSuspects(base::TimePoint now);
    void forgetDead(base::TimePoint now);
    void applyUpdate(const MemberUpdate&, base::TimePoint now);
    bool isComparisonDue(const Gossip& received, base::TimePoint now) const;
    Gossip makeReply(const Gossip& received, base::TimePoint now);
    void addDifferingMembers(const std::vector<std::uint32_t>& viewBuckets, std::size_t maxMembers, Gossip&);
    void applyCrash(const quarantine::CrashRecord&, base::TimePoint changedAt, base::TimePoint now);
    void applyGossip(const NodeInfo& from, const Gossip&, base::TimePoint now);
    void onMessageFrom(const NodeInfo&, base::TimePoint now, std::vector<Outgoing>&);
    void refute(const MemberUpdate&);
    MemberUpdate ownUpdate() const;
    void toggleUnlinked(const NodeId&);
    void queueUpdate(const MemberUpdate&);
    void addPendingUpdates(std::size_t maxMembers, Gossip&);
    void fill(std::size_t maxMembers, Gossip&);
    Gossip makeGossip();
    std::uint32_t logNodes() const; // binary logarithm of the number of nodes, rounded up
    Ping makePing(std::uint64_t sequence, const NodeId& target);
    std::vector<NodeId> pickRandomUp(std::size_t count, const NodeId& except);
    void setState(Member&, MemberState, std::uint32_t refutation, base::TimePoint now);
    void addUp(const NodeId&);
    void removeUp(const NodeId&);
    void recordProbe(bool wasAnswered);

    NodeInfo self_;
    MembershipSettings settings_;
    Hooks hooks_;
    std::uint32_t refutation_ { 0 };
    std::map<NodeId, Member> members_; // excluding this node
    std::vector<NodeId> up_; // alive or suspected
    ViewDigest viewDigest_; // of up_ and this node
    std::unordered_map<std::string, NodeId> upByEndpoint_;
    std::set<std::string> left_; // endpoints of nodes that left as planned
    std::uint64_t upChangeCount_ { 0 };
    std::uint64_t linkChangeCount_ { 0 };
    bool isUnlinked_ { false }; // this node
    std::size_t suspects_ { 0 };
    std::deque<bool> probeResults_; // newest last
    std::vector<NodeId> probeOrder_;
    std::optional<Probe> probe_;
    std::map<std::uint64_t, Relay> relays_;
    PendingUpdates pendingUpdates_;
    std::map<NodeId, PendingUpdates::iterator> pendingUpdateOf_; // by the node of the update
    CrashGossip crashes_;
    base::TimePoint now_; // of the last call that names the time
    std::set<std::string> seeds_;
    ConfigurationId configuration_;
    base::TimePoint lastTick_;
    base::TimePoint nextProbe_;
    base::TimePoint nextSeedContact_;
    base::TimePoint nextSuspectPing_;
    base::TimePoint nextComparison_;
    std::uint64_t lastSequence_ { 0 };
    std::uint64_t pauseCount_ { 0 };
    std::uint64_t ownDeathReports_ { 0 };
    bool isViewStale_ { false };
    bool isLeaving_ { false };
};

} // namespace flamingousher::fleet
