#pragma once

#include "fleet/types.h"

#include <string_view>
#include <vector>

namespace flamingousher::fleet {

// Computes a VM's share of an upstream's connections, which are distributed among the VMs round-robin.
class ConnectionAllotment {
public:
    // VMs in the upstream's zone come first, then the others in an order that depends on the upstream.
    // Load pattern: more VMs than connections to an upstream. Every VM then connects to the replicas of its own zone
    // and to some of the others. VMs may exceed the limit in total while their views differ.
    ConnectionAllotment(const std::vector<NodeInfo>& vms, const NodeInfo& self, std::string_view upstream,
        std::string_view upstreamZone);

    // Returns the number of connections allocated to the VM out of the given total.
    std::size_t shareOf(std::size_t connections) const;

    // Returns the VM's place in the order, from 0.
    std::size_t position() const { return precedingVms_; }
    std::size_t vmCount() const { return vmCount_; }

private:
    std::size_t precedingVms_; // VMs earlier in the order
    std::size_t vmCount_;
};

} // namespace flamingousher::fleet
