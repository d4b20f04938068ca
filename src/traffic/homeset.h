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

// The links to the upstreams of which this thread is the home.
class HomeSet {
public:
    struct Hooks {
        std::function<base::TimePoint()> now;
        std::function<void(query::UpstreamId, const transport::UpstreamStatus&)> onStatus;
        std::function<void(query::UpstreamId, std::uint64_t fingerprint)> onCrash;

        // The part of the upstream's slots and connections that this home may use.
        std::function<tables::Upstream(const tables::Upstream&)> limited;
    };

    HomeSet(boost::asio::io_context&, transport::UpstreamDirectory&, const std::string& incarnation, Hooks);

    // Opens links to the upstreams accepted by the predicate and closes the others.
    void apply(const tables::Tables&, const std::function<bool(const tables::Upstream&)>& isOwn);

    // Returns false when this thread is not the home of the upstream.
    bool submit(transport::SubRequest&, transport::SubCallback&);
    void cancel(query::SubRequestId, query::UpstreamId);
    void sweep();
    void beginShutdown();
    bool isIdle() const;

    // Upstreams that are no longer served here but have work in flight.
    std::set<std::string> closingUpstreams() const;

    // Status of an upstream of which this thread is the home.
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

// The floors of slot time for each rank, summed over the routes to a pool.
std::array<double, base::RankCount> floorsOf(const tables::Tables&, const std::string& pool);

} // namespace flamingousher::traffic
