#include "query/topkmerger.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace flamingousher::query;

Test(TopKMerger, equalsSortingAllHits)
{
    const bool holds = rc::check("merging in parts equals sorting all", [] {
        const auto scores = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5));
        const auto limit = *rc::gen::inRange<std::size_t>(0, 20);
        TopKMerger merger(limit);
        std::vector<Hit> all;
        for (std::size_t index = 0; index < scores.size(); ++index) {
            const Hit hit { "id" + std::to_string(index), "", static_cast<double>(scores[index]) };
            all.push_back(hit);
            merger.add({ hit });
        }
        std::ranges::sort(all, [](const Hit& left, const Hit& right) {
            return left.score != right.score ? left.score > right.score : left.id < right.id;
        });
        all.resize(std::min(limit, all.size()));
        RC_ASSERT(merger.takeSorted() == all);
    });
    cr_expect(holds);
}
