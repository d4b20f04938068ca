#pragma once

#include "fleet/types.h"

#include <peer_generated.h>

#include <optional>

namespace flamingousher::wire {

// Values that a later version may have added count as the last known one.
fleet::MemberState toMemberState(std::uint8_t);

// Appends the update to the message in the compact form, a fifth of the size of the general one. Returns false, without
// a change, if the node does not fit it.
bool packCompact(const fleet::MemberUpdate&, fb::GossipT&);

// Returns nothing for a member that refers to a missing place.
std::optional<fleet::MemberUpdate> unpackCompact(const fb::CompactMember&, const fb::GossipT&);

} // namespace flamingousher::wire
