#include "second/cases.h"

namespace flamingousher::review {

std::map<std::string, Case> makeCases()
{
    return {
        { "leaving-crowd", playLeavingCrowd },
        { "long-trailer", playLongTrailer },
        { "unnamed-part", playUnnamedPart },
        { "unnamed-refusal", playUnnamedRefusal },
        { "reissued-order", playReissuedOrder },
    };
}

} // namespace flamingousher::review
