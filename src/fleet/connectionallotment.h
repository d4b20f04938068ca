#pragma once

#include "fleet/types.h"

#include <string_view>
#include <vector>

namespace flamingousher::fleet {

// How many of an upstream's connections a VM may keep open when the VMs of a fleet share them. VMs of the upstream's
// zone come first, the others in an order that differs from upstream to upstream; connections are dealt out in
// rounds. Load pattern: more VMs than an upstream takes connections. Every VM then reaches the replicas of its own
// zone and a part of the others. VMs with different views may together exceed the limit for as long as they differ.
std::size_t allotConnections(const std::vector<NodeInfo>& vms, const NodeInfo& self, std::string_view upstream,
    std::string_view upstreamZone, std::size_t limit);

} // namespace flamingousher::fleet
