#pragma once

#include "fleet/types.h"

#include <set>
#include <string>
#include <vector>

namespace flamingousher::delegation {

// Which VMs run the requests of callers of other VMs, as seen by one VM.
//
// Load pattern: hundreds of VMs, most of them with a small share of a processor. A VM that receives few requests meets
// each upstream once in several seconds: its connections are cold, it cannot know which upstreams are slow, and its
// part of the retry budget is below one attempt. Sending to and reading from 90 shards also takes it most of a short
// latency goal. Such a VM delegates the whole request to one of a few larger VMs. VMs of similar size do not.
//
// Load pattern: some VMs lose their links to the upstreams for seconds, while callers and other VMs still reach them.
// Every VM therefore has delegates for the requests whose upstreams it does not reach.
struct DelegationPlan {
    // VMs to which this VM delegates, preferred ones first.
    std::vector<fleet::NodeInfo> delegates;

    // This VM delegates all requests over many shards, not only those whose upstreams it does not reach.
    bool isDelegatingFanouts { false };

    // VMs that run requests over many shards as a rule, including this one if it does.
    std::vector<fleet::NodeInfo> executors;

    bool operator==(const DelegationPlan&) const = default;
};

// vms: all VMs that are up, including self. upstreamZones: availability zones with upstreams of sharded services;
// delegates there are preferred, since only the merged response then crosses zones. unlinked: VMs that reach almost no
// upstream; they are no delegates while there are others.
DelegationPlan makeDelegationPlan(const std::vector<fleet::NodeInfo>& vms, const fleet::NodeInfo& self,
    const std::set<std::string>& upstreamZones, const std::vector<fleet::NodeId>& unlinked = {});

} // namespace flamingousher::delegation
