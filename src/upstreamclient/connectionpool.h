#pragma once

#include "upstreamclient/types.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <vector>

namespace flamingousher::upstreamclient {

class Connection;

// The connections of this process to one upstream process, one request at a time on each. Used on one thread.
class ConnectionPool : public std::enable_shared_from_this<ConnectionPool> {
public:
    struct Hooks {
        std::function<base::TimePoint()> now;

        // A connection has become free, or the upstream can be reached again.
        std::function<void()> onRoom;

        // An attempt has ended whose answer was no longer wanted.
        std::function<void(AttemptId, DroppedEnd)> onDroppedEnded;

        // Another process answers at the upstream's address.
        std::function<void()> onReplaced;
    };

    ConnectionPool(boost::asio::io_context&, const PoolSettings&, const UpstreamProtocol&, Hooks);
    ~ConnectionPool();

    // Opens connections ahead of need.
    void keepWarm();

    // True when one more attempt can be sent, or will be as soon as a connection is open.
    bool hasCapacity() const;

    // False while the upstream does not accept connections.
    bool isReachable() const;

    // Needs room. The callback is called exactly once, unless the attempt is dropped.
    void send(const Attempt&, AttemptCallback);

    // The answer is no longer wanted. The callback is not called any more; the end is told by onDroppedEnded.
    void drop(AttemptId);

    // Breaks off dropped attempts that take long, and connections that have fallen silent.
    void sweep();

    void setSettings(const PoolSettings&);

    // Takes no new attempts; connections close once their attempts have ended.
    void retire();

    std::size_t connectionCount() const { return connections_.size(); }
    const PoolCounters& counters() const { return counters_; }
    const PoolSettings& settings() const { return settings_; }

private:
    friend class Connection;

    void open();
    std::shared_ptr<Connection> freeConnection() const;
    std::size_t limit() const;
    void onConnectFailed();
    void onAnswered();
    void onClosed(const std::shared_ptr<Connection>&, bool wasRefusedAtLimit);
    void onSilent(base::TimePoint since);
    void closeUnneeded(base::TimePoint now);

    boost::asio::io_context& io_;
    PoolSettings settings_;
    const UpstreamProtocol& protocol_;
    Hooks hooks_;
    PoolCounters counters_;
    std::vector<std::shared_ptr<Connection>> connections_;
    std::uint32_t connectFailures_ { 0 }; // in a row
    base::TimePoint retryConnectAt_;
    std::size_t lowLimit_ { 0 }; // while the upstream takes fewer connections than it should
    base::TimePoint lowLimitUntil_;
    bool isRetired_ { false };
};

} // namespace flamingousher::upstreamclient
