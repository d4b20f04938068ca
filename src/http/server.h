#pragma once

#include "http/types.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <memory>
#include <unordered_map>

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

    // Stops accepting connections. Requests that have arrived or are on their way are answered, also on connections
    // that wait to be accepted; then all connections close.
    void beginShutdown();

    // Returns true while no request is in progress; during shutdown, once all connections have ended.
    bool isIdle() const { return state_->isStopping ? state_->counters.open == 0 : state_->requestsInProgress == 0; }
    const ServerCounters& counters() const { return state_->counters; }
    Endpoint localEndpoint() const;

private:
    using Stream = boost::beast::tcp_stream;

    // What a connection waits for while no request is in progress on it.
    enum class Reading : std::uint8_t {
        NextRequest,
        RestOfRequest,
    };

    // Shared with the session fibers, which may outlive the server.
    struct State {
        ServerLimits limits;
        Handler handler;
        ServerCounters counters;
        std::size_t requestsInProgress { 0 };
        bool isStopping { false };
        bool isClosingIdle { false }; // connections without a request close at once
        std::unordered_map<Stream*, Reading> readingStreams;
    };

    static void accept(const std::shared_ptr<State>&, boost::asio::ip::tcp::socket);
    static void runSession(const std::shared_ptr<State>&, Stream);
    static bool serveRequest(State&, Stream&, boost::beast::flat_buffer&, bool isFirst);
    static bool readRequestStart(State&, Stream&, boost::beast::flat_buffer&);
    static void closeReading(const State&, Reading);
    static void rejectMalformed(State&, Stream&, const boost::system::error_code&);

    void acceptQueued();

    boost::asio::io_context& io_;
    std::shared_ptr<State> state_;
    std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
};

} // namespace flamingousher::http
