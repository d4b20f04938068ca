#include "transport/upstreamdirectory.h"

namespace flamingousher::transport {

UpstreamId UpstreamDirectory::idOf(const tables::Upstream& upstream)
{
    const std::string key = upstream.name + "@" + upstream.endpoint();
    const auto [found, isNew] = ids_.emplace(key, static_cast<UpstreamId>(upstreams_.size()));
    if (isNew)
        upstreams_.push_back(upstream);
    else
        upstreams_[found->second] = upstream;
    return found->second;
}

} // namespace flamingousher::transport
