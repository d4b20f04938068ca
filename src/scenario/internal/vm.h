#pragma once

#include "admission/gate.h"
#include "fleet/types.h"
#include "identity/identityregistry.h"
#include "query/extraattemptpolicy.h"
#include "query/query.h"
#include "query/replicachooser.h"
#include "query/snapshotcatalog.h"
#include "scenario/eventqueue.h"
#include "scenario/internal/fakesearcher.h"
#include "scenario/types.h"
#include "upstreams/upstreamqueue.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace flamingousher::scenario {

// The simulated environment of a VM.
struct World {
    EventQueue& events;
    std::mt19937_64& random;
    const Settings& settings;
    History& history;
    std::vector<std::unique_ptr<FakeSearcher>>& searchers;

    // Returns the number of the VM that owns an upstream, or nullopt while no VM does.
    std::function<std::optional<std::uint32_t>(std::uint32_t upstream)> ownerOf;

    // Delivers a message to another VM. The message is lost if either VM crashes or a partition separates them.
    std::function<void(std::uint32_t from, std::uint32_t to, std::function<void()>)> send;
    std::function<class Vm*(std::uint32_t)> vm;
};

// One simulated VM: the decision logic of the daemon, connected in the same way but without sockets.
class Vm {
public:
    Vm(World&, std::uint32_t number, std::uint64_t boot);

    void startQuery(std::uint64_t query, const Load&);
    void startReservation(std::uint32_t attempts);
    void sendReservation(const std::string& identity, std::uint32_t attempts);
    void sweep();
    void onStatus(std::uint32_t upstream, const transport::UpstreamStatus&);
    void setPausedUntil(base::TimePoint time) { pausedUntil_ = time; }
    bool isPaused() const { return pausedUntil_ > world_.events.now(); }
    base::TimePoint pausedUntil() const { return pausedUntil_; }
    std::size_t unanswered() const { return queries_.size(); }
    std::uint64_t boot() const { return boot_; }

    // Called on the VM that owns the upstream.
    void acceptSubRequest(
        std::uint32_t from, std::uint64_t fromBoot, std::uint64_t query, bool isExtra, transport::SubRequest);
    void acceptCancel(std::uint32_t from, std::uint64_t fromBoot, transport::SubRequestId, std::uint32_t upstream);

    // Called on the VM that issued the identity.
    void acceptReservation(std::uint32_t from, std::uint64_t expectedBoot, const std::string& identity,
        const std::function<void(base::RunState)>& reply);

    // Called on the VM that sent the sub-request.
    void acceptResult(std::uint64_t query, transport::SubRequestId, transport::SubResult);

private:
    struct Sent {
        std::uint32_t upstream { 0 };
        base::TimePoint at;
    };

    struct ActiveQuery {
        Load load;
        std::unique_ptr<query::Query> query;
        std::unordered_map<query::SubRequestId, Sent> sent;
        std::vector<std::uint32_t> queriedShards;
        base::Duration maxQueueTime { 0 };
        base::TimePoint deadline;
        base::TimePoint admittedAt;
        bool isAdmitted { false };
    };

    struct AcceptedSubRequest {
        std::uint32_t from { 0 };
        std::uint64_t fromBoot { 0 };
        std::uint64_t query { 0 };
        bool isExtra { false };
        transport::SubRequest request;
        base::TimePoint offeredAt;
    };

    using SenderKey
        = std::pair<std::uint64_t, transport::SubRequestId>; // boot of the sender, ID assigned by the sender

    void run(std::uint64_t query);
    void apply(std::uint64_t query, const std::vector<query::Action>&);
    void send(std::uint64_t query, ActiveQuery&, const query::SendSubRequest&);
    void finish(std::uint64_t query, ActiveQuery&, query::QueryOutcome);
    void refuse(std::uint64_t query, base::Duration retryAfter);
    void admitWaiting();
    query::QueryHooks makeHooks(base::Rank);
    admission::Gate& gate(base::Rank);
    void recordError(ActiveQuery&, const Sent&, const base::Error&);
    void startQueuedWork(std::uint32_t upstream);
    void replyToSender(const AcceptedSubRequest&, const transport::SubResult&);
    void runReservation(const std::string& identity, const std::function<void(base::RunState)>& reply);
    void recordReservationAnswer(const std::string& identity, base::RunState);
    upstreams::UpstreamQueue& queueOf(std::uint32_t upstream);

    World& world_;
    std::uint32_t number_;
    std::uint64_t boot_;
    base::TimePoint pausedUntil_;
    std::vector<admission::Gate> gates_;
    query::SnapshotCatalog catalog_;
    std::array<query::ExtraAttemptPolicy, base::RankCount> extraAttemptPolicies_;
    query::ReplicaChooser chooser_;
    identity::IdentityRegistry identities_;
    std::uint64_t lastId_ { 0 };
    std::map<std::uint64_t, ActiveQuery> queries_;
    std::map<std::uint32_t, upstreams::UpstreamQueue> queues_;
    std::map<SenderKey, upstreams::SubRequestId> localIds_;
    std::map<upstreams::SubRequestId, AcceptedSubRequest> acceptedSubRequests_;
};

} // namespace flamingousher::scenario
