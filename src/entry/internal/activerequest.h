#pragma once

#include "entry/internal/entrystate.h"
#include "fanout/fanoutquery.h"
#include "runtime/signal.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace flamingousher::entry {

// An event in the handling of a request, for its record.
struct RequestEvent {
    accounts::EventKind kind { accounts::EventKind::Received };
    base::TimePoint at;
    std::uint32_t shard { 0 };
    std::string upstream;
    std::string detail;
};

// Executes the actions of the FanoutQuery of one request: sends its attempts, reports their results back to the query,
// and runs its timer.
class ActiveRequest : public std::enable_shared_from_this<ActiveRequest> {
public:
    // services: one per shard. The route must belong to the route table, which is kept alive.
    ActiveRequest(EntryState&, std::shared_ptr<const routing::RouteTable>, const routing::Route&,
        std::shared_ptr<RouteLatency>, const DecodedRequest&, std::vector<std::shared_ptr<ServiceState>> services,
        const fanout::FanoutSpec&);

    // Runs the request to completion; blocks the calling fiber.
    fanout::FinishFanout run();

    // Called when the caller has disconnected.
    void abandon();

    // Finishes the request as its deadline would.
    void expire();

    // Moves out the successful replies, in the order of the shards.
    std::vector<upstreamclient::UpstreamReply> takeReplies();

    // Moves out the last failure response of an upstream, if any, with the bytes charged for it. The caller may get it
    // only if it is forwardable.
    std::optional<upstreamclient::UpstreamReply> takeFailedReply() { return std::exchange(failedReply_, std::nullopt); }
    const std::vector<RequestEvent>& events() const { return events_; }

    // Returns whether an attempt has failed that may have run.
    bool hasFault() const { return hasFault_; }

    // Returns when the outcome was due. If a timer caused it, this is the time it was set for, however late it fired.
    base::TimePoint outcomeDueAt() const { return outcomeDueAt_; }

private:
    struct InFlightAttempt {
        UpstreamId upstream { 0 };
        std::uint32_t shard { 0 };
        base::TimePoint at;
    };

    // An upstream that has ended while it ran an attempt.
    struct Crash {
        UpstreamId upstream { 0 };
        std::uint32_t crashesWhenSent { 0 };
    };

    fanout::FanoutHooks makeHooks();
    void apply(std::vector<fanout::Action>);
    void applyAt(base::TimePoint due, std::vector<fanout::Action>);
    void send(const fanout::SendAttempt&);
    void drop(const fanout::DropAttempt&);
    void awaitCapacity(std::uint32_t shard);
    void onResult(AttemptId, upstreamclient::AttemptResult);
    void onReply(AttemptId, const InFlightAttempt&, upstreamclient::UpstreamReply);
    void onError(AttemptId, const InFlightAttempt&, const base::Error&);
    void onUpstreamCrashed(const Crash&);
    void onResponse();
    void reportCrash();
    void failAttempt(AttemptId, const InFlightAttempt&, const fanout::AttemptFailure&);
    void removeAllWaiting();
    void armTimer();
    void recordEvent(accounts::EventKind, std::uint32_t shard, UpstreamId, std::string detail = {});

    EntryState& state_;
    std::shared_ptr<const routing::RouteTable> routes_; // owns the route
    const routing::Route& route_;
    std::shared_ptr<const upstreamclient::OutboundRequest> outboundRequest_;
    std::vector<std::shared_ptr<ServiceState>> services_;
    fanout::FanoutSpec spec_;
    std::shared_ptr<RouteLatency> latency_;
    fanout::FanoutQuery query_;
    boost::asio::steady_timer timer_;
    base::TimePoint timerExpiry_;
    base::TimePoint outcomeDueAt_;
    runtime::Signal finished_;
    std::optional<fanout::FinishFanout> outcome_;
    std::unordered_map<AttemptId, InFlightAttempt> inFlight_;
    std::vector<std::optional<upstreamclient::UpstreamReply>> replies_; // by shard
    std::vector<std::optional<balancing::WaitQueue::Key>> queueKeys_; // by shard
    std::optional<upstreamclient::UpstreamReply> failedReply_;
    std::vector<RequestEvent> events_;
    std::optional<Crash> crash_; // not reported yet
    bool hasResponse_ { false }; // of any upstream that has run the request
    bool hasFault_ { false };
    bool isFiberWaiting_ { false };
};

} // namespace flamingousher::entry
