#pragma once

#include "peers/framestream.h"
#include "runtime/signal.h"
#include "transport/types.h"
#include "wire/types.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

namespace flamingousher::peers {

// Connection of a traffic thread to a thread on another node that owns upstreams. Sub-requests submitted while a
// frame is being sent are batched into the next one.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
public:
    struct Hooks {
        std::function<base::TimePoint()> now;
        std::function<std::uint64_t()> random;
        std::function<void(const wire::RemoteStatus&)> onStatus;
    };

    PeerLink(boost::asio::io_context&, const http::Endpoint&, const PeerIdentity&, PeerCounters&, Hooks);

    // Starts the link. It connects once there is something to send.
    void start();

    // Calls the callback exactly once, unless the sub-request is cancelled.
    void submit(wire::RemoteRequest, transport::SubCallback);
    void cancel(transport::SubRequestId, const std::string& upstream);

    // Subscribes to the status of these upstreams: sent at once and after every change.
    void subscribeToStatuses(const std::set<std::string>& upstreams);

    // Fails sub-requests whose deadline has passed and closes an unresponsive connection.
    void sweep();
    void close();

    std::size_t outstanding() const { return outstanding_.size(); }
    bool isConnected() const { return stream_ != nullptr; }

private:
    struct Outstanding {
        transport::SubCallback callback;
        base::TimePoint deadline;
        bool isSent { false };
    };

    static void run(const std::shared_ptr<PeerLink>&);
    static void readLoop(const std::shared_ptr<PeerLink>&, const std::shared_ptr<FrameStream>&);
    std::shared_ptr<FrameStream> connect();
    void writeLoop(FrameStream&);
    void handleBatch(wire::Batch&&);
    void failAll(const std::string& detail);
    void finish(transport::SubRequestId, transport::SubResult);

    boost::asio::io_context& io_;
    http::Endpoint endpoint_;
    const PeerIdentity& identity_;
    PeerCounters& counters_;
    Hooks hooks_;
    runtime::Signal wakeUp_;
    wire::Batch nextBatch_;
    std::set<std::string> subscriptions_;
    std::unordered_map<transport::SubRequestId, Outstanding> outstanding_;
    std::shared_ptr<FrameStream> stream_;
    base::TimePoint lastReceived_;
    base::TimePoint waitingSince_;
    bool isClosing_ { false };
};

} // namespace flamingousher::peers
