#include "query/topkmerger.h"

#include <algorithm>

namespace flamingousher::query {

namespace {

    bool ranksBefore(const Hit& left, const Hit& right)
    {
        if (left.score != right.score)
            return left.score > right.score;
        return left.id < right.id;
    }

} // namespace

TopKMerger::TopKMerger(std::size_t limit)
    : limit_(limit)
{
}

void TopKMerger::add(std::vector<Hit> hits)
{
    for (Hit& hit : hits) {
        if (heap_.size() < limit_) {
            heap_.push_back(std::move(hit));
            std::push_heap(heap_.begin(), heap_.end(), ranksBefore);
            continue;
        }
        if (heap_.empty() || !ranksBefore(hit, heap_.front()))
            continue;
        std::pop_heap(heap_.begin(), heap_.end(), ranksBefore);
        heap_.back() = std::move(hit);
        std::push_heap(heap_.begin(), heap_.end(), ranksBefore);
    }
}

std::vector<Hit> TopKMerger::takeSorted()
{
    std::sort_heap(heap_.begin(), heap_.end(), ranksBefore);
    return std::move(heap_);
}

} // namespace flamingousher::query
