#pragma once

#include "admission/gate.h"
#include "query/latencyestimate.h"
#include "query/loadbudget.h"
#include "query/snapshotcatalog.h"
#include "tables/types.h"
#include "transport/upstreamdirectory.h"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace flamingousher::traffic {

// What one traffic thread knows and has learned of one pool.
struct PoolState {
    PoolState();

    tables::Pool pool;
    std::vector<query::UpstreamId> upstreams;
    query::SnapshotCatalog catalog;
    query::LatencyEstimate latency;
    query::LoadBudget hedgeBudget;
    query::LoadBudget retryBudget;
    std::array<admission::Gate, base::RankCount> gates;

    admission::Gate& gate(base::Rank rank) { return gates[base::indexOf(rank)]; }
};

} // namespace flamingousher::traffic
