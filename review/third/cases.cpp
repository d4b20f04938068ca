#include "cases.h"

namespace review {

const std::vector<Case>& allCases()
{
    static const std::vector<Case> cases { { "connection-names", runConnectionNames }, { "watch-cuts", runWatchCuts },
        { "host-with-path", runHostWithPath }, { "head-requests", runHeadRequests } };
    return cases;
}

} // namespace review
