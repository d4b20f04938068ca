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

// Takes sub-requests from other nodes for the upstreams of which this thread is the home.
class PeerServer {
public:
    struct Hooks {
        std::function<base::TimePoint()> now;
        std::function<std::uint64_t()> random;
        std::function<std::uint64_t()> nextId;

        // The request has an identifier of this process.
        std::function<void(wire::RemoteRequest, transport::SubCallback)> submit;
        std::function<void(transport::SubRequestId, const std::string& upstream)> cancel;
        std::function<std::optional<transport::UpstreamStatus>(const std::string& upstream)> status;

        // Runs a request whose identity this thread has issued. May suspend the calling fiber.
        std::function<transport::ServiceAnswer(const wire::IdentityRequest&)> runIdentity;
    };

    PeerServer(boost::asio::io_context&, const PeerIdentity&, PeerCounters&, Hooks);

    boost::system::error_code listen(const http::Endpoint&);

    // Tells the nodes that have asked for it.
    void publishStatus(const wire::RemoteStatus&);

    // Sends a heartbeat to nodes that wait for results.
    void sweep();

private:
    struct Session {
        std::shared_ptr<FrameStream> stream;
        runtime::Signal wakeUp;
        wire::Batch next;
        std::set<std::string> wanted;
        std::unordered_map<transport::SubRequestId, transport::SubRequestId> localIds; // by the sender's
        base::TimePoint lastSent;
        bool isClosed { false };
    };

    void runSession(boost::asio::ip::tcp::socket);
    void writeLoop(const std::shared_ptr<Session>&);
    void accept(const std::shared_ptr<Session>&, wire::Batch&&);
    void startRequest(const std::shared_ptr<Session>&, wire::RemoteRequest);

    boost::asio::io_context& io_;
    const PeerIdentity& identity_;
    PeerCounters& counters_;
    Hooks hooks_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::set<std::shared_ptr<Session>> sessions_;
};

} // namespace flamingousher::peers
