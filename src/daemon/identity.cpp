#include "daemon/identity.h"

#include <random>

namespace flamingousher::daemon {

peers::PeerIdentity makeIdentity(fleet::NodeInfo node, const std::string& key)
{
    std::random_device random;
    node.id.boot = (static_cast<std::uint64_t>(random()) << 32) | random();
    return { std::move(node), key };
}

} // namespace flamingousher::daemon
