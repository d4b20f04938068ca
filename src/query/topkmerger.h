#pragma once

#include "query/types.h"

#include <vector>

namespace flamingousher::query {

// Keeps the best hits of all shards, by descending score, then by ascending identifier.
// Never holds more hits than the limit.
class TopKMerger {
public:
    explicit TopKMerger(std::size_t limit);

    void add(std::vector<Hit> hits);

    // Moves the hits out in order.
    std::vector<Hit> takeSorted();

private:
    std::size_t limit_;
    std::vector<Hit> heap_; // worst hit at the front
};

} // namespace flamingousher::query
