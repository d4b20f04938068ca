#pragma once

#include "fleet/types.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace flamingousher::traffic {

// The owners of all upstreams, as known to the control thread. Immutable after publication.
struct OwnershipView {
    std::map<std::string, fleet::NodeInfo> owners; // by upstream
    std::set<std::string> serving; // upstreams on which this node may start work
    std::size_t visibleNodes { 0 }; // visibleNodes / listedNodes is the share of each limit that an owner may use
    std::size_t listedNodes { 1 };
    std::vector<fleet::NodeInfo> nodes; // alive or suspected
    std::set<std::string> leavingAddresses; // of VMs that the platform lists as leaving

    bool operator==(const OwnershipView&) const = default;
};

} // namespace flamingousher::traffic
