#pragma once

#include "http/types.h"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace flamingousher::http {

struct ServerState;

// An HTTP/1.1 server on one address. Create, use and destroy it on the thread of its I/O context.
class Server {
public:
    // openCharge: counts what is held of callers and their requests; may be empty.
    Server(boost::asio::io_context&, ServerLimits, Handler, OpenByteCharge openCharge = {});
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    // Starts listening. When shared, several servers, one per thread, may listen on the same address.
    boost::system::error_code listen(const Endpoint&, bool isShared = false);

    // Applies to requests that are read after the call.
    void setLimits(const ServerLimits&);

    // Stops accepting connections. Requests that have arrived or are on their way are answered, also on connections
    // that wait to be accepted; then all connections close.
    void beginShutdown();

    // Returns true while no request is in progress; during shutdown, once all connections have ended.
    bool isIdle() const;
    const ServerCounters& counters() const;
    Endpoint localEndpoint() const;

private:
    static void accept(const std::shared_ptr<ServerState>&, boost::asio::ip::tcp::socket);
    void acceptQueued();

    boost::asio::io_context& io_;
    std::shared_ptr<ServerState> state_;
    std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
};

} // namespace flamingousher::http
