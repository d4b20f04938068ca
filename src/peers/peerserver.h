#pragma once

#include "peers/framestream.h"
#include "runtime/signal.h"
#include "transport/types.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace flamingousher::peers {

// Accepts sub-requests from other nodes for the upstreams that this thread owns.
class PeerServer {
public:
    struct Hooks {
        std::function<base::TimePoint()> now;
        std::function<std::uint64_t()> random;
        std::function<std::uint64_t()> nextId;

        // The request carries an id from nextId().
        std::function<void(wire::RemoteRequest, transport::SubCallback)> submit;
        std::function<void(transport::SubRequestId, const std::string& upstream)> cancel;
        std::function<std::optional<transport::UpstreamStatus>(const std::string& upstream)> status;

        // Runs a request whose identity was issued by this thread. May suspend the calling fiber.
        std::function<transport::ServiceAnswer(const wire::IdentityRequest&)> runIdentityRequest;
    };

    PeerServer(boost::asio::io_context&, const PeerIdentity&, PeerCounters&, Hooks);

    boost::system::error_code listen(const http::Endpoint&);

    // Sends the status to all subscribed nodes.
    void publishStatus(const wire::RemoteStatus&);

    // Sends a heartbeat to nodes with outstanding sub-requests.
    void sweep();

private:
    struct Session {
        std::shared_ptr<FrameStream> stream;
        runtime::Signal wakeUp;
        wire::Batch nextBatch;
        std::set<std::string> subscriptions;
        std::unordered_map<transport::SubRequestId, transport::SubRequestId> localIds; // keyed by the sender's id
        base::TimePoint lastSent;
        bool isClosed { false };
    };

    void runSession(boost::asio::ip::tcp::socket);
    void writeLoop(const std::shared_ptr<Session>&);
    void handleBatch(const std::shared_ptr<Session>&, wire::Batch&&);
    void startRequest(const std::shared_ptr<Session>&, wire::RemoteRequest);

    boost::asio::io_context& io_;
    const PeerIdentity& identity_;
    PeerCounters& counters_;
    Hooks hooks_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::set<std::shared_ptr<Session>> sessions_;
};

} // namespace flamingousher::peers
