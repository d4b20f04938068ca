#pragma once

#include "tables/types.h"
#include "transport/upstreamdirectory.h"
#include "transport/upstreamlink.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace flamingousher::traffic {

// The links to the upstreams that this thread owns.
class OwnedUpstreams {
public:
    struct Hooks {
        std::function<base::TimePoint()> now;
        std::function<void(query::UpstreamId, const transport::UpstreamStatus&)> onStatus;
        std::function<void(query::UpstreamId, const transport::SubRequest&)> onCrash;

        // Returns the upstream with its slots and connections limited to the share of this owner.
        std::function<tables::Upstream(const tables::Upstream&)> limitToShare;
    };

    OwnedUpstreams(boost::asio::io_context&, transport::UpstreamDirectory&, const std::string& incarnation, Hooks);

    // Opens links to the upstreams accepted by the predicate and closes the others.
    void apply(const tables::Tables&, const std::function<bool(const tables::Upstream&)>& isOwner);

    // Returns false if this thread does not own the upstream.
    bool submit(transport::SubRequest&, transport::SubCallback&);
    void cancel(query::SubRequestId, query::UpstreamId);
    void sweep();
    void beginShutdown();
    bool isIdle() const;

    // Returns the upstreams that this thread no longer owns but that still have work in flight.
    std::set<std::string> closingUpstreams() const;

    // Returns the status of an owned upstream, or null if it is not owned or its status is unknown.
    const transport::UpstreamStatus* status(query::UpstreamId) const;

    const std::map<query::UpstreamId, std::shared_ptr<transport::UpstreamLink>>& links() const { return links_; }

private:
    boost::asio::io_context& io_;
    transport::UpstreamDirectory& directory_;
    std::string incarnation_;
    Hooks hooks_;
    std::map<query::UpstreamId, std::shared_ptr<transport::UpstreamLink>> links_;
    std::vector<std::shared_ptr<transport::UpstreamLink>> closing_;
};

// Returns the minimum share of slot time for each rank, summed over the routes to the pool.
std::array<double, base::RankCount> minSharesOf(const tables::Tables&, const std::string& pool);

} // namespace flamingousher::traffic
