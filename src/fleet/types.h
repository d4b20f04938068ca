#pragma once

#include "base/types.h"
#include "quarantine/types.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace flamingousher::fleet {

// Identifies a process incarnation by its endpoint for peers and a unique boot number.
struct NodeId {
    std::string endpoint; // "IP:port"
    std::uint64_t boot { 0 };

    auto operator<=>(const NodeId&) const = default;
};

std::string toString(const NodeId&);

enum class MemberState : std::uint8_t {
    Alive,
    Suspect,
    Left, // shut down as planned, after a handover of its upstreams
    Dead,
};

std::string_view toString(MemberState);

struct NodeInfo {
    NodeId id;
    std::string zone;
    std::string region;
    std::string operators; // endpoint of the operators' port
    std::uint32_t trafficThreads { 1 };
    std::string fanouts; // endpoint that accepts requests delegated by other VMs; empty when there is none
    std::uint32_t processorMilli { 0 }; // processor share in thousandths of a core; 0 when unknown

    auto operator<=>(const NodeInfo&) const = default;
};

// Gossiped state of a node. The update with the higher refutation takes precedence; if they are equal, the worse
// state does.
struct MemberUpdate {
    NodeInfo node;
    MemberState state { MemberState::Alive };
    std::uint32_t refutation { 0 };
    bool isUnlinked { false }; // reaches almost no upstream; stated by the node itself with each refutation

    auto operator<=>(const MemberUpdate&) const = default;
};

// Identifies the newest configuration that a node holds. Sent with every gossip message.
struct ConfigurationId {
    std::uint64_t revision { 0 };
    std::uint64_t digest { 0 };
    std::uint64_t era { 0 }; // a later era takes precedence over any revision; always 0 without a store

    bool operator==(const ConfigurationId&) const = default;
    auto operator<=>(const ConfigurationId& other) const
    {
        return std::tie(era, revision, digest) <=> std::tie(other.era, other.revision, other.digest);
    }
};

// What the sender knows of a request that may crash upstreams.
struct CrashReport {
    quarantine::CrashRecord record;
    base::Duration age { 0 }; // since the last change of the record

    bool operator==(const CrashReport&) const = default;
};

struct Gossip {
    std::vector<MemberUpdate> members;
    std::vector<CrashReport> crashes;
    ConfigurationId configuration;
    std::uint64_t viewDigest { 0 }; // of the nodes that the sender believes up, including itself; 0 when unknown

    // Digests of the sender's view by bucket, to be answered with the members of the buckets that differ. Empty unless
    // the sender has seen that its view differs.
    std::vector<std::uint32_t> viewBuckets;

    std::uint64_t crashDigest { 0 }; // of all records that the sender has; 0 when there are none

    bool operator==(const Gossip&) const = default;
};

struct Ping {
    std::uint64_t sequence { 0 };
    NodeInfo from;
    NodeId target;
    Gossip gossip;

    bool operator==(const Ping&) const = default;
};

struct Ack {
    std::uint64_t sequence { 0 };
    NodeInfo from;
    Gossip gossip;

    bool operator==(const Ack&) const = default;
};

// Asks the receiver to ping the target on behalf of the sender.
struct PingRequest {
    std::uint64_t sequence { 0 };
    NodeInfo from;
    NodeId target;

    bool operator==(const PingRequest&) const = default;
};

using Message = std::variant<Ping, Ack, PingRequest>;

// A message to send to the endpoint by datagram.
struct Outgoing {
    std::string endpoint;
    Message message;

    bool operator==(const Outgoing&) const = default;
};

struct Member {
    NodeInfo node;
    MemberState state { MemberState::Alive };
    std::uint32_t refutation { 0 };
    base::TimePoint stateSince;
    base::TimePoint lastMessageAt; // directly from the node
    bool isUnlinked { false };

    bool operator==(const Member&) const = default;
};

} // namespace flamingousher::fleet
