#pragma once

#include "peers/framestream.h"

namespace flamingousher::daemon {

// The identity of this process incarnation: the node with a boot number that no other incarnation uses.
peers::PeerIdentity makeIdentity(fleet::NodeInfo, const std::string& key);

} // namespace flamingousher::daemon
