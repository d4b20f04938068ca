#pragma once

#include "query/query.h"
#include "runtime/signal.h"
#include "traffic/internal/callerrequest.h"
#include "traffic/poolstate.h"
#include "traffic/trafficcontext.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <unordered_map>
#include <vector>

namespace flamingousher::traffic {

// Executes the actions of one query: sends its sub-requests, reports their results to it and runs its timer.
class ActiveQuery : public std::enable_shared_from_this<ActiveQuery> {
public:
    // fingerprint: identifies the request together with the index version.
    ActiveQuery(TrafficContext&, PoolState&, CallerRequest&, const query::QuerySpec&, const std::string& text,
        std::uint64_t fingerprint);

    // Runs the query to completion in the calling fiber.
    query::QueryOutcome run();

    // Ends the query after the caller has disconnected.
    void abandon();

    // Returns the maximum time that a sub-request has waited for a slot.
    base::Duration maxQueueTime() const { return maxQueueTime_; }

private:
    struct Sent {
        query::UpstreamId upstream { 0 };
        query::ServedShard target;
        base::TimePoint at;
        std::uint32_t knownCrashes { 0 }; // of the request, at that time
    };

    query::QueryHooks makeHooks();
    void apply(const std::vector<query::Action>&);
    void send(const query::SendSubRequest&);
    void cancel(const query::CancelSubRequest&);
    void onResult(query::SubRequestId, transport::SubResult);
    void handleResult(query::SubRequestId, transport::SubResult);
    void handleError(const Sent&, const base::Error&);
    void armTimer();

    TrafficContext& context_;
    PoolState& pool_;
    query::ExtraAttemptPolicy& extraAttemptPolicy_;
    CallerRequest* request_; // null after the query has finished
    query::QuerySpec spec_;
    std::string text_;
    std::uint64_t fingerprint_;
    query::Query query_;
    boost::asio::steady_timer timer_;
    runtime::Signal finished_;
    std::optional<query::QueryOutcome> outcome_;
    std::unordered_map<query::SubRequestId, Sent> sent_;
    std::vector<std::pair<query::SubRequestId, transport::SubResult>> deferred_;
    base::Duration maxQueueTime_ { 0 };
    bool isApplying_ { false };
};

} // namespace flamingousher::traffic
