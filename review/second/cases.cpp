#include "second/cases.h"

namespace flamingousher::review {

std::map<std::string, Case> makeCases()
{
    return {
        { "long-trailer", playLongTrailer },
        { "unnamed-refusal", playUnnamedRefusal },
        { "full-bodies", playFullBodies },
    };
}

} // namespace flamingousher::review
