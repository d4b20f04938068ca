#pragma once

#include "balancing/memorybudget.h"
#include "balancing/replicaselector.h"
#include "entry/types.h"
#include "eventlog/eventlog.h"
#include "fleet/types.h"
#include "upstreamclient/connectionpool.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace flamingousher::entry {

// Connections to the VMs to which this VM delegates requests, and their observed performance. Used on one thread.
class Delegates {
public:
    using DelegateId = balancing::UpstreamId;

    Delegates(boost::asio::io_context&, const EntrySettings&, balancing::MemoryBudget&, eventlog::EventLog&,
        std::function<base::TimePoint()> now);

    // Replaces the delegates. isFrequent: requests are delegated all the time, so a connection to each delegate is kept
    // open. Requests in progress at VMs that are no longer listed continue. Returns whether the delegates have changed.
    bool set(const std::vector<fleet::NodeInfo>&, bool isFrequent);

    bool isEmpty() const { return active_.empty(); }

    // Chooses the faster of two delegates that are not in tried. typical: median time of a delegated request.
    std::optional<DelegateId> choose(const std::vector<DelegateId>& tried, base::Duration typical);

    void send(DelegateId, const upstreamclient::Attempt&, base::Duration typical, upstreamclient::AttemptCallback);

    // Drops an attempt and closes its connection. isFault: the delegate failed to respond. Returns false if the attempt
    // has provably not been sent.
    bool drop(DelegateId, balancing::AttemptId, bool isFault);

    // Returns whether the delegate has sent something that this VM has not read yet.
    bool hasUnreadData(DelegateId id, balancing::AttemptId attempt) const
    {
        return delegates_[id].pool->hasUnreadData(attempt);
    }

    void onAnswered(DelegateId, balancing::AttemptId);
    void onFailed(DelegateId, balancing::AttemptId);

    const std::string& endpoint(DelegateId id) const { return delegates_[id].endpoint; }

    // Opens missing connections. Called periodically.
    void sweep();

private:
    struct Delegate {
        std::string endpoint;
        std::shared_ptr<upstreamclient::ConnectionPool> pool;
        bool isRetired { false };
    };

    DelegateId add(const fleet::NodeInfo&, const http::Endpoint&);
    static upstreamclient::PoolSettings poolSettings(const fleet::NodeInfo&, const http::Endpoint&, bool isFrequent);

    boost::asio::io_context& io_;
    const EntrySettings& settings_;
    balancing::MemoryBudget& memory_;
    eventlog::EventLog& log_;
    std::function<base::TimePoint()> now_;
    upstreamclient::UpstreamProtocol protocol_;
    std::vector<Delegate> delegates_; // by DelegateId; identifiers are not reused
    std::map<fleet::NodeId, DelegateId> active_;
    std::vector<DelegateId> order_; // the active ones, preferred ones first
    balancing::ReplicaSelector selector_;
    std::size_t next_ { 0 }; // index into order_ at which the next choice starts
    balancing::AttemptId lastNeverSent_ { 0 };
};

} // namespace flamingousher::entry
