#pragma once

#include "fleet/types.h"

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
    base::Duration period { std::chrono::seconds(1) }; // between two probes by one node
    base::Duration ackTimeout { std::chrono::milliseconds(250) }; // until the probe is repeated, also indirectly
    base::Duration suspicion { std::chrono::seconds(5) }; // until a suspected node is declared dead
    base::Duration deadRetention { std::chrono::seconds(60) }; // until a dead node is forgotten
    std::size_t indirectProbes { 3 };
    std::size_t maxUpdatesPerMessage { 10 };

    // A gap between two ticks after which this process assumes that it was paused.
    base::Duration pauseBound { std::chrono::seconds(2) };

    bool operator==(const MembershipSettings&) const = default;
};

// Failure detection and dissemination between the nodes (after SWIM: Das, Gupta, Motivala, DSN 2002), with
// suspicion and refutation. The cost per node does not depend on the number of nodes. Performs no I/O.
class Membership {
public:
    struct Hooks {
        std::function<std::uint64_t()> random;

        // The set of alive nodes has changed.
        std::function<void()> onChange;
        std::function<void(const NodeInfo& from, const ConfigurationId&)> onConfiguration;
        std::function<void(const CrashEvidence&)> onCrash;
    };

    Membership(NodeInfo self, MembershipSettings, Hooks);

    // Endpoints that the platform lists as live; they are contacted until they answer.
    void setSeeds(const std::vector<std::string>& endpoints);

    std::vector<Outgoing> tick(base::TimePoint now);
    std::vector<Outgoing> receive(const Message&, base::TimePoint now);

    // Tells some nodes that this one leaves. No duty may be held any more.
    std::vector<Outgoing> leave(base::TimePoint now);

    void setConfiguration(const ConfigurationId& id) { configuration_ = id; }

    // Tells some random nodes at once what would otherwise wait for the next probe.
    std::vector<Outgoing> gossipNow(std::size_t fanOut);

    // Spreads evidence of a crash to all nodes.
    void reportCrash(const CrashEvidence&);

    // This node first, then the others that are alive or suspected.
    std::vector<NodeInfo> upNodes() const;

    // This node and those alive, without the suspected ones.
    std::size_t unsuspectedCount() const { return up_.size() + 1 - suspects_; }

    // Nodes that are alive or suspected, with this one.
    std::size_t upCount() const { return up_.size() + 1; }

    bool isUpAt(const std::string& endpoint) const { return upByEndpoint_.contains(endpoint); }

    // The last node known at the endpoint has left on purpose.
    bool hasLeft(const std::string& endpoint) const { return left_.contains(endpoint); }

    // Fraction of this node's last probes that were answered, 1 before enough of them.
    double probeSuccessRate() const;

    const std::map<NodeId, Member>& members() const { return members_; }
    const NodeInfo& self() const { return self_; }

    // Times that this node has learnt of its own death.
    std::uint64_t ownDeathReports() const { return ownDeaths_; }

    // True from the wake-up after a pause until another node has answered, or alone if there is none.
    bool isViewStale() const { return isStale_; }
    std::uint64_t pauseCount() const { return pauses_; }

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

    // Updates still to be passed on, by how often each has been sent.
    using Rumours = std::multimap<std::uint32_t, MemberUpdate>;

    struct CrashRumour {
        CrashEvidence evidence;
        std::uint32_t sends { 0 };
    };

    void noticePause(base::TimePoint now);
    void startProbe(base::TimePoint now, std::vector<Outgoing>&);
    void checkProbe(base::TimePoint now, std::vector<Outgoing>&);
    void contactSeeds(std::vector<Outgoing>&);
    void tellSuspects(std::vector<Outgoing>&);
    void expireSuspects(base::TimePoint now);
    void forgetDead(base::TimePoint now);
    void applyUpdate(const MemberUpdate&, base::TimePoint now);
    void applyGossip(const NodeInfo& from, const Gossip&, base::TimePoint now);
    void hearFrom(const NodeInfo&, base::TimePoint now, std::vector<Outgoing>&);
    void refute(const MemberUpdate&);
    void spread(const MemberUpdate&);
    void takeRumours(Gossip&);
    void addRandomEnded(Gossip&);
    Gossip makeGossip();
    std::uint32_t sendsPerRumour() const;
    Ping makePing(std::uint64_t sequence, const NodeId& target);
    std::vector<NodeId> randomUp(std::size_t count, const NodeId& except);
    void setState(Member&, MemberState, std::uint32_t refutation, base::TimePoint now);
    void addUp(const NodeId&);
    void removeUp(const NodeId&);
    void noteProbe(bool wasAnswered);

    NodeInfo self_;
    MembershipSettings settings_;
    Hooks hooks_;
    std::uint32_t refutation_ { 0 };
    std::map<NodeId, Member> members_; // without this node
    std::vector<NodeId> up_; // alive or suspected
    std::unordered_map<std::string, NodeId> upByEndpoint_;
    std::set<std::string> left_; // endpoints of nodes that left on purpose
    std::size_t suspects_ { 0 };
    std::deque<bool> probeResults_; // of the last probes
    std::vector<NodeId> probeOrder_;
    std::optional<Probe> probe_;
    std::map<std::uint64_t, Relay> relays_;
    Rumours rumours_;
    std::map<NodeId, Rumours::iterator> rumourOf_; // by the node that it is about
    std::deque<CrashRumour> crashRumours_;
    std::set<CrashEvidence> knownCrashes_;
    std::set<std::string> seeds_;
    ConfigurationId configuration_;
    base::TimePoint lastTick_;
    base::TimePoint nextProbe_;
    base::TimePoint nextSeedContact_;
    base::TimePoint nextNotice_;
    std::uint64_t lastSequence_ { 0 };
    std::uint64_t pauses_ { 0 };
    std::uint64_t ownDeaths_ { 0 };
    bool isStale_ { false };
    bool isLeaving_ { false };
};

} // namespace flamingousher::fleet
