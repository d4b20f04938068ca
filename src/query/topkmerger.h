#pragma once

#include "query/types.h"

#include <vector>

namespace flamingousher::query {

// Keeps the best hits of all shards: by score, highest first, then by identifier, lowest first.
// Holds at most the limit, however many hits are added.
class TopKMerger {
public:
    explicit TopKMerger(std::size_t limit);

    void add(std::vector<Hit> hits);

    // Takes the hits out in order.
    std::vector<Hit> takeSorted();

private:
    std::size_t limit_;
    std::vector<Hit> heap_; // the worst hit first
};

} // namespace flamingousher::query
