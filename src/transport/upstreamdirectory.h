#pragma once

#include "tables/types.h"
#include "transport/types.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace flamingousher::transport {

// Assigns each upstream an id that is stable for the lifetime of the process. An upstream that moves to
// another address gets a new id.
class UpstreamDirectory {
public:
    UpstreamId idOf(const tables::Upstream&);
    const tables::Upstream& at(UpstreamId id) const { return upstreams_[id]; }
    std::size_t size() const { return upstreams_.size(); }

private:
    std::unordered_map<std::string, UpstreamId> ids_;
    std::vector<tables::Upstream> upstreams_;
};

} // namespace flamingousher::transport
