#pragma once

#include "admission/gate.h"
#include "query/extraattemptpolicy.h"
#include "query/snapshotcatalog.h"
#include "tables/types.h"

#include <array>
#include <vector>

namespace flamingousher::traffic {

// The configuration and runtime state of one pool on one traffic thread.
struct PoolState {
    tables::Pool pool;
    std::vector<query::UpstreamId> upstreams;
    query::SnapshotCatalog catalog;
    std::array<query::ExtraAttemptPolicy, base::RankCount> extraAttemptPolicies;
    std::array<admission::Gate, base::RankCount> gates;

    query::ExtraAttemptPolicy& extraAttemptPolicy(base::Rank rank) { return extraAttemptPolicies[base::indexOf(rank)]; }
    admission::Gate& gate(base::Rank rank) { return gates[base::indexOf(rank)]; }
};

} // namespace flamingousher::traffic
