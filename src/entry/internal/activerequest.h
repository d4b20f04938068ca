#pragma once

#include "entry/internal/entrystate.h"
#include "fanout/fanoutquery.h"
#include "runtime/signal.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace flamingousher::entry {

// One step of a request, for its account.
struct Step {
    accounts::EventKind kind { accounts::EventKind::Received };
    base::TimePoint at;
    std::uint32_t shard { 0 };
    std::string upstream;
    std::string detail;
};

// Carries out the decisions of one request: sends its attempts, feeds their results back, keeps its timer.
class ActiveRequest : public std::enable_shared_from_this<ActiveRequest> {
public:
    // services: one for each shard. The route must outlive the request.
    ActiveRequest(EntryState&, std::shared_ptr<const routing::RouteTable>, const routing::Route&, const CallerCall&,
        std::vector<std::shared_ptr<ServiceState>> services, const fanout::FanoutSpec&);

    // Runs the request to its end in the calling fiber.
    fanout::FinishFanout run();

    // The caller has gone.
    void abandon();

    // The good replies, by shard.
    std::vector<upstreamclient::UpstreamReply> takeReplies();

    // The last failure that an upstream has answered.
    std::optional<upstreamclient::UpstreamReply>& failedReply() { return failedReply_; }
    const std::vector<Step>& steps() const { return steps_; }

    // When the outcome was due: a timer counts from the moment it was set for, however late it fired.
    base::TimePoint decidedAt() const { return decidedAt_; }

private:
    struct Sent {
        UpstreamId upstream { 0 };
        std::uint32_t shard { 0 };
        base::TimePoint at;
    };

    fanout::FanoutHooks makeHooks();
    void apply(std::vector<fanout::Action>);
    void applyAt(base::TimePoint due, std::vector<fanout::Action>);
    void send(const fanout::SendAttempt&);
    void await(std::uint32_t shard);
    void onResult(AttemptId, upstreamclient::AttemptResult);
    void onReply(AttemptId, const Sent&, upstreamclient::UpstreamReply);
    void onError(AttemptId, const Sent&, const base::Error&);
    void fail(AttemptId, const Sent&, base::RunState, bool reachedUpstream, const std::string& reason);
    void withdrawAll();
    void armTimer();
    void note(accounts::EventKind, std::uint32_t shard, UpstreamId, std::string detail = {});

    EntryState& state_;
    std::shared_ptr<const routing::RouteTable> routes_; // keeps the route alive
    const routing::Route& route_;
    std::shared_ptr<const upstreamclient::OutboundRequest> call_;
    std::vector<std::shared_ptr<ServiceState>> services_;
    fanout::FanoutSpec spec_;
    fanout::SubRequestLatency& times_;
    fanout::FanoutQuery query_;
    boost::asio::steady_timer timer_;
    base::TimePoint armedFor_;
    base::TimePoint decidedAt_;
    runtime::Signal finished_;
    std::optional<fanout::FinishFanout> outcome_;
    std::unordered_map<AttemptId, Sent> sent_;
    std::vector<std::optional<upstreamclient::UpstreamReply>> replies_; // by shard
    std::vector<std::optional<balancing::WaitQueue::Key>> waiting_; // by shard
    std::optional<upstreamclient::UpstreamReply> failedReply_;
    std::vector<Step> steps_;
    bool isWaitingFiber_ { false };
};

} // namespace flamingousher::entry
