#pragma once

#include "upstreamclient/types.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <vector>

namespace flamingousher::upstreamclient {

class Connection;

// Pool of connections to one upstream process, with one request at a time on each connection. Not thread-safe: used on
// one thread.
class ConnectionPool : public std::enable_shared_from_this<ConnectionPool> {
public:
    struct Hooks {
        std::function<base::TimePoint()> now;

        // Called when a connection becomes free, or the upstream becomes reachable again.
        std::function<void()> onCapacity;

        // Called when a dropped attempt has ended.
        std::function<void(AttemptId, DroppedOutcome)> onDroppedFinished;

        // Called when another process answers at the upstream's address.
        std::function<void()> onReplaced;

        // Called with what the upstream says of itself in each response, also in one that is no longer needed.
        std::function<void(const UpstreamNotice&)> onNotice;

        // Called when the upstream's process has ended while it may have run attempts. attempts: number of these.
        std::function<void(std::size_t attempts)> onCrashed;

        // Returns the charge for the bytes of one response. evict ends its attempt. May be empty.
        std::function<balancing::MemoryBudget::Charge(std::function<void()> evict)> openCharge;

        // Called with the text of an exception that was thrown while a response was handled. Its connection closes. May
        // be empty.
        std::function<void(const std::string& reason)> onUnexpectedError;
    };

    ConnectionPool(boost::asio::io_context&, const PoolSettings&, const UpstreamProtocol&, Hooks);
    ~ConnectionPool();

    // Opens connections up to the warm connection count.
    void keepWarm();

    // Returns whether one more attempt can be sent, possibly once a connection is open.
    bool hasCapacity() const;

    // Returns false while the upstream does not accept connections.
    bool isReachable() const;

    Reach reach() const;

    // Sends an attempt; requires hasCapacity(). The callback is called exactly once, unless the attempt is dropped.
    void send(const Attempt&, AttemptCallback);

    // Drops an attempt whose answer is no longer needed. Its callback is not called; onDroppedFinished reports its
    // outcome.
    void drop(AttemptId);

    // Returns whether a response, or a part of one, has arrived for the attempt and is not read yet.
    bool hasUnreadData(AttemptId) const;

    // Aborts overdue attempts, and closes unresponsive or surplus connections. Must be called periodically.
    void sweep();

    void setSettings(const PoolSettings&);

    // Accepts no new attempts; connections close once their attempts have ended.
    void retire();

    std::size_t connectionCount() const { return connections_.size(); }
    const PoolCounters& counters() const { return counters_; }
    const PoolSettings& settings() const { return settings_; }

private:
    friend class Connection;

    void open();
    std::shared_ptr<Connection> findConnection() const;
    std::size_t connectionLimit() const;
    bool hasProvenConnection(base::TimePoint openedAfter) const;
    void onConnectFailed();
    void onAnswered();
    void onAttemptLost(const Attempt&);
    void checkLostAttempts(base::TimePoint now);
    void reportCrash();
    void onClosed(const std::shared_ptr<Connection>&, bool wasRefusedAtLimit);
    void closeSilentSince(base::TimePoint since);
    void closeUnneeded(base::TimePoint now);

    boost::asio::io_context& io_;
    PoolSettings settings_;
    const UpstreamProtocol& protocol_;
    Hooks hooks_;
    PoolCounters counters_;
    std::vector<std::shared_ptr<Connection>> connections_;
    std::uint32_t connectFailures_ { 0 }; // consecutive
    base::TimePoint retryConnectAt_;
    base::TimePoint connectFailedAt_; // last failure to open a connection, or reset before any response
    bool hasConnectFailed_ { false }; // and no connection opened since is known to work
    std::size_t reducedLimit_ { 0 }; // in force while the upstream accepts fewer connections than configured
    base::TimePoint reducedLimitUntil_;
    std::vector<std::function<void()>> lostAttempts_; // whose upstream may have crashed; called if it has
    base::TimePoint lastLossAt_;
    bool isRetired_ { false };
};

} // namespace flamingousher::upstreamclient
