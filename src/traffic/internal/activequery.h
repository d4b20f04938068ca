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

// Carries out the actions of one query: sends its sub-requests, feeds their results back, keeps its timer.
class ActiveQuery : public std::enable_shared_from_this<ActiveQuery> {
public:
    // fingerprint: of the request on the index version it is asked of.
    ActiveQuery(TrafficContext&, PoolState&, CallerRequest&, const query::QuerySpec&, const std::string& text,
        std::uint64_t fingerprint);

    // Runs the query to its end in the calling fiber.
    query::QueryOutcome run();

    // The caller has gone.
    void abandon();

    // The longest time that a sub-request waited for a slot.
    base::Duration longestQueued() const { return longestQueued_; }

private:
    struct Sent {
        query::UpstreamId upstream { 0 };
        query::ServedShard target;
        base::TimePoint at;
    };

    query::QueryHooks makeHooks();
    void apply(const std::vector<query::Action>&);
    void send(const query::SendSubRequest&);
    void cancel(const query::CancelSubRequest&);
    void onResult(query::SubRequestId, transport::SubResult);
    void handleResult(query::SubRequestId, transport::SubResult);
    void learnFromError(const Sent&, const base::Error&);
    void armTimer();

    TrafficContext& context_;
    PoolState& pool_;
    query::ExtraAttemptPolicy& extraAttemptPolicy_;
    CallerRequest* request_; // null once the query has ended
    query::QuerySpec spec_;
    std::string text_;
    std::uint64_t fingerprint_;
    query::Query query_;
    boost::asio::steady_timer timer_;
    runtime::Signal finished_;
    std::optional<query::QueryOutcome> outcome_;
    std::unordered_map<query::SubRequestId, Sent> sent_;
    std::vector<std::pair<query::SubRequestId, transport::SubResult>> deferred_;
    base::Duration longestQueued_ { 0 };
    bool isApplying_ { false };
};

} // namespace flamingousher::traffic
