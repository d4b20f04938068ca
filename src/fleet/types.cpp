#include "fleet/types.h"

namespace flamingousher::fleet {

std::string toString(const NodeId& id)
{
    return id.endpoint + "#" + std::to_string(id.boot);
}

std::string_view toString(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Left:
        return "left";
    case MemberState::Dead:
        return "dead";
    }
    return "invalid";
}

} // namespace flamingousher::fleet
