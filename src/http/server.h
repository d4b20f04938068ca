#pragma once

#include "http/types.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <memory>
#include <unordered_set>

namespace flamingousher::http {

// An HTTP/1.1 server on one address. Create, use and destroy it on the thread of its I/O context.
class Server {
public:
    Server(boost::asio::io_context&, ServerLimits, Handler);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    // Starts listening. When shared, several servers, one per thread, may listen on the same address.
    boost::system::error_code listen(const Endpoint&, bool isShared = false);

    // Applies to requests that are read after the call.
    void setLimits(const ServerLimits& limits) { state_->limits = limits; }

    // Stops accepting connections; open connections close after the response in progress.
    void beginShutdown();

    bool isIdle() const { return state_->requestsInProgress == 0; }
    const ServerCounters& counters() const { return state_->counters; }
    Endpoint localEndpoint() const;

private:
    using Stream = boost::beast::tcp_stream;

    // Shared with the session fibers, which may outlive the server.
    struct State {
        ServerLimits limits;
        Handler handler;
        ServerCounters counters;
        std::size_t requestsInProgress { 0 };
        bool isStopping { false };
        std::unordered_set<Stream*> idleStreams;
    };

    static void accept(const std::shared_ptr<State>&, boost::asio::ip::tcp::socket);
    static void runSession(const std::shared_ptr<State>&, Stream);
    static bool serveRequest(State&, Stream&, boost::beast::flat_buffer&, bool isFirst);
    static void rejectMalformed(State&, Stream&, const boost::system::error_code&);

    boost::asio::io_context& io_;
    std::shared_ptr<State> state_;
    std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
};

} // namespace flamingousher::http
