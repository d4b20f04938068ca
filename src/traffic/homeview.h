#pragma once

#include "fleet/types.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace flamingousher::traffic {

// Who is the home of which upstream, as the control thread sees it. Immutable once handed out.
struct HomeView {
    std::map<std::string, fleet::NodeInfo> homes; // by upstream
    std::set<std::string> serving; // upstreams on which this node may start work
    std::size_t seen { 0 }; // nodes seen of nodes listed: the part of each limit that a home may use
    std::size_t listed { 1 };
    std::vector<fleet::NodeInfo> nodes; // that are alive
    std::set<std::string> leavingAddresses; // of VMs that the platform lists as leaving

    bool operator==(const HomeView&) const = default;
};

} // namespace flamingousher::traffic
