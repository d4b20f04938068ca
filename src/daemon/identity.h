#pragma once

#include "peers/framestream.h"

namespace flamingousher::daemon {

// Returns the identity of this process: the node with a random boot number that distinguishes it from earlier processes
// at the same endpoint.
peers::PeerIdentity makeIdentity(fleet::NodeInfo, const std::string& key);

} // namespace flamingousher::daemon
