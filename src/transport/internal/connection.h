#pragma once

#include "http/types.h"
#include "runtime/signal.h"
#include "transport/types.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <optional>

namespace flamingousher::transport {

// One connection to an upstream. A fiber of its own carries out one sub-request at a time.
struct Connection {
    explicit Connection(boost::asio::io_context& io)
        : socket(io)
    {
    }

    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
    runtime::Signal wakeUp;
    std::optional<SubRequestId> job;
    bool isConnected { false };
    bool isClosing { false };
    base::TimePoint lastProgress; // time of the last received bytes, or of the connect

    // Makes the connection's fiber end. A sub-request in progress ends with an error.
    void close();
};

// Prepares a connected socket: no delay, keepalive, and an error when sent data stays unacknowledged.
void setUpstreamOptions(boost::asio::ip::tcp::socket&);

// True when the other side has closed an idle connection.
bool isClosedByPeer(boost::asio::ip::tcp::socket&);

} // namespace flamingousher::transport
