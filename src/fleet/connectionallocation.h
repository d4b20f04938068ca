#pragma once

#include "fleet/types.h"

#include <string_view>
#include <vector>

namespace flamingousher::fleet {

// The place of one VM among those that share an upstream's connections, which are dealt out in rounds.
class ConnectionAllocation {
public:
    // VMs of the upstream's zone come first, the others in an order that differs from upstream to upstream.
    // Load pattern: more VMs than an upstream takes connections. Every VM then reaches the replicas of its own zone and
    // a part of the others. VMs with different views may together exceed a limit for as long as they differ.
    ConnectionAllocation(const std::vector<NodeInfo>& vms, const NodeInfo& self, std::string_view upstream,
        std::string_view upstreamZone);

    // How many of the given connections fall to the VM.
    std::size_t shareOf(std::size_t connections) const;

private:
    std::size_t before_; // VMs that are dealt to first
    std::size_t vms_;
};

} // namespace flamingousher::fleet
